package hosted_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/job"
)

var _ = Describe("Counts of requests", func() {
	// Those of hundreds of instances held up heartbeats and results while the log was slow.
	It("do not go through the control topic, and are reported in full past partitions that are down", func() {
		d := newDeployment(3, 1)
		for part := range 2 {
			d.store.SetPartitionDown("usage", part, true)
		}
		const calls = 12
		for i := range calls {
			Expect(d.instances[i%3].call(http.MethodPost, "/confirm/x", fmt.Sprint(i), key, nil).status).To(Equal(http.StatusOK))
		}
		reported := func() int64 { return d.cloud.RequestCounts()["acme"] }
		Eventually(reported, eventuallyTimeout).Should(Equal(int64(calls)))
		for _, data := range d.store.Records("control", 0) {
			r, err := job.Decode(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.UsageCounted).To(BeNil())
		}
		for part := range 2 {
			d.store.SetPartitionDown("usage", part, false)
		}
		for _, in := range d.instances[:2] { // a later holder reads the topic from its oldest record
			in.kill()
		}
		Expect(d.instances[2].call(http.MethodPost, "/confirm/x", "last", key, nil).status).To(Equal(http.StatusOK))
		Eventually(reported, eventuallyTimeout).Should(Equal(int64(calls + 1)))
	})

	// Guards against calls without an end: a report that is refused was repeated every 0.2 s.
	It("are not reported again and again if the platform refuses the report of a window", func() {
		d := newDeployment(1, 1)
		windows := func() int {
			_, windows := d.cloud.Reports()
			return windows
		}
		Eventually(windows, eventuallyTimeout).Should(BeNumerically(">", 0))
		d.cloud.RefuseReports()
		before := windows()
		Eventually(windows, eventuallyTimeout).Should(BeNumerically(">", before+7), "the other windows")
		refused, _ := d.cloud.Reports()
		Expect(refused).To(Equal(2), "the first refusal may be due to a garbled call")
	})
})
