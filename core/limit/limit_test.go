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

func init() { _ = flag.Set("rapid.seed", "4") } // a command-line flag overrides it

const (
	step      = 10 * time.Millisecond
	instances = 4
)

// fleet simulates the instances that serve an account, and its owner, with a virtual
// clock.
type fleet struct {
	now           time.Duration
	limits        limit.Limits
	allocator     *limit.Allocator
	limiters      []*limit.LocalLimiter
	inFlightUntil [][]time.Duration // by instance: end times of requests in flight
	cutOff        map[int]bool      // instances that cannot reach the owner

	admitted    []int // by instance
	maxInFlight int
}

func newFleet(limits limit.Limits) *fleet {
	f := &fleet{limits: limits, allocator: limit.NewAllocator(-limit.AllocationTTL, limits), cutOff: map[int]bool{}, inFlightUntil: make([][]time.Duration, instances), admitted: make([]int, instances)}
	for range instances {
		f.limiters = append(f.limiters, limit.NewLocalLimiter(0, limits, instances))
	}
	return f
}

// run sends rates[i] requests per second to instance i for d. Each admitted request is in
// flight for holdTime.
func (f *fleet) run(d, holdTime time.Duration, rates ...float64) {
	arrivals := make([]float64, instances)
	for end := f.now + d; f.now < end; f.now += step {
		total := 0
		for i, l := range f.limiters {
			for len(f.inFlightUntil[i]) > 0 && f.inFlightUntil[i][0] <= f.now {
				f.inFlightUntil[i] = f.inFlightUntil[i][1:]
				l.Release()
			}
			requestDue := f.now%limit.RequestInterval == 0
			arrivals[i] += rates[i] * step.Seconds()
			for ; arrivals[i] >= 1; arrivals[i]-- {
				if !l.HasAllocation(f.now) {
					requestDue = true
				}
				f.requestAllocation(i, requestDue)
				requestDue = false
				if decision, _ := l.TryAcquire(f.now); decision == limit.Admitted {
					f.admitted[i]++
					f.inFlightUntil[i] = append(f.inFlightUntil[i], f.now+holdTime)
				}
			}
			f.requestAllocation(i, requestDue && !l.Idle(f.now))
			total += len(f.inFlightUntil[i])
		}
		f.maxInFlight = max(f.maxInFlight, total)
	}
}

func (f *fleet) requestAllocation(i int, due bool) {
	if due && !f.cutOff[i] {
		f.limiters[i].SetAllocation(f.now, f.now, f.allocator.Allocate(f.now, fmt.Sprint(i), instances, f.limiters[i].Demand(f.now)))
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
		drive         func(f *fleet)
		minAdmitted   float64 // fraction of the limit over ten seconds
		excessSeconds float64 // allowance above rate x time, for bursts and, with faults, a TTL
	}{
		"all traffic on one instance": {func(f *fleet) { f.run(10*time.Second, 0, 200, 0, 0, 0) }, 0.9, 2},
		"even":                        {func(f *fleet) { f.run(10*time.Second, 0, 50, 50, 50, 50) }, 0.9, 2},
		"uneven":                      {func(f *fleet) { f.run(10*time.Second, 0, 300, 10, 10, 0) }, 0.9, 2},
		"below the limit on one":      {func(f *fleet) { f.run(10*time.Second, 0, 90, 0, 0, 0) }, 0.85, 2},
		"moving": {func(f *fleet) {
			f.run(5*time.Second, 0, 200, 0, 0, 0)
			f.run(5*time.Second, 0, 0, 200, 0, 0)
		}, 0.8, 3},
		"a new owner": {func(f *fleet) {
			f.run(5*time.Second, 0, 200, 50, 0, 0)
			f.allocator = limit.NewAllocator(f.now, f.limits)
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
			g.Expect(float64(f.total())).To(BeNumerically(">=", c.minAdmitted*rate*10))
			g.Expect(float64(f.total())).To(BeNumerically("<=", rate*(10+c.excessSeconds)+instances))
		})
	}
}

func TestConcurrencyOverInstances(t *testing.T) {
	const slots = 16
	holdTime := 500 * time.Millisecond
	for name, c := range map[string]struct {
		drive   func(f *fleet)
		minPeak int // least value of the most requests in flight at once
		maxPeak int // largest value of it
	}{
		"all on one instance": {func(f *fleet) { f.run(5*time.Second, holdTime, 200, 0, 0, 0) }, slots, slots},
		"even":                {func(f *fleet) { f.run(5*time.Second, holdTime, 50, 50, 50, 50) }, slots, slots},
		"moving": {func(f *fleet) {
			f.run(3*time.Second, holdTime, 200, 0, 0, 0)
			f.run(3*time.Second, holdTime, 0, 0, 200, 0)
		}, slots, slots},
		"long requests continue while the allocation shrinks": {func(f *fleet) {
			f.run(time.Second, time.Minute, 200, 0, 0, 0)
			f.run(3*time.Second, time.Minute, 0, 200, 0, 0)
		}, slots, slots},
		"a new owner": {func(f *fleet) {
			f.run(3*time.Second, holdTime, 200, 50, 0, 0)
			f.allocator = limit.NewAllocator(f.now, f.limits)
			f.run(3*time.Second, holdTime, 200, 50, 0, 0)
		}, slots, 2 * slots},
		"one instance cut off": {func(f *fleet) {
			f.cutOff[0] = true
			f.run(3*time.Second, holdTime, 200, 200, 0, 0)
		}, slots, slots + slots/instances},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(limit.Limits{Concurrency: slots})
			c.drive(f)
			g.Expect(f.maxInFlight).To(BeNumerically(">=", c.minPeak))
			g.Expect(f.maxInFlight).To(BeNumerically("<=", c.maxPeak))
		})
	}
}

func TestFairBetweenInstances(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(limit.Limits{Rate: 100})
	f.run(time.Second, 0, 500, 20, 20, 500)
	clear(f.admitted)
	f.run(10*time.Second, 0, 500, 20, 20, 500)
	g.Expect(f.admitted[1]).To(BeNumerically(">=", 180), "a demand below the fair share is met in full")
	g.Expect(f.admitted[2]).To(BeNumerically(">=", 180))
	g.Expect(f.admitted[0]).To(BeNumerically("~", f.admitted[3], 30))
}

func TestAllocatorNeverExceedsTheLimit(t *testing.T) {
	type instanceState struct {
		allocation limit.Allocation
		expiresAt  time.Duration
		inFlight   int
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		limits := limit.Limits{Rate: rapid.Float64Range(0.5, 500).Draw(t, "rate"), Concurrency: rapid.IntRange(1, 64).Draw(t, "concurrency")}
		allocator := limit.NewAllocator(-limit.AllocationTTL, limits)
		holders := map[int]*instanceState{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, 5).Draw(t, "instance")
			h := holders[i]
			if h == nil {
				h = &instanceState{}
				holders[i] = h
			}
			if now >= h.expiresAt {
				h.allocation, h.inFlight = limit.Allocation{}, 0
			}
			h.inFlight = min(rapid.IntRange(0, 64).Draw(t, "used"), max(h.allocation.Concurrency, h.inFlight))
			allocation := allocator.Allocate(now, fmt.Sprint(i), 6, limit.AllocationRequest{
				Rate: rapid.Float64Range(0, 1000).Draw(t, "demand"), PeakInFlight: rapid.IntRange(0, 100).Draw(t, "peak"), InFlight: h.inFlight, Current: h.allocation,
			})
			if rapid.Bool().Draw(t, "reply received") {
				h.allocation, h.expiresAt = allocation, now+limit.AllocationTTL
			}
			rate, slots := 0.0, 0
			for _, h := range holders {
				if now < h.expiresAt {
					rate += h.allocation.Rate
					slots += max(h.allocation.Concurrency, h.inFlight)
				}
			}
			g.Expect(rate).To(BeNumerically("<=", limits.Rate*(1+1e-9)))
			g.Expect(slots).To(BeNumerically("<=", limits.Concurrency))
		}
	})
}

func BenchmarkAllocate(b *testing.B) {
	const holders = 1700
	allocator := limit.NewAllocator(-limit.AllocationTTL, limit.Limits{Rate: 1000, Concurrency: 1000})
	ids := make([]string, holders)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * limit.RequestInterval / holders
		allocator.Allocate(now, ids[i%holders], holders, limit.AllocationRequest{Rate: float64(i % 7), PeakInFlight: i % 3})
	}
}
