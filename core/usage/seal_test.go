package usage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

var (
	shop   = usage.Subject{Account: "shop", Service: "lm"}
	timing = usage.WindowConfig{Window: time.Minute, Grace: 10 * time.Second}
)

func at(d time.Duration) time.Time { return time.UnixMilli(d.Milliseconds()) }

func everybody(string) bool { return true }

// settle returns what the seals' reader knows after the seal at the offset.
func settle(s usage.BilledState, offset record.Offset, seal record.UsageSeal) usage.BilledState {
	out := usage.BilledState{LastSeal: offset, End: seal.End, Sources: map[string]usage.BilledSource{}, Retired: map[string]int64{}}
	for source, figures := range s.Sources {
		out.Sources[source] = figures
	}
	for _, source := range seal.Sources {
		out.Sources[source.Source] = usage.BilledSource{Figures: source.Figures, End: seal.End}
	}
	for _, source := range seal.Retired {
		delete(out.Sources, source)
		out.Retired[source] = seal.End
	}
	return out
}

var _ = Describe("NextSeal", func() {
	var (
		counter *usage.Counter
		book    *usage.Aggregator
		settled usage.BilledState
	)
	count := func(slot time.Duration, requests int64) {
		counter.Add(slot.Milliseconds(), shop, usage.Count{Requests: requests})
		book.Add(counter.Report())
	}
	next := func(now time.Duration, t usage.WindowConfig) (record.UsageSeal, bool) {
		return book.NextSeal(settled, at(now), t, everybody)
	}
	BeforeEach(func() {
		counter, book, settled = usage.NewCounter("a@1"), usage.NewAggregator(), usage.BilledState{}
	})

	DescribeTable("waits for the window's end and the grace",
		func(now time.Duration, due bool) {
			count(0, 3)
			_, ok := next(now, timing)
			Expect(ok).To(Equal(due))
		},
		Entry("inside the window", 59*time.Second, false),
		Entry("inside the grace", 69*time.Second, false),
		Entry("at the end of the grace", 70*time.Second, true),
	)

	It("does not seal windows without use", func() {
		count(5*time.Minute, 1)
		seal, ok := next(10*time.Minute, timing)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal((5 * time.Minute).Milliseconds()))
		settled = settle(settled, 1, seal)
		_, ok = next(20*time.Minute, timing)
		Expect(ok).To(BeFalse())
	})

	It("seals each window of an outage by itself, oldest first", func() {
		count(0, 1)
		count(time.Minute, 2)
		count(3*time.Minute, 4)
		var windows, requests []int64
		for offset := record.Offset(1); ; offset++ {
			seal, ok := next(10*time.Minute, timing)
			if !ok {
				break
			}
			windows = append(windows, seal.Window/time.Minute.Milliseconds())
			requests = append(requests, seal.Figures[0].Requests)
			settled = settle(settled, offset, seal)
		}
		Expect(windows).To(Equal([]int64{0, 1, 3}))
		Expect(requests).To(Equal([]int64{1, 2, 4}))
	})

	It("moves late use to the next window and says so", func() {
		count(0, 1)
		seal, _ := next(2*time.Minute, timing)
		settled = settle(settled, 1, seal)
		counter.Compact(settled.End)
		count(0, 5) // its clock is behind
		count(time.Minute, 2)
		seal, ok := next(3*time.Minute, timing)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal(time.Minute.Milliseconds()))
		Expect(seal.Figures[0].Requests).To(Equal(int64(7)))
		Expect(seal.Late[0].Requests).To(Equal(int64(5)))
	})

	It("bills late use of a source that stays idle afterwards", func() {
		count(0, 1)
		seal, _ := next(2*time.Minute, timing)
		settled = settle(settled, 1, seal)
		counter.Compact(settled.End)
		count(0, 5)
		seal, ok := next(3*time.Minute, timing)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(BeNumerically(">=", settled.End))
		Expect(seal.Figures[0].Requests).To(Equal(int64(5)))
	})

	It("does not bill an overtaken report again", func() {
		count(0, 1)
		old := counter.Report()
		count(0, 1)
		seal, _ := next(2*time.Minute, timing)
		settled = settle(settled, 1, seal)
		successor := usage.NewAggregator()
		successor.Add(old)
		_, ok := successor.NextSeal(settled, at(5*time.Minute), timing, everybody)
		Expect(ok).To(BeFalse())
	})

	It("starts no window inside a sealed one when the length changes", func() {
		count(0, 1)
		count(time.Minute, 2)
		seal, _ := next(2*time.Minute, timing)
		settled = settle(settled, 1, seal)
		longer := usage.WindowConfig{Window: 90 * time.Second}
		seal, ok := next(4*time.Minute, longer)
		Expect(ok).To(BeTrue())
		Expect(seal.Window).To(Equal((60 * time.Second).Milliseconds()))
		Expect(seal.End).To(Equal((90 * time.Second).Milliseconds()))
		settled = settle(settled, 2, seal)
		count(100*time.Second, 4)
		seal, _ = next(5*time.Minute, longer)
		Expect(seal.Window).To(Equal(settled.End))
	})

	It("forgets a dead source once its use is billed", func() {
		count(0, 1)
		seal, _ := next(2*time.Minute, timing)
		settled = settle(settled, 1, seal)
		alive := usage.NewCounter("b@1")
		alive.Add((30 * time.Minute).Milliseconds(), shop, usage.Count{Requests: 1})
		book.Add(alive.Report())
		seal, ok := book.NextSeal(settled, at(time.Hour), timing, func(source string) bool { return source == "b@1" })
		Expect(ok).To(BeTrue())
		Expect(seal.Retired).To(Equal([]string{"a@1"}))
		settled = settle(settled, 2, seal)
		Expect(settled.Sources).NotTo(HaveKey("a@1"))
		_, ok = next(2*time.Hour, timing)
		Expect(ok).To(BeFalse())
	})
})
