package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

var (
	shop         = usage.Subject{Account: "shop", Service: "lm"}
	windowConfig = usage.WindowConfig{Window: time.Minute, Grace: 10 * time.Second}
)

func unixTime(d time.Duration) time.Time { return time.UnixMilli(d.Milliseconds()) }

func allLive(string) bool { return true }

// billedAfter returns the billed state after applying the seal at the offset.
func billedAfter(s usage.BilledState, offset record.Offset, seal record.UsageSeal) usage.BilledState {
	out := usage.BilledState{LastSeal: offset, SealedUntil: seal.End, Sources: map[string]usage.BilledSource{}, Retired: map[string]int64{}}
	for source, figures := range s.Sources {
		out.Sources[source] = figures
	}
	for _, source := range seal.Sources {
		out.Sources[source.Source] = usage.BilledSource{Figures: source.Figures, LastBilledUntil: seal.End}
	}
	for _, source := range seal.Retired {
		delete(out.Sources, source)
		out.Retired[source] = seal.End
	}
	return out
}

var _ = Describe("NextSeal", func() {
	var (
		counter    *usage.Counter
		aggregator *usage.Aggregator
		billed     usage.BilledState
	)
	count := func(window time.Duration, requests int64) {
		counter.Add(window.Milliseconds(), shop, usage.Count{Requests: requests})
		aggregator.Add(counter.Report())
	}
	nextSeal := func(now time.Duration, cfg usage.WindowConfig) (record.UsageSeal, bool) {
		return aggregator.NextSeal(billed, unixTime(now), cfg, allLive)
	}
	BeforeEach(func() {
		counter, aggregator, billed = usage.NewCounter("a@1"), usage.NewAggregator(), usage.BilledState{}
	})

	DescribeTable("returns a seal once the window and the grace have ended",
		func(now time.Duration, due bool) {
			count(0, 3)
			_, ok := nextSeal(now, windowConfig)
			Expect(ok).To(Equal(due))
		},
		Entry("during the window", 59*time.Second, false),
		Entry("during the grace", 69*time.Second, false),
		Entry("at the end of the grace", 70*time.Second, true),
	)

	It("returns no seal for windows without use", func() {
		count(5*time.Minute, 1)
		seal, ok := nextSeal(10*time.Minute, windowConfig)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal((5 * time.Minute).Milliseconds()))
		billed = billedAfter(billed, 1, seal)
		_, ok = nextSeal(20*time.Minute, windowConfig)
		Expect(ok).To(BeFalse())
	})

	It("seals each window of an outage separately, oldest first", func() {
		count(0, 1)
		count(time.Minute, 2)
		count(3*time.Minute, 4)
		var windows, requests []int64
		for offset := record.Offset(1); ; offset++ {
			seal, ok := nextSeal(10*time.Minute, windowConfig)
			if !ok {
				break
			}
			windows = append(windows, seal.Window/time.Minute.Milliseconds())
			requests = append(requests, seal.Figures[0].Requests)
			billed = billedAfter(billed, offset, seal)
		}
		Expect(windows).To(Equal([]int64{0, 1, 3}))
		Expect(requests).To(Equal([]int64{1, 2, 4}))
	})

	It("bills late use in the next window and records it as late", func() {
		count(0, 1)
		seal, _ := nextSeal(2*time.Minute, windowConfig)
		billed = billedAfter(billed, 1, seal)
		counter.Compact(billed.SealedUntil)
		count(0, 5) // the source's clock is behind
		count(time.Minute, 2)
		seal, ok := nextSeal(3*time.Minute, windowConfig)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal(time.Minute.Milliseconds()))
		Expect(seal.Figures[0].Requests).To(Equal(int64(7)))
		Expect(seal.Late[0].Requests).To(Equal(int64(5)))
	})

	It("bills late use of a source without later use", func() {
		count(0, 1)
		seal, _ := nextSeal(2*time.Minute, windowConfig)
		billed = billedAfter(billed, 1, seal)
		counter.Compact(billed.SealedUntil)
		count(0, 5)
		seal, ok := nextSeal(3*time.Minute, windowConfig)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(BeNumerically(">=", billed.SealedUntil))
		Expect(seal.Figures[0].Requests).To(Equal(int64(5)))
	})

	It("does not bill an outdated report again", func() {
		count(0, 1)
		old := counter.Report()
		count(0, 1)
		seal, _ := nextSeal(2*time.Minute, windowConfig)
		billed = billedAfter(billed, 1, seal)
		successor := usage.NewAggregator()
		successor.Add(old)
		_, ok := successor.NextSeal(billed, unixTime(5*time.Minute), windowConfig, allLive)
		Expect(ok).To(BeFalse())
	})

	It("starts no window inside a sealed one when the window length changes", func() {
		count(0, 1)
		count(time.Minute, 2)
		seal, _ := nextSeal(2*time.Minute, windowConfig)
		billed = billedAfter(billed, 1, seal)
		longer := usage.WindowConfig{Window: 90 * time.Second}
		seal, ok := nextSeal(4*time.Minute, longer)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal((60 * time.Second).Milliseconds()))
		Expect(seal.End).To(Equal((90 * time.Second).Milliseconds()))
		billed = billedAfter(billed, 2, seal)
		count(100*time.Second, 4)
		seal, _ = nextSeal(5*time.Minute, longer)
		Expect(seal.Window).To(Equal(billed.SealedUntil))
	})

	It("retires a source that is not live once its use is billed", func() {
		count(0, 1)
		seal, _ := nextSeal(2*time.Minute, windowConfig)
		billed = billedAfter(billed, 1, seal)
		liveCounter := usage.NewCounter("b@1")
		liveCounter.Add((30 * time.Minute).Milliseconds(), shop, usage.Count{Requests: 1})
		aggregator.Add(liveCounter.Report())
		seal, ok := aggregator.NextSeal(billed, unixTime(time.Hour), windowConfig, func(source string) bool { return source == "b@1" })
		Expect(ok).To(BeTrue())
		Expect(seal.Retired).To(Equal([]string{"a@1"}))
		billed = billedAfter(billed, 2, seal)
		Expect(billed.Sources).NotTo(HaveKey("a@1"))
		_, ok = nextSeal(2*time.Hour, windowConfig)
		Expect(ok).To(BeFalse())
	})
})
