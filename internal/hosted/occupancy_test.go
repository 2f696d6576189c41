package hosted_test

import (
	"bytes"
	"crypto/rand"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/peerlink"
)

var _ = Describe("The occupancy of engines", func() {
	// Guards against messages that the relay to the log takes, and against loads of a process that
	// is no instance.
	It("is taken from other instances only, at their listener", func() {
		d := newDeployment(1, 1)
		identity, err := peerlink.NewIdentity(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		d.announceInstance("n8", "127.0.0.1:1", identity.Fingerprint())
		another, err := peerlink.NewIdentity(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		d.announceInstance("n9", "127.0.0.1:2", another.Fingerprint())
		peers := peerlink.NewPeers(identity, peerlink.Options{})
		peers.Update([]peerlink.Peer{{Name: "n0", Address: d.instances[0].peersAddress, Fingerprint: d.fingerprintOf("n0")}})
		transport := &http.Transport{DialContext: peers.Dial}
		DeferCleanup(transport.CloseIdleConnections)
		post := func(transport http.RoundTripper, from string) (status int, err error) {
			data, err := occupancy.Encode(occupancy.Message{From: from, Incarnation: 1, Sequence: 1, Full: true})
			Expect(err).NotTo(HaveOccurred())
			res, err := (&http.Client{Transport: transport}).Post("http://"+d.instances[0].peersAddress+"/occupancy", "", bytes.NewReader(data))
			if err != nil {
				return 0, err
			}
			res.Body.Close()
			return res.StatusCode, nil
		}
		Expect(post(transport, "n8")).To(Equal(http.StatusNoContent))
		Expect(post(transport, "")).To(Equal(http.StatusBadRequest))
		Expect(post(transport, "n0")).To(Equal(http.StatusForbidden), "a message in the name of its receiver")
		Expect(post(transport, "n9")).To(Equal(http.StatusForbidden), "a message in the name of another instance")
		Expect(post(transport, "stranger")).To(Equal(http.StatusForbidden))
		_, err = post(http.DefaultTransport, "n8")
		Expect(err).To(HaveOccurred(), "a response to a stranger")
	})
})
