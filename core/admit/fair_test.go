package admit_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/admit"
)

func init() { _ = flag.Set("rapid.seed", "4") } // a command-line flag overrides it

// queueDriver submits and finishes the requests of a queue and tracks the granted ones.
// Its clock advances by 1 ms with each finished request.
type queueDriver struct {
	q        *admit.Queue
	now      time.Duration
	nextID   uint64
	requests map[uint64]admit.Request
	running  []uint64           // ids of the granted requests, oldest first
	served   map[string]float64 // sum of true costs, by flow
}

func newQueueDriver(l admit.Limits) *queueDriver {
	return &queueDriver{q: admit.New(l), requests: map[uint64]admit.Request{}, served: map[string]float64{}}
}

func (s *queueDriver) submit(r admit.Request) []admit.Decision {
	s.nextID++
	r.ID = s.nextID
	s.requests[r.ID] = r
	return s.trackGrants(s.q.Submit(s.now, r))
}

func (s *queueDriver) trackGrants(decisions []admit.Decision) []admit.Decision {
	for _, d := range decisions {
		if d.Reason == 0 {
			s.running = append(s.running, d.ID)
		}
	}
	return decisions
}

// finish ends the oldest running request with the given true cost.
func (s *queueDriver) finish(cost float64) (admit.Request, []admit.Decision) {
	id := s.running[0]
	s.running = s.running[1:]
	s.now += time.Millisecond
	s.served[s.requests[id].Flow] += cost
	return s.requests[id], s.trackGrants(s.q.Finish(s.now, id, cost))
}

// submitUntil submits requests until the flow has n of them waiting or running.
func submitUntil(s *queueDriver, outstanding map[string]int, r admit.Request, n int) {
	for outstanding[r.Flow] < n {
		s.submit(r)
		outstanding[r.Flow]++
	}
}

func TestNeitherClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		share := rapid.Float64Range(0.05, 0.5).Draw(t, "share")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		reserve := rapid.IntRange(0, slots-1).Draw(t, "reserve")
		callerCost := rapid.Float64Range(1, 50).Draw(t, "callerCost")
		sampleCost := rapid.Float64Range(1, 50).Draw(t, "sampleCost")
		callerEstimateFactor := rapid.Float64Range(0.25, 4).Draw(t, "callerError")
		sampleEstimateFactor := rapid.Float64Range(0.25, 4).Draw(t, "sampleError")
		s := newQueueDriver(admit.Limits{Concurrency: slots, Queue: 100, CallerReserve: reserve, SampleShare: share})
		outstanding := map[string]int{}
		const rounds = 1500
		for range rounds {
			submitUntil(s, outstanding, admit.Request{Flow: "caller", Weight: 1, Cost: callerCost * callerEstimateFactor}, slots+2)
			submitUntil(s, outstanding, admit.Request{Flow: "trainer", Weight: 1, Cost: sampleCost * sampleEstimateFactor, Class: admit.ClassSample}, slots+2)
			cost := callerCost
			if s.requests[s.running[0]].Class == admit.ClassSample {
				cost = sampleCost
			}
			done, _ := s.finish(cost)
			outstanding[done.Flow]--
		}
		total := s.served["caller"] + s.served["trainer"]
		slack := float64(2*slots+2) * max(callerCost, sampleCost, callerCost*callerEstimateFactor, sampleCost*sampleEstimateFactor)
		if reserve == 0 {
			g.Expect(s.served["trainer"]).To(BeNumerically(">=", share*total-slack), "samples under a caller flood")
		}
		g.Expect(s.served["trainer"]).To(BeNumerically(">", 0))
		g.Expect(s.served["caller"]).To(BeNumerically(">=", (1-share)*total-slack), "callers under a sample flood")
	})
}

func TestFlowsShareByWeightAndTrueCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		n := rapid.IntRange(2, 5).Draw(t, "flows")
		var weights, estimates, costs []float64
		maxCost, minWeight := 0.0, math.Inf(1)
		for i := range n {
			weights = append(weights, rapid.Float64Range(1, 8).Draw(t, "weight"))
			minWeight = min(minWeight, weights[i])
			costs = append(costs, rapid.Float64Range(1, 40).Draw(t, "cost"))
			estimates = append(estimates, costs[len(costs)-1]*rapid.Float64Range(0.25, 4).Draw(t, "error"))
			maxCost = max(maxCost, costs[len(costs)-1], estimates[len(costs)-1])
		}
		credit := rapid.Float64Range(0, 16).Draw(t, "credit")
		s := newQueueDriver(admit.Limits{Concurrency: slots, Queue: 1000, IdleCredit: credit})
		outstanding := map[string]int{}
		for range 1500 {
			for i := range n {
				submitUntil(s, outstanding, admit.Request{Flow: fmt.Sprint(i), Weight: weights[i], Cost: estimates[i]}, slots+2)
			}
			var i int
			fmt.Sscan(s.requests[s.running[0]].Flow, &i)
			done, _ := s.finish(costs[i])
			outstanding[done.Flow]--
		}
		// With start-time fair queueing, the normalised service of two flows differs by
		// at most one request of each flow. The bound here allows one per slot, because
		// the charge of a running request may still be an estimate. It also allows the
		// idle credit of a flow that becomes active: rounds of all slots divided by the
		// weight of the active flows. That is largest if only the flow with the smallest
		// weight is active.
		for i := range n {
			for j := range i {
				a, b := s.served[fmt.Sprint(i)]/weights[i], s.served[fmt.Sprint(j)]/weights[j]
				bound := float64(slots+1) * 2 * maxCost * (1/weights[i] + 1/weights[j])
				bound += credit * float64(slots) * maxCost / minWeight
				g.Expect(max(a-b, b-a)).To(BeNumerically("<=", bound), "flows %d and %d of %v", i, j, s.served)
			}
		}
	})
}

func TestEveryRequestIsDecidedOnce(t *testing.T) { rapid.Check(t, checkDecidedOnce) }

func FuzzEveryRequestIsDecidedOnce(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkDecidedOnce)) }

func checkDecidedOnce(t *rapid.T) {
	g := NewWithT(t)
	limits := admit.Limits{Concurrency: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(1, 6).Draw(t, "queue")}
	s := newQueueDriver(limits)
	decided := map[uint64]bool{}
	markDecided := func(decisions []admit.Decision) {
		for _, d := range decisions {
			g.Expect(decided).NotTo(HaveKey(d.ID), "a request was decided twice")
			decided[d.ID] = true
		}
	}
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0, 1, 2:
			markDecided(s.submit(admit.Request{
				Flow: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "flow")), Weight: rapid.Float64Range(1, 4).Draw(t, "weight"),
				Cost: rapid.Float64Range(0, 9).Draw(t, "cost"), Class: admit.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				Deadline: s.now + time.Duration(rapid.IntRange(0, 5).Draw(t, "patience"))*time.Millisecond,
			}))
		case 3:
			if len(s.running) > 0 {
				_, d := s.finish(rapid.Float64Range(0, 20).Draw(t, "true cost"))
				markDecided(d)
			}
		case 4:
			id := uint64(rapid.IntRange(1, 50).Draw(t, "id"))
			canceled := s.q.Cancel(id)
			g.Expect(canceled && decided[id]).To(BeFalse(), "a decided request was still waiting")
			if canceled {
				decided[id] = true
			}
		case 5:
			markDecided(s.trackGrants(s.q.Expire(s.now)))
		}
		granted, waiting := s.q.Load()
		g.Expect(granted).To(BeNumerically("<=", limits.Concurrency))
		g.Expect(waiting).To(BeNumerically("<=", limits.Queue))
		g.Expect(granted).To(Equal(len(s.running)))
	}
}

func TestFullQueueDropsLargestBacklog(t *testing.T) {
	g := NewWithT(t)
	s := newQueueDriver(admit.Limits{Concurrency: 1, Queue: 4})
	for range 5 {
		s.submit(admit.Request{Flow: "flood", Weight: 1, Cost: 1})
	}
	g.Expect(s.submit(admit.Request{Flow: "flood", Weight: 1, Cost: 1})).To(Equal([]admit.Decision{{ID: 6, Reason: admit.QueueFull}}))
	g.Expect(s.submit(admit.Request{Flow: "quiet", Weight: 1, Cost: 1})).To(Equal([]admit.Decision{{ID: 5, Reason: admit.QueueFull}}))
	s.finish(1)
	g.Expect(s.requests[s.running[0]].Flow).To(Equal("quiet"))
}

func TestRetryAfterAndEarlyShedding(t *testing.T) {
	g := NewWithT(t)
	q := admit.New(admit.Limits{Concurrency: 2, Queue: 4})
	q.Submit(0, admit.Request{ID: 1, Flow: "a", Weight: 1, Cost: 1})
	q.Submit(0, admit.Request{ID: 2, Flow: "a", Weight: 1, Cost: 1})
	q.Finish(4*time.Second, 1, 1)
	q.Submit(4*time.Second, admit.Request{ID: 3, Flow: "a", Weight: 1, Cost: 1})
	for id := uint64(4); id < 8; id++ {
		q.Submit(4*time.Second, admit.Request{ID: id, Flow: "a", Weight: 1, Cost: 1})
	}
	// Position 5, with two slots that are held for 4 s each: 5 x 4 s / 2.
	g.Expect(q.Submit(4*time.Second, admit.Request{ID: 8, Flow: "a", Weight: 1})).To(Equal([]admit.Decision{{8, admit.QueueFull, 10 * time.Second}}))
	// A new flow gets position 2: 2 x 4 s / 2.
	g.Expect(q.EstimateWait("b", 1, admit.ClassCaller)).To(Equal(4 * time.Second))
	g.Expect(q.Submit(4*time.Second, admit.Request{ID: 9, Flow: "b", Weight: 1, Deadline: 7 * time.Second})).To(Equal([]admit.Decision{{9, admit.DeadlineTooClose, 4 * time.Second}}))
}
