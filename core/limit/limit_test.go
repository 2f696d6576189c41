package limit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/limit"
)

func init() { _ = flag.Set("rapid.seed", "4") } // a flag on the command line goes first

const (
	step      = 10 * time.Millisecond
	instances = 4
)

// fleet is some instances before one owner, on a clock of their own.
type fleet struct {
	now    time.Duration
	limits limit.Limits
	book   *limit.Allocator
	shares []*limit.LocalLimiter
	open   [][]time.Duration // ends of requests in flight
	cutOff map[int]bool

	admitted    []int
	maxInFlight int
}

func newFleet(limits limit.Limits) *fleet {
	f := &fleet{limits: limits, book: limit.NewAllocator(-limit.AllocationTTL, limits), cutOff: map[int]bool{}, open: make([][]time.Duration, instances), admitted: make([]int, instances)}
	for range instances {
		f.shares = append(f.shares, limit.NewLocalLimiter(0, limits, instances))
	}
	return f
}

// run lets traffic of rates[i] requests a second, each of length held, come to
// instance i for d.
func (f *fleet) run(d, held time.Duration, rates ...float64) {
	due := make([]float64, instances)
	for end := f.now + d; f.now < end; f.now += step {
		total := 0
		for i, s := range f.shares {
			for len(f.open[i]) > 0 && f.open[i][0] <= f.now {
				f.open[i] = f.open[i][1:]
				s.Release()
			}
			asks := f.now%limit.RequestInterval == 0
			due[i] += rates[i] * step.Seconds()
			for ; due[i] >= 1; due[i]-- {
				if !s.HasAllocation(f.now) {
					asks = true
				}
				f.ask(i, asks)
				asks = false
				if v, _ := s.TryAcquire(f.now); v == limit.Admitted {
					f.admitted[i]++
					f.open[i] = append(f.open[i], f.now+held)
				}
			}
			f.ask(i, asks && !s.Idle(f.now))
			total += len(f.open[i])
		}
		f.maxInFlight = max(f.maxInFlight, total)
	}
}

func (f *fleet) ask(i int, asks bool) {
	if asks && !f.cutOff[i] {
		f.shares[i].SetAllocation(f.now, f.now, f.book.Allocate(f.now, fmt.Sprint(i), instances, f.shares[i].Demand(f.now)))
	}
}

func (f *fleet) total() (n int) {
	for _, a := range f.admitted {
		n += a
	}
	return n
}

func TestRateOverInstances(t *testing.T) {
	const rate = 100.0
	for name, c := range map[string]struct {
		drive func(f *fleet)
		least float64 // part of the limit that must be admitted over ten seconds
		extra float64 // seconds of the limit above rate x time: bursts, and for the faults a term
	}{
		"all connections on one instance": {func(f *fleet) { f.run(10*time.Second, 0, 200, 0, 0, 0) }, 0.9, 2},
		"even":                            {func(f *fleet) { f.run(10*time.Second, 0, 50, 50, 50, 50) }, 0.9, 2},
		"uneven":                          {func(f *fleet) { f.run(10*time.Second, 0, 300, 10, 10, 0) }, 0.9, 2},
		"below the limit on one":          {func(f *fleet) { f.run(10*time.Second, 0, 90, 0, 0, 0) }, 0.85, 2},
		"moving": {func(f *fleet) {
			f.run(5*time.Second, 0, 200, 0, 0, 0)
			f.run(5*time.Second, 0, 0, 200, 0, 0)
		}, 0.8, 3},
		"a new owner": {func(f *fleet) {
			f.run(5*time.Second, 0, 200, 50, 0, 0)
			f.book = limit.NewAllocator(f.now, f.limits)
			f.run(5*time.Second, 0, 200, 50, 0, 0)
		}, 0.8, 2 + limit.AllocationTTL.Seconds()},
		"one instance cut off from the owner": {func(f *fleet) {
			f.cutOff[0] = true
			f.run(10*time.Second, 0, 200, 200, 0, 0)
		}, 0.9, 2 + 10/float64(instances)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(limit.Limits{Rate: rate})
			c.drive(f)
			g.Expect(float64(f.total())).To(BeNumerically(">=", c.least*rate*10))
			g.Expect(float64(f.total())).To(BeNumerically("<=", rate*(10+c.extra)+instances))
		})
	}
}

func TestConcurrencyOverInstances(t *testing.T) {
	const slots = 16
	held := 500 * time.Millisecond
	for name, c := range map[string]struct {
		drive func(f *fleet)
		least int // most in flight at once must reach this
		most  int
	}{
		"all on one instance": {func(f *fleet) { f.run(5*time.Second, held, 200, 0, 0, 0) }, slots, slots},
		"even":                {func(f *fleet) { f.run(5*time.Second, held, 50, 50, 50, 50) }, slots, slots},
		"moving": {func(f *fleet) {
			f.run(3*time.Second, held, 200, 0, 0, 0)
			f.run(3*time.Second, held, 0, 0, 200, 0)
		}, slots, slots},
		"long requests stay while the part shrinks": {func(f *fleet) {
			f.run(time.Second, time.Minute, 200, 0, 0, 0)
			f.run(3*time.Second, time.Minute, 0, 200, 0, 0)
		}, slots, slots},
		"a new owner": {func(f *fleet) {
			f.run(3*time.Second, held, 200, 50, 0, 0)
			f.book = limit.NewAllocator(f.now, f.limits)
			f.run(3*time.Second, held, 200, 50, 0, 0)
		}, slots, 2 * slots},
		"one instance cut off": {func(f *fleet) {
			f.cutOff[0] = true
			f.run(3*time.Second, held, 200, 200, 0, 0)
		}, slots, slots + slots/instances},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(limit.Limits{Concurrency: slots})
			c.drive(f)
			g.Expect(f.maxInFlight).To(BeNumerically(">=", c.least))
			g.Expect(f.maxInFlight).To(BeNumerically("<=", c.most))
		})
	}
}

func TestFairBetweenInstances(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(limit.Limits{Rate: 100})
	f.run(time.Second, 0, 500, 20, 20, 500)
	clear(f.admitted)
	f.run(10*time.Second, 0, 500, 20, 20, 500)
	g.Expect(f.admitted[1]).To(BeNumerically(">=", 180), "a demand below the fair part is met whole")
	g.Expect(f.admitted[2]).To(BeNumerically(">=", 180))
	g.Expect(f.admitted[0]).To(BeNumerically("~", f.admitted[3], 30))
}

func TestBookNeverAllotsMoreThanTheLimit(t *testing.T) {
	type held struct {
		part limit.Allocation
		till time.Duration
		used int
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limits := limit.Limits{Rate: rapid.Float64Range(0.5, 500).Draw(t, "rate"), Concurrency: rapid.IntRange(1, 64).Draw(t, "concurrency")}
		book := limit.NewAllocator(-limit.AllocationTTL, limits)
		holders := map[int]*held{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, 5).Draw(t, "instance")
			h := holders[i]
			if h == nil {
				h = &held{}
				holders[i] = h
			}
			if now >= h.till {
				h.part, h.used = limit.Allocation{}, 0
			}
			h.used = min(rapid.IntRange(0, 64).Draw(t, "used"), max(h.part.Concurrency, h.used))
			part := book.Allocate(now, fmt.Sprint(i), 6, limit.AllocationRequest{
				Rate: rapid.Float64Range(0, 1000).Draw(t, "demand"), PeakInFlight: rapid.IntRange(0, 100).Draw(t, "peak"), InFlight: h.used, Current: h.part,
			})
			if rapid.Bool().Draw(t, "answer arrives") {
				h.part, h.till = part, now+limit.AllocationTTL
			}
			rate, slots := 0.0, 0
			for _, h := range holders {
				if now < h.till {
					rate += h.part.Rate
					slots += max(h.part.Concurrency, h.used)
				}
			}
			g.Expect(rate).To(BeNumerically("<=", limits.Rate*(1+1e-9)))
			g.Expect(slots).To(BeNumerically("<=", limits.Concurrency))
		}
	})
}

func BenchmarkAsk(b *testing.B) {
	const holders = 1700
	book := limit.NewAllocator(-limit.AllocationTTL, limit.Limits{Rate: 1000, Concurrency: 1000})
	ids := make([]string, holders)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * limit.RequestInterval / holders
		book.Allocate(now, ids[i%holders], holders, limit.AllocationRequest{Rate: float64(i % 7), PeakInFlight: i % 3})
	}
}
