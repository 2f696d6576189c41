package hosted_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against weights that are loaded nowhere: at most two of these engines may load at once, and
// orders that are refused for good took both places again and again.
var _ = Describe("Orders to load weights", func() {
	DescribeTable("reach the other engines while some refuse them", func(status int) {
		d := newDeployment(1, 4)
		for _, e := range d.engines[:3] {
			e.RefuseOrders(status)
		}
		d.store.Put(platform.OperatorTopic, "version/m", map[string]any{"model": "m", "version": 2})
		Eventually(d.engines[3].Version, eventuallyTimeout).Should(Equal(int64(2)))
		for _, e := range d.engines[:3] {
			e.RefuseOrders(0)
		}
		for _, e := range d.engines {
			Eventually(e.Version, eventuallyTimeout).Should(Equal(int64(2)), "the refusal has ended")
		}
	},
		Entry("as invalid", http.StatusBadRequest),
		Entry("as those of another target", http.StatusMisdirectedRequest),
		Entry("for the moment", http.StatusServiceUnavailable),
		Entry("without an interface for orders", http.StatusNotFound),
	)
})
