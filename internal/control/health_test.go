package control

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/platform"
)

var _ = Describe("The time line of health", func() {
	It("tells of a peer that falls silent and of a lease that lapses", func() {
		b := newBench()
		a, silent := b.start(false), b.start(false)
		b.configure(a)
		Eventually(func() bool {
			_, held := a.Held(DeploymentLease, 0)
			_, other := silent.Held(DeploymentLease, 0)
			return held || other
		}, "30s").Should(BeTrue())
		holder := a
		if _, held := a.Held(DeploymentLease, 0); !held {
			holder = silent
		}
		b.store.SetDown(true)
		Eventually(happened(holder, "lease lapsed"), "30s").Should(BeTrue())
		b.store.SetDown(false)

		left := silent.Self
		silent.stop()
		// The list goes on showing it, as a lagging list does.
		b.list.Set(platform.ListedInstance{ID: left.ID, Incarnation: left.Incarnation, DataCentre: left.DataCentre, Address: left.Address, State: platform.InstanceLive})
		Eventually(happened(a, "peer suspected"), "30s").Should(BeTrue())
	})
})
