package hosted_test

import (
	"bytes"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
)

var _ = Describe("The occupancy of engines", func() {
	// Guards against messages that the relay to the log takes, and against loads of a process that
	// is no instance.
	It("is taken from other instances only, at their listener", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		post := func(from string) int {
			data, err := occupancy.Encode(occupancy.Message{From: from, Incarnation: 1, Sequence: 1, Full: true})
			Expect(err).NotTo(HaveOccurred())
			res, err := http.Post("http://"+d.instances[1].peersAddress+"/occupancy", "", bytes.NewReader(data))
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			return res.StatusCode
		}
		Expect(post("n0")).To(Equal(http.StatusNoContent))
		Expect(post("")).To(Equal(http.StatusBadRequest))
		Expect(post("n1")).To(Equal(http.StatusBadRequest)) // its own name
		Expect(post("stranger")).To(Equal(http.StatusForbidden))
	})
})
