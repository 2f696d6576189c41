package hosted_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

var _ = Describe("A log that is slow for all instances", func() {
	// All instances claimed the jobs of runners whose heartbeats waited for the log.
	It("leaves jobs with their runners, which live", func() {
		d := newDeployment(4, 2)
		events := tasks(4, 6000)
		Expect(d.instances[0].call(http.MethodPost, "/train/x", "x", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(d.heartbeatCount, eventuallyTimeout).Should(BeNumerically(">", 2))
		d.store.SetFault(hostplatform.SlowAppends)
		before := d.heartbeatCount()
		Eventually(d.heartbeatCount, eventuallyTimeout).Should(BeNumerically(">", before+4))
		d.store.SetFault(hostplatform.Healthy)
		checkOutputs(d.instances[1].awaitResults("x", len(events)), events)
		Expect(strings.Count(d.logged(), "job claimed")).To(BeZero())
		Expect(strings.Count(d.logged(), "job taken")).To(Equal(1))
	})
})
