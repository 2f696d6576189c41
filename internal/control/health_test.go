package control

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/platform"
)

var _ = Describe("The timeline", func() {
	It("records a lease that expires and a peer that becomes suspect", func() {
		f := newFixture()
		a, b := f.start(false), f.start(false)
		f.configure(a)
		Eventually(func() bool {
			_, held := a.Held(DeploymentLease, 0)
			_, other := b.Held(DeploymentLease, 0)
			return held || other
		}, "30s").Should(BeTrue())
		holder := a
		if _, held := a.Held(DeploymentLease, 0); !held {
			holder = b
		}
		f.store.SetDown(true)
		Eventually(hasEvent(holder, "lease lapsed"), "30s").Should(BeTrue())
		f.store.SetDown(false)

		self := b.Self
		b.stop()
		// The list still contains the stopped instance, as an outdated list does.
		f.list.Set(platform.ListedInstance{ID: self.ID, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address, State: platform.InstanceLive})
		Eventually(hasEvent(a, "peer suspected"), "30s").Should(BeTrue())
	})
})
