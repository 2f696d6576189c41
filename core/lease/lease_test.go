package lease_test

import (
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/record"
)

var timing = lease.Timing{Duration: 6 * time.Second, DriftMargin: time.Second}

func idGenerator() func() record.ID {
	n := byte(0)
	return func() record.ID { n++; return uuid.UUID{n} }
}

var _ = Describe("Machine", func() {
	It("waits the lease duration and the drift margin before it claims", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		Expect(m.Tick(7*time.Second-1, idGenerator())).To(BeNil())
		Expect(m.Tick(7*time.Second, idGenerator())).NotTo(BeNil())
	})

	It("waits the same and a renewal interval from the read after a gap, and from each record until it knows the lease", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		m.Observe(time.Second, record.ID{}, fold.Accepted, fold.Lease{Holder: "b", Term: 1, LastOffset: 1, Duration: int64(timing.Duration)})
		m.ObserveGap(20*time.Second, 30)
		m.ObserveGap(21*time.Second, 30)
		Expect(m.Tick(29*time.Second-1, idGenerator())).To(BeNil())
		m.ObserveGap(22*time.Second, 31)
		Expect(m.Tick(31*time.Second-1, idGenerator())).To(BeNil())
		claim := m.Tick(31*time.Second, idGenerator())
		Expect(claim).NotTo(BeNil())
		Expect([]record.Offset{claim.Supersedes, claim.Term}).To(Equal([]record.Offset{0, 0}))
		m.Observe(31*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 32, LastOffset: 32, Duration: int64(timing.Duration)})
		Expect(m.Tick(33*time.Second, idGenerator()).Term).To(Equal(record.Offset(32)), "a renewal states the fencing number")
	})

	It("renews after a gap while its term lasts, and waits like others after that", func() {
		for _, late := range []bool{false, true} {
			m := lease.NewMachine("l", "a", timing, 0)
			claim := m.Tick(7*time.Second, idGenerator())
			m.Observe(8*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
			Expect(m.Tick(10*time.Second, idGenerator())).NotTo(BeNil(), "skipped by this instance")
			if late {
				m.ObserveGap(13*time.Second, 30)
				Expect(m.Tick(22*time.Second-1, idGenerator())).To(BeNil())
				Expect(m.Tick(22*time.Second, idGenerator())).NotTo(BeNil())
				continue
			}
			m.ObserveGap(11*time.Second, 30)
			term, held := m.HeldFor(11*time.Second, time.Second)
			Expect(held).To(BeTrue())
			Expect(term).To(Equal(record.Offset(3)))
			renewal := m.Tick(11*time.Second, idGenerator())
			Expect(renewal.Term).To(BeZero(), "it begins a new term")
			m.Observe(12*time.Second, renewal.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 31, LastOffset: 31, Duration: int64(timing.Duration)})
			Expect(m.ExpiresAt()).To(Equal(17 * time.Second))
		}
	})

	It("releases after a gap only while its term lasts", func() {
		for end, sent := range map[time.Duration]bool{12 * time.Second: true, 13 * time.Second: false} {
			m := lease.NewMachine("l", "a", timing, 0)
			claim := m.Tick(7*time.Second, idGenerator())
			m.Observe(8*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
			m.ObserveGap(9*time.Second, 30)
			m.StepDown(9*time.Second, end-9*time.Second)
			Expect(m.Tick(end, idGenerator()) != nil).To(Equal(sent), "%s", end)
		}
	})

	It("counts the lease duration from the time when it sent the record", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, idGenerator())
		_, held := m.HeldFor(7*time.Second, 0)
		Expect(held).To(BeFalse(), "not read back yet")
		m.Observe(10*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
		_, held = m.HeldFor(13*time.Second-1, 0)
		Expect(held).To(BeTrue())
		_, held = m.HeldFor(13*time.Second, 0)
		Expect(held).To(BeFalse())
	})

	It("renews at once a lease that expired in an outage, if no other claim was accepted", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, idGenerator())
		m.Observe(20*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
		late := 20 * time.Second
		_, held := m.HeldFor(late, 0)
		Expect(held).To(BeFalse())
		renewal := m.Tick(late, idGenerator())
		Expect(renewal).NotTo(BeNil())
		Expect(renewal.Supersedes).To(Equal(record.Offset(3)))
		_, held = m.HeldFor(late, 0)
		Expect(held).To(BeFalse(), "the renewal is not read back yet: another claim may precede it in the log")
	})

	It("stops holding the lease when it reads another instance's claim", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, idGenerator())
		m.Observe(7*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
		m.Observe(8*time.Second, uuid.UUID{9}, fold.Accepted, fold.Lease{Holder: "b", Term: 4, LastOffset: 4, Duration: int64(timing.Duration)})
		_, held := m.HeldFor(8*time.Second, 0)
		Expect(held).To(BeFalse())
	})

	It("claims a released lease at once", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		m.Observe(time.Second, uuid.UUID{9}, fold.Accepted, fold.Lease{Holder: "", Term: 4, LastOffset: 4})
		Expect(m.Tick(time.Second, idGenerator())).NotTo(BeNil())
	})

	It("stops holding the lease when it steps down, and releases it once all calls under it have ended", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		claim := m.Tick(7*time.Second, idGenerator())
		m.Observe(7*time.Second, claim.ID, fold.Accepted, fold.Lease{Holder: "a", Term: 3, LastOffset: 3, Duration: int64(timing.Duration)})
		m.StepDown(8*time.Second, time.Second)
		_, held := m.HeldFor(8*time.Second, 0)
		Expect(held).To(BeFalse())
		Expect(m.Tick(9*time.Second-1, idGenerator())).To(BeNil())
		release := m.Tick(9*time.Second, idGenerator())
		Expect(release.Body.Holder).To(BeEmpty())
		Expect(release.Supersedes).To(Equal(record.Offset(3)))
	})

	It("adds the claim delay to its wait before a claim", func() {
		m := lease.NewMachine("l", "a", timing, 0)
		m.SetClaimDelay(time.Second)
		Expect(m.Tick(8*time.Second-1, idGenerator())).To(BeNil())
		Expect(m.Tick(8*time.Second, idGenerator())).NotTo(BeNil())
	})

	DescribeTable("returns the name of the lease whose holder sends orders", func(by config.ShardBy, want string) {
		Expect(lease.OrdersLeaseName(by, "north")).To(Equal(want))
	},
		Entry(nil, config.ShardByDeployment, "deployment"), Entry(nil, config.ShardByDataCentre, "deployment/north"))

	It("does not take turns with another instance within a lease duration, also over a restart", func() {
		m := lease.NewMachine("l", "a/2", timing, 0)
		m.SetIncarnations(func(holder string) bool { return strings.HasPrefix(holder, "a/") })
		read := func(now time.Duration, holder string, offset record.Offset) {
			m.Observe(now, uuid.UUID{byte(100 + offset)}, fold.Accepted,
				fold.Lease{Holder: holder, Term: offset, LastOffset: offset, Duration: int64(timing.Duration)})
		}
		read(0, "a/1", 1)
		read(0, "", 2) // a restarts
		read(time.Second, "b/1", 3)
		read(2*time.Second, "", 4) // b stops
		Expect(m.Tick(8*time.Second-1, idGenerator())).To(BeNil())
		Expect(m.Tick(8*time.Second, idGenerator())).NotTo(BeNil())
	})

	It("claims a lease that its earlier incarnation has released if no other instance held it since", func() {
		m := lease.NewMachine("l", "a/2", timing, 0)
		m.SetIncarnations(func(holder string) bool { return strings.HasPrefix(holder, "a/") })
		m.Observe(0, uuid.UUID{101}, fold.Accepted, fold.Lease{Holder: "a/1", Term: 1, LastOffset: 1, Duration: int64(timing.Duration)})
		m.Observe(0, uuid.UUID{102}, fold.Accepted, fold.Lease{Term: 1, LastOffset: 2, Duration: int64(timing.Duration)})
		Expect(m.Tick(time.Second, idGenerator())).NotTo(BeNil())
	})
})
