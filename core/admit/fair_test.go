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

func init() { _ = flag.Set("rapid.seed", "4") } // a flag on the command line goes first

// server drives a queue whose requests run one unit of time per cost unit.
type server struct {
	q      *admit.Queue
	now    time.Duration
	nextID uint64
	meta   map[uint64]admit.Request
	run    []uint64
	served map[string]float64 // true cost by flow
}

func newServer(l admit.Limits) *server {
	return &server{q: admit.New(l), meta: map[uint64]admit.Request{}, served: map[string]float64{}}
}

func (s *server) submit(r admit.Request) []admit.Decision {
	s.nextID++
	r.ID = s.nextID
	s.meta[r.ID] = r
	return s.take(s.q.Submit(s.now, r))
}

func (s *server) take(verdicts []admit.Decision) []admit.Decision {
	for _, v := range verdicts {
		if v.Reason == 0 {
			s.run = append(s.run, v.ID)
		}
	}
	return verdicts
}

// finish ends the oldest running request at the given true cost.
func (s *server) finish(cost float64) (admit.Request, []admit.Decision) {
	id := s.run[0]
	s.run = s.run[1:]
	s.now += time.Millisecond
	s.served[s.meta[id].Flow] += cost
	return s.meta[id], s.take(s.q.Finish(s.now, id, cost))
}

// keep tops the flow's backlog up to n.
func keep(s *server, backlog map[string]int, r admit.Request, n int) {
	for backlog[r.Flow] < n {
		s.submit(r)
		backlog[r.Flow]++
	}
}

func TestClassesStarveNeither(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		share := rapid.Float64Range(0.05, 0.5).Draw(t, "share")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		reserve := rapid.IntRange(0, slots-1).Draw(t, "reserve")
		callerCost := rapid.Float64Range(1, 50).Draw(t, "callerCost")
		sampleCost := rapid.Float64Range(1, 50).Draw(t, "sampleCost")
		callerError := rapid.Float64Range(0.25, 4).Draw(t, "callerError")
		sampleError := rapid.Float64Range(0.25, 4).Draw(t, "sampleError")
		s := newServer(admit.Limits{Concurrency: slots, Queue: 100, CallerReserve: reserve, SampleShare: share})
		backlog := map[string]int{}
		const rounds = 1500
		for range rounds {
			keep(s, backlog, admit.Request{Flow: "caller", Weight: 1, Cost: callerCost * callerError}, slots+2)
			keep(s, backlog, admit.Request{Flow: "trainer", Weight: 1, Cost: sampleCost * sampleError, Class: admit.ClassSample}, slots+2)
			cost := callerCost
			if s.meta[s.run[0]].Class == admit.ClassSample {
				cost = sampleCost
			}
			done, _ := s.finish(cost)
			backlog[done.Flow]--
		}
		total := s.served["caller"] + s.served["trainer"]
		slack := float64(2*slots+2) * max(callerCost, sampleCost, callerCost*callerError, sampleCost*sampleError)
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
		maxCost, least := 0.0, math.Inf(1)
		for i := range n {
			weights = append(weights, rapid.Float64Range(1, 8).Draw(t, "weight"))
			least = min(least, weights[i])
			costs = append(costs, rapid.Float64Range(1, 40).Draw(t, "cost"))
			estimates = append(estimates, costs[len(costs)-1]*rapid.Float64Range(0.25, 4).Draw(t, "error"))
			maxCost = max(maxCost, costs[len(costs)-1], estimates[len(costs)-1])
		}
		credit := rapid.Float64Range(0, 16).Draw(t, "credit")
		s := newServer(admit.Limits{Concurrency: slots, Queue: 1000, IdleCredit: credit})
		backlog := map[string]int{}
		for range 1500 {
			for i := range n {
				keep(s, backlog, admit.Request{Flow: fmt.Sprint(i), Weight: weights[i], Cost: estimates[i]}, slots+2)
			}
			var i int
			fmt.Sscan(s.meta[s.run[0]].Flow, &i)
			done, _ := s.finish(costs[i])
			backlog[done.Flow]--
		}
		// Start-time fair queueing: normalized service differs by one request of
		// each flow, here for each slot, whose charge may still be an estimate, and
		// by the credit that a flow had when it came: rounds of all slots among the
		// flows that were active then, of which one is the least that there can be.
		for i := range n {
			for j := range i {
				a, b := s.served[fmt.Sprint(i)]/weights[i], s.served[fmt.Sprint(j)]/weights[j]
				bound := float64(slots+1) * 2 * maxCost * (1/weights[i] + 1/weights[j])
				bound += credit * float64(slots) * maxCost / least
				g.Expect(max(a-b, b-a)).To(BeNumerically("<=", bound), "flows %d and %d of %v", i, j, s.served)
			}
		}
	})
}

func TestEveryRequestIsDecidedOnce(t *testing.T) { rapid.Check(t, decidedOnce) }

func FuzzEveryRequestIsDecidedOnce(f *testing.F) { f.Fuzz(rapid.MakeFuzz(decidedOnce)) }

func decidedOnce(t *rapid.T) {
	g := NewWithT(t)
	limits := admit.Limits{Concurrency: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(1, 6).Draw(t, "queue")}
	s := newServer(limits)
	decided := map[uint64]bool{}
	note := func(verdicts []admit.Decision) {
		for _, v := range verdicts {
			g.Expect(decided).NotTo(HaveKey(v.ID), "a second decision")
			decided[v.ID] = true
		}
	}
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0, 1, 2:
			note(s.submit(admit.Request{
				Flow: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "flow")), Weight: rapid.Float64Range(1, 4).Draw(t, "weight"),
				Cost: rapid.Float64Range(0, 9).Draw(t, "cost"), Class: admit.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				Deadline: s.now + time.Duration(rapid.IntRange(0, 5).Draw(t, "patience"))*time.Millisecond,
			}))
		case 3:
			if len(s.run) > 0 {
				_, v := s.finish(rapid.Float64Range(0, 20).Draw(t, "true cost"))
				note(v)
			}
		case 4:
			id := uint64(rapid.IntRange(1, 50).Draw(t, "id"))
			was := s.q.Cancel(id)
			g.Expect(was && decided[id]).To(BeFalse(), "a decided request was cancelled")
			if was {
				decided[id] = true
			}
		case 5:
			note(s.take(s.q.Expire(s.now)))
		}
		granted, waiting := s.q.Load()
		g.Expect(granted).To(BeNumerically("<=", limits.Concurrency))
		g.Expect(waiting).To(BeNumerically("<=", limits.Queue))
		g.Expect(granted).To(Equal(len(s.run)))
	}
}

func TestFloodIsShedBeforeOthers(t *testing.T) {
	g := NewWithT(t)
	s := newServer(admit.Limits{Concurrency: 1, Queue: 4})
	for range 5 {
		s.submit(admit.Request{Flow: "flood", Weight: 1, Cost: 1})
	}
	g.Expect(s.submit(admit.Request{Flow: "flood", Weight: 1, Cost: 1})).To(Equal([]admit.Decision{{ID: 6, Reason: admit.QueueFull}}))
	g.Expect(s.submit(admit.Request{Flow: "quiet", Weight: 1, Cost: 1})).To(Equal([]admit.Decision{{ID: 5, Reason: admit.QueueFull}}))
	s.finish(1)
	g.Expect(s.meta[s.run[0]].Flow).To(Equal("quiet"))
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
	// Five places, two slots, four seconds each.
	g.Expect(q.Submit(4*time.Second, admit.Request{ID: 8, Flow: "a", Weight: 1})).To(Equal([]admit.Decision{{8, admit.QueueFull, 10 * time.Second}}))
	// A second flow has the second place.
	g.Expect(q.EstimateWait("b", 1, admit.ClassCaller)).To(Equal(4 * time.Second))
	g.Expect(q.Submit(4*time.Second, admit.Request{ID: 9, Flow: "b", Weight: 1, Deadline: 7 * time.Second})).To(Equal([]admit.Decision{{9, admit.DeadlineTooClose, 4 * time.Second}}))
}
