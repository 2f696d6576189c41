package hosted_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

var _ = Describe("An instance that has skipped records which the log no longer keeps", func() {
	It("does not say of a job that it does not exist, but refuses the request", func() {
		d := newDeployment(1, 1)
		events := tasks(2, 10)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		d.instances[0].awaitResults("j", 2)
		d.store.TrimTopic("control")
		young := d.start(1)
		Eventually(young.isReady, eventuallyTimeout).Should(BeTrue())
		for _, path := range []string{"/lots/j?after=0", "/items/j?id=x"} {
			Expect(young.call(http.MethodGet, path, "r", key, nil).status).To(Equal(http.StatusServiceUnavailable), path)
		}
		Expect(young.call(http.MethodDelete, "/lots/j", "r", key, nil).status).To(Equal(http.StatusServiceUnavailable))
		Expect(young.call(http.MethodGet, "/none", "r", key, nil).status).To(Equal(http.StatusNotFound), "no job")
		checkOutputs(d.instances[0].awaitResults("j", 2), events)
	})
})
