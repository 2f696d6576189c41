package hosted_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

var _ = Describe("Missing targets", func() {
	// The controller took a lack of targets for its own dismissal, and ordered only after jobs
	// had come late.
	It("are ordered in another data centre when one is evacuated, past one that has none", func() {
		d := newDeployment(1, 2)
		config := hostplatform.Config(d.version+3, host, []string{key})
		config["services"].([]map[string]any)[0]["scaling"] = map[string]any{"min": 0, "max": 4, "boot-s": 0.2, "zone-prices": map[string]float64{"a": 1, "b": 1, "c": 2}}
		d.store.Put(platform.OperatorTopic, "config", config)
		d.cloud.RefuseOrders("b")
		tasks := map[string]int{}
		for i := range 16 {
			tasks[fmt.Sprint("t", i)] = 4000
		}
		in := d.instances[0]
		Expect(in.call(http.MethodPost, "/train/x", "x", key, hostplatform.Submission(1, tasks)).status).To(Equal(http.StatusAccepted))
		// The controller plans after each report, so between two of them it has seen the job.
		reports := func() int { return strings.Count(d.logged(), "usage reported") }
		before := reports()
		Eventually(reports, eventuallyTimeout).Should(BeNumerically(">", before+1))
		Expect(d.cloud.ScaleOrders()).To(BeEmpty(), "the peak is covered")
		d.store.Put(platform.OperatorTopic, "evacuate/a", map[string]any{})
		Eventually(d.cloud.ScaleOrders, eventuallyTimeout).Should(ContainElement(hostplatform.ScaleOrder{Service: "models", DataCentre: "c", Count: 2}))
		Expect(d.logged()).To(ContainSubstring("a data centre is evacuated"))
		for _, o := range d.cloud.ScaleOrders() {
			Expect(o.DataCentre).To(Equal("c"))
		}
		before = reports()
		Eventually(reports, eventuallyTimeout).Should(BeNumerically(">", before+1), "the holder goes on")
		Expect(d.logged()).NotTo(ContainSubstring("duty superseded"))
	})
})

var _ = Describe("The controller, of whose engines many do not answer,", func() {
	// It asked them one after the other between two renewals.
	It("keeps its lease", func() {
		d := newSilentDeployment(2, 20)
		Eventually(func() int { // reports that were not read under the latest holder: three times as many as at once
			changes := strings.Split(d.logged(), `event="duty holder"`)
			return countLines(changes[len(changes)-1], "order unclear")
		}, eventuallyTimeout).Should(BeNumerically(">=", 12))
	})

	// Those that did not answer counted as loading, which few may at once.
	It("moves those that do", func() {
		d := newSilentDeployment(1, 9)
		answers := d.addTarget("e9", "models", 8, hostplatform.FirstSoftware)
		Eventually(answers.Version, eventuallyTimeout).Should(Equal(int64(2)))
	})
})

// newSilentDeployment returns a deployment whose engines do not answer when they are asked for their
// report, and for which version 2 of the weights has been published.
func newSilentDeployment(instances, engines int) *deployment {
	d := newDeployment(instances, engines)
	answer := make(chan struct{})
	DeferCleanup(func() { close(answer) })
	for _, e := range d.engines {
		e.SetBeforeReport(func(http.ResponseWriter) { <-answer })
	}
	d.store.Put(platform.OperatorTopic, "version/m", map[string]any{"model": "m", "version": 2})
	return d
}
