package hosted_test

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/peerlink"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// forgedRequest returns a request to the port between instances, as one of them would send it.
func forgedRequest(method, pathAndQuery string, body []byte, header http.Header) *http.Request {
	req, err := http.NewRequest(method, "http://replaced"+pathAndQuery, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header
	req.Close = true
	return req
}

// forgedAppend is the body of an append of one record.
func forgedAppend(record string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
}

// Guards against the failure that any process that reached the port was served: requests on
// behalf of any account, allowances of any target, and all calls of the log.
var _ = Describe("A stranger at the port between instances", func() {
	DescribeTable("gets nothing", func(forged func() *http.Request) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		for _, in := range d.instances {
			req := forged()
			req.URL.Host = in.peersAddress
			res, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = res.Body.Close() // the spec fails
			}
			Expect(err).To(HaveOccurred(), "a response to a stranger")
		}
		for _, p := range d.plain {
			Expect(p.Runs()).To(BeEmpty())
		}
		for _, r := range d.store.Records("control", 0) {
			Expect(string(r)).NotTo(ContainSubstring("forged"))
		}
	},
		Entry("for a relayed request in the name of an account", func() *http.Request {
			req := forgedRequest(http.MethodPost, "/confirm/x", []byte("b"), http.Header{
				"Amaranthfold-Relayed-Config": {"0"}, "Tenant": {"acme"}, "Request-Id": {"forged"},
			})
			req.Host = host
			return req
		}),
		Entry("for an allowance of a target", func() *http.Request {
			return forgedRequest(http.MethodPost, "/allowance", []byte(strings.ReplaceAll(`{'Target':'p0','PerSecond':5,'Count':1}`, `'`, `"`)), http.Header{})
		}),
		Entry("for a read of the log", func() *http.Request {
			return forgedRequest(http.MethodGet, "/log-read?topic=control&part=0&from=0&max-kb=64", nil, http.Header{})
		}),
		Entry("for an append to the log", func() *http.Request {
			return forgedRequest(http.MethodPost, "/log-append?topic=control&part=0", forgedAppend("forged"), http.Header{})
		}),
	)
})

// announceInstance appends an announcement as an instance with the address and the key does, and
// waits until the instances of the deployment have read it.
func (d *deployment) announceInstance(name, address, fingerprint string) {
	d.appendRecord(job.Record{Writer: name + "/" + fingerprint, InstanceStarted: &job.InstanceStarted{
		Instance: name, PeerAddress: address, StartedAt: time.Now().UnixMilli(), KeyFingerprint: fingerprint,
	}})
	d.awaitAnnouncements()
}

// appendRecord appends a record to the log, as an instance does.
func (d *deployment) appendRecord(r job.Record) {
	data, err := job.Encode(r)
	Expect(err).NotTo(HaveOccurred())
	w := httptest.NewRecorder()
	d.store.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/log-append?topic=control&part=0", bytes.NewReader(forgedAppend(string(data)))))
	Expect(w.Code).To(Equal(http.StatusOK))
}

var _ = Describe("The port between instances", func() {
	// Guards against an instance that is stolen or in error and uses others as a way to the
	// platform's interface.
	DescribeTable("passes only calls of an instance on to the log", func(method, path string, bodyBytes, want int) {
		d := newDeployment(1, 1)
		identity, err := peerlink.NewIdentity(rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		d.announceInstance("n8", "127.0.0.1:1", identity.Fingerprint())
		peers := peerlink.NewPeers(identity, peerlink.Options{})
		peers.Update([]peerlink.Peer{{Name: "n0", Address: d.instances[0].peersAddress, Fingerprint: d.fingerprintOf("n0")}})
		transport := &http.Transport{DialContext: peers.Dial, ExpectContinueTimeout: time.Minute}
		DeferCleanup(transport.CloseIdleConnections)
		req := forgedRequest(method, path, make([]byte, bodyBytes), http.Header{})
		if bodyBytes > 0 {
			req.Header.Set("Expect", "100-continue") // else a refusal may come while the body is sent
		}
		req.URL.Host = d.instances[0].peersAddress
		res, err := transport.RoundTrip(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(want))
		if want != http.StatusOK {
			Expect(d.logged()).To(ContainSubstring(`event="log call refused"`))
			Expect(d.store.Records("control", 1)).To(BeEmpty())
			return
		}
	},
		Entry("a read", http.MethodGet, "/log-read?topic=control&part=1&from=0&max-kb=1", 0, http.StatusOK),
		Entry("an append", http.MethodPost, "/log-append?topic=control&part=1", 8, http.StatusOK),
		Entry("an append of more bytes than the log takes", http.MethodPost, "/log-append?topic=control&part=1", 1<<20+1, http.StatusRequestEntityTooLarge),
		Entry("another path", http.MethodPost, "/scale", 8, http.StatusNotFound),
		Entry("another method", http.MethodPut, "/log-append?topic=control&part=1", 8, http.StatusMethodNotAllowed),
	)

	It("serves an instance that has restarted once its announcement is read", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		d.instances[0].kill()
		restarted := d.start(0)
		Eventually(restarted.isReady, eventuallyTimeout).Should(BeTrue())
		restarted.links.set(refusing)
		for n := range 3 {
			Eventually(func() int {
				return restarted.callWithin(2*time.Second, http.MethodPost, "/confirm/x", fmt.Sprint("r", n), key, nil).status
			}, eventuallyTimeout).Should(Equal(http.StatusOK))
		}
	})

	// Guards against an upgrade during which old and new builds do not reach each other.
	It("serves and calls an instance of a build without keys in plain text", func() {
		var relayed atomic.Int64
		old, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Amaranthfold-Relayed-Config") == "" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			relayed.Add(1)
			id := r.Header.Get("Request-Id")
			w.Header().Set("Request-Id", id)
			w.Header().Set("Server-Stamp", hostplatform.Signature(id))
			_, _ = w.Write([]byte("old"))
		}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(old.Close)
		d := newDeployment(1, 1)
		d.announceInstance("n8", address(old), "")
		res, err := http.Get("http://" + d.instances[0].peersAddress + "/log-read?topic=control&part=0&from=0&max-kb=1")
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		d.instances[0].links.set(refusing)
		Eventually(func() int {
			return d.instances[0].callWithin(2*time.Second, http.MethodPost, "/confirm/x", "r", key, nil).status
		}, eventuallyTimeout).Should(Equal(http.StatusOK))
		Expect(relayed.Load()).To(BeNumerically(">", 0))

		d.announceInstance("n8", address(old), "upgraded") // a later start of the same instance
		_, err = io.ReadAll(res.Body)
		Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("EOF"))))
		// The instance refuses plain text from when it has read the record.
		Eventually(func() error {
			res, err := http.Get("http://" + d.instances[0].peersAddress + "/log-read?topic=control&part=0&from=0&max-kb=1")
			if err == nil {
				_ = res.Body.Close()
			}
			return err
		}, eventuallyTimeout).Should(HaveOccurred())
	})
})

// fingerprintOf returns the fingerprint that the instance has announced.
func (d *deployment) fingerprintOf(name string) (fingerprint string) {
	for _, data := range d.store.Records("control", 0) {
		r, err := job.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		if r.InstanceStarted != nil && r.InstanceStarted.Instance == name {
			fingerprint = r.InstanceStarted.KeyFingerprint
		}
	}
	return fingerprint
}
