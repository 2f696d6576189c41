package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/directory"
)

var _ = Describe("Directory", func() {
	const gracePeriod = 2 * time.Second
	var d *directory.Directory
	BeforeEach(func() {
		d = directory.New(gracePeriod)
		d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 5, StartedAt: 10, Ready: true})
	})

	It("removes an entry at once outside a grace period", func() {
		d.Remove(time.Second, "a")
		Expect(d.Targets(0)).To(BeEmpty())
	})

	It("delays a removal within the grace period until its end", func() {
		d.RegistryRestored(10 * time.Second)
		d.Remove(10*time.Second, "a")
		Expect(d.Expire(11 * time.Second)).To(BeFalse())
		Expect(d.Targets(0)).To(HaveLen(1))
		Expect(d.Expire(12 * time.Second)).To(BeTrue())
		Expect(d.Targets(0)).To(BeEmpty())
	})

	It("keeps an entry that is stored again within the grace period", func() {
		d.RegistryRestored(10 * time.Second)
		d.Retain(10*time.Second, map[string]bool{})
		d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 6, StartedAt: 10})
		Expect(d.Expire(time.Minute)).To(BeFalse())
		Expect(d.Targets(0)).To(HaveLen(1))
	})

	It("keeps a target that has said that it leaves from being ready, until it starts again", func() {
		Expect(d.SetLeaving(0, "a", 10)).To(BeTrue())
		Expect(d.SetLeaving(0, "a", 10)).To(BeFalse(), "it is known already")
		Expect(d.Targets(0)[0].Ready).To(BeFalse())
		d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 6, StartedAt: 10, Ready: true})
		Expect(d.Targets(0)[0].Ready).To(BeFalse(), "a later heartbeat of the same start")
		d.Remove(time.Second, "a")
		d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 7, StartedAt: 10, Ready: true})
		Expect(d.Targets(0)[0].Ready).To(BeFalse(), "its entry lapsed and is back")
		d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 1, StartedAt: 11, Ready: true})
		Expect(d.Targets(0)[0].Ready).To(BeTrue())
		Expect(d.SetLeaving(0, "a", 10)).To(BeFalse(), "a late response of the earlier start")
		Expect(d.Targets(0)[0].Ready).To(BeTrue())
	})

	It("takes no notice of a reclaim years ahead, which keeps orders of targets away for as long", func() {
		for _, notice := range []time.Duration{time.Minute, time.Hour, time.Hour + 1, 30 * 365 * 24 * time.Hour} {
			d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 5, StartedAt: 10, ReclaimedIn: notice})
			if notice > time.Hour {
				notice = 0
			}
			Expect(d.Targets(0)[0].ReclaimedIn).To(Equal(notice))
		}
	})

	DescribeTable("ignores an entry older than the stored one",
		func(t directory.Target, kept bool) {
			t.ID = "a"
			d.Put(0, t)
			Expect(d.Targets(0)[0].Ready).To(Equal(kept))
		},
		Entry("an earlier heartbeat", directory.Target{HeartbeatSeq: 4, StartedAt: 10}, true),
		Entry("an earlier start", directory.Target{HeartbeatSeq: 9, StartedAt: 9}, true),
		Entry("the next heartbeat", directory.Target{HeartbeatSeq: 6, StartedAt: 10}, false),
		Entry("a new start, whose heartbeats count from one again", directory.Target{HeartbeatSeq: 1, StartedAt: 11}, false),
	)

	Describe("a limit that a target names", func() {
		limit := func() (bool, float64) {
			t := d.Targets(0)[0]
			return t.Limited, t.RequestLimit
		}

		It("holds until the target answers without it a request sent later", func() {
			Expect(d.SetLimit(10*time.Second, "a", 10, 1.5)).To(BeTrue())
			Expect(d.SetLimit(11*time.Second, "a", 10, 1.5)).To(BeFalse(), "it is known already")
			limited, perSecond := limit()
			Expect(limited).To(BeTrue())
			Expect(perSecond).To(Equal(1.5))
			Expect(d.LiftLimit("a", 10, 10500*time.Millisecond)).To(BeFalse(), "a response that was overtaken")
			Expect(d.LiftLimit("a", 10, 11500*time.Millisecond)).To(BeTrue())
			limited, _ = limit()
			Expect(limited).To(BeFalse())
		})

		It("does not hold for a later start of the target", func() {
			d.SetLimit(time.Second, "a", 10, 1.5)
			d.Put(0, directory.Target{ID: "a", StartedAt: 20})
			limited, _ := limit()
			Expect(limited).To(BeFalse())
			Expect(d.SetLimit(2*time.Second, "a", 10, 1.5)).To(BeFalse(), "a late response of the earlier start")
		})

		It("holds while the entry is missing for a short time", func() {
			d.SetLimit(time.Second, "a", 10, 1.5)
			d.Remove(2*time.Second, "a")
			d.Expire(30 * time.Second)
			d.Put(0, directory.Target{ID: "a", HeartbeatSeq: 9, StartedAt: 10})
			limited, _ := limit()
			Expect(limited).To(BeTrue())
		})
	})
})
