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

	Describe("an entry of another writer that is later than the target's own", func() {
		put := func(at time.Duration, startedAt, seq int64) {
			d.Put(at, directory.Target{ID: "a", StartedAt: startedAt, HeartbeatSeq: seq, Ready: true})
		}
		current := func() (startedAt, seq int64) {
			t := d.Targets(0)[0]
			return t.StartedAt, t.HeartbeatSeq
		}
		heartbeats := func(from time.Duration, first int64, count int) {
			for i := range count {
				put(from+time.Duration(i)*1200*time.Millisecond, 10, first+int64(i))
			}
		}

		DescribeTable("hides the target until it has written some heartbeats", func(odd func()) {
			odd()
			heartbeats(2*time.Second, 6, 2)
			_, seq := current()
			Expect(seq).NotTo(BeNumerically("==", 7))
			heartbeats(2*time.Second+2400*time.Millisecond, 8, 3)
			startedAt, seq := current()
			Expect([]int64{startedAt, seq}).To(Equal([]int64{10, 10}))
		},
			Entry("a start", func() { put(time.Second, 11, 1) }),
			Entry("a heartbeat", func() { put(time.Second, 10, 1<<53) }),
			Entry("several", func() { put(0, 1<<53, 1<<53); put(0, 30, 5); put(0, 30, 4); put(time.Second, 10, 1<<53) }),
			Entry("one that is written again unchanged", func() {
				put(0, 11, 1)
				heartbeats(1500*time.Millisecond, 4, 1)
				put(2*time.Second, 11, 1)
			}),
		)

		It("is a start of the target if it goes on with heartbeats, whatever arrives late", func() {
			for i := range int64(20) {
				put(time.Duration(i)*1200*time.Millisecond, 11, i+1)
				heartbeats(time.Duration(i)*1200*time.Millisecond, 6+i, 1)
			}
			startedAt, _ := current()
			Expect(startedAt).To(BeNumerically("==", 11))
		})

		It("is a start of the target if writes of the start before arrive late at once, or one again and again", func() {
			put(time.Second, 11, 1)
			for i := range int64(9) {
				put(time.Second, 10, 6+i)
			}
			put(2*time.Second, 11, 2)
			for i := range int64(9) {
				put(time.Duration(i+2)*time.Second, 10, 15)
			}
			startedAt, _ := current()
			Expect(startedAt).To(BeNumerically("==", 11))
		})
	})

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
