package lease_test

import (
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/record"
)

var timing = lease.Timing{Term: 6 * time.Second, DriftMargin: time.Second}

func ids() func() record.ID {
	n := byte(0)
	return func() record.ID { n++; return uuid.UUID{n} }
}

var _ = Describe("Machine", func() {
	It("waits a term and the margin before it claims", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		Expect(m.Tick(7*time.Second-1, ids())).To(BeNil())
		Expect(m.Tick(7*time.Second, ids())).NotTo(BeNil())
	})

	It("counts its term from before it sent the record", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, ids())
		_, held := m.Held(7*time.Second, 0)
		Expect(held).To(BeFalse(), "not read back yet")
		m.Observe(10*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Term)})
		_, held = m.Held(13*time.Second-1, 0)
		Expect(held).To(BeTrue())
		_, held = m.Held(13*time.Second, 0)
		Expect(held).To(BeFalse())
	})

	It("renews a term that lapsed in an outage at once, while nobody else has claimed", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, ids())
		m.Observe(20*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Term)})
		late := 20 * time.Second
		_, held := m.Held(late, 0)
		Expect(held).To(BeFalse())
		renewal := m.Tick(late, ids())
		Expect(renewal).NotTo(BeNil())
		Expect(renewal.Supersedes).To(Equal(record.Offset(3)))
		_, held = m.Held(late, 0)
		Expect(held).To(BeFalse(), "not read back yet: another claim may stand before it")
	})

	It("stops when another's claim is read", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, ids())
		m.Observe(7*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Term)})
		m.Observe(8*time.Second, uuid.UUID{9}, fold.Accepted, fold.Lease{Holder: "b", Term: 4, LastOffset: 4, Duration: int64(timing.Term)})
		_, held := m.Held(8*time.Second, 0)
		Expect(held).To(BeFalse())
	})

	It("claims a released lease at once", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		m.Observe(time.Second, uuid.UUID{9}, fold.Accepted, fold.Lease{Holder: "", Term: 4, LastOffset: 4})
		Expect(m.Tick(time.Second, ids())).NotTo(BeNil())
	})

	It("stops acting when it yields and releases once its calls have ended", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, ids())
		m.Observe(7*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Term)})
		m.StepDown(8*time.Second, time.Second)
		_, held := m.Held(8*time.Second, 0)
		Expect(held).To(BeFalse())
		Expect(m.Tick(9*time.Second-1, ids())).To(BeNil())
		release := m.Tick(9*time.Second, ids())
		Expect(release.Body.Holder).To(BeEmpty())
		Expect(release.Supersedes).To(Equal(record.Offset(3)))
	})

	It("claims later than others by its delay", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		m.SetClaimDelay(time.Second)
		Expect(m.Tick(8*time.Second-1, ids())).To(BeNil())
		Expect(m.Tick(8*time.Second, ids())).NotTo(BeNil())
	})

	DescribeTable("names of leases for orders", func(by config.ShardBy, want string) {
		Expect(lease.OrdersLeaseName(by, "north")).To(Equal(want))
	},
		Entry(nil, config.ShardByDeployment, "deployment"), Entry(nil, config.ShardByDataCentre, "deployment/north"))
})
