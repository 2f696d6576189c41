package intake_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/intake"
)

const (
	ms        = time.Millisecond
	hop       = 500 * time.Microsecond // between any two of caller, instance and target
	work      = 25 * ms
	slots     = 6
	capacity  = 3 * slots * int(time.Second/work) // requests a second
	burst     = 2 * time.Second
	patience  = 800 * ms
	heavy     = "account0"
	noAttempt = -1
)

// event is a function that runs at a time; seq keeps the order of those at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// call is a request of a caller, sent again once if it is refused.
type call struct {
	id       uint64
	account  string
	deadline time.Duration
	arrived  time.Duration // first time
	retried  bool
	attempts int             // of the current sending
	tried    map[string]bool // earlier policy
	answered time.Duration   // zero: not
}

// replay is a plain service of three targets behind some instances.
type replay struct {
	now      time.Duration
	events   eventHeap
	seq      int
	random   *rand.Rand
	busy     map[string]int
	calls    []*call
	attempts int // requests sent to targets
	refused  int // by targets
	final    int // responses 503 to callers
	late     int // refused later than half of the patience after the sending
	returns  []time.Duration
	handle   func(instance int, c *call)
}

func (r *replay) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, run})
}

// send sends a request to a target; done runs when its answer is back.
func (r *replay) send(target string, done func(ran bool)) {
	r.attempts++
	r.after(hop, func() {
		if r.busy[target] >= slots {
			r.refused++
			r.after(hop, func() { done(false) })
			return
		}
		r.busy[target]++
		r.after(work, func() {
			r.busy[target]--
			r.after(hop, func() { done(true) })
		})
	})
}

// answer responds to the caller: status 200, or 503 with a Retry-After.
func (r *replay) answer(c *call, ok bool, retryAfter time.Duration, arrived time.Duration) {
	if ok {
		c.answered = r.now + hop
		return
	}
	r.final++
	if r.now-arrived > patience/2 {
		r.late++
	}
	if c.retried || r.now+retryAfter > c.deadline {
		return
	}
	c.retried, c.attempts = true, 0
	clear(c.tried)
	r.returns = append(r.returns, r.now+retryAfter)
	r.after(retryAfter, func() { r.handle(r.random.IntN(1<<20), c) })
}

// run replays the burst: 80 % of five times the capacity are of one account, the rest of seven.
func run(handler func(r *replay) func(instance int, c *call)) *replay {
	r := &replay{random: rand.New(rand.NewPCG(7, 7)), busy: map[string]int{}}
	r.handle = handler(r)
	total := 5 * capacity * int(burst/time.Second)
	for i := range total {
		account := heavy
		if i%5 == 0 {
			account = fmt.Sprintf("account%d", 1+(i/5)%7)
		}
		at := time.Duration(i) * burst / time.Duration(total)
		c := &call{id: uint64(i), account: account, arrived: at, deadline: at + patience, tried: map[string]bool{}}
		r.calls = append(r.calls, c)
		r.after(at, func() { r.handle(r.random.IntN(1<<20), c) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r
}

var targetIDs = []string{"t0", "t1", "t2"}

// earlier sends a request to the target with the fewest requests of the instance, then to the
// others, and after 30 ms to all of them again, up to a number of attempts; then it is refused
// for 250 ms.
func earlier(instances, maxAttempts int) func(r *replay) func(int, *call) {
	return func(r *replay) func(int, *call) {
		inFlight := make([]map[string]int, instances)
		for i := range inFlight {
			inFlight[i] = map[string]int{}
		}
		return func(instance int, c *call) {
			i, arrived := instance%instances, r.now
			var attempt func()
			attempt = func() {
				if c.attempts >= maxAttempts || r.now >= c.deadline-20*ms {
					r.answer(c, false, 250*ms, arrived)
					return
				}
				best := ""
				offset := r.random.IntN(3)
				for k := range targetIDs {
					id := targetIDs[(k+offset)%3]
					if !c.tried[id] && (best == "" || inFlight[i][id] < inFlight[i][best]) {
						best = id
					}
				}
				if best == "" {
					clear(c.tried)
					r.after(30*ms, attempt)
					return
				}
				c.tried[best] = true
				c.attempts++
				inFlight[i][best]++
				r.send(best, func(ran bool) {
					inFlight[i][best]--
					if ran {
						r.answer(c, true, 0, arrived)
						return
					}
					attempt()
				})
			}
			attempt()
		}
	}
}

// node is an instance with a queue.
type node struct {
	r       *replay
	queue   *intake.Queue
	waiting map[uint64]*call
	arrived map[uint64]time.Duration
	max     int
	wakeAt  time.Duration
}

// planned is the policy of the queue.
func planned(instances, maxAttempts int) func(r *replay) func(int, *call) {
	return func(r *replay) func(int, *call) {
		var nodes []*node
		for range instances {
			n := &node{r: r, queue: intake.NewQueue(), waiting: map[uint64]*call{}, arrived: map[uint64]time.Duration{}, max: maxAttempts, wakeAt: noAttempt}
			n.queue.SetTargets([]intake.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}, {ID: "t2", Slots: slots}})
			nodes = append(nodes, n)
		}
		return func(instance int, c *call) {
			n := nodes[instance%instances]
			n.arrived[c.id] = r.now
			n.arrive(c, false)
		}
	}
}

func (n *node) arrive(c *call, again bool) {
	n.waiting[c.id] = c
	n.apply(n.queue.Arrive(n.r.now, intake.Request{ID: c.id, Account: c.account, Deadline: c.deadline - 20*ms, Again: again}))
	n.step()
}

func (n *node) step() {
	for _, d := range n.queue.Step(n.r.now) {
		n.apply(d)
	}
	if at, waiting := n.queue.Next(n.r.now); waiting && (n.wakeAt < n.r.now || at < n.wakeAt) {
		at = max(at, n.r.now+100*time.Microsecond)
		n.wakeAt = at
		n.r.after(at-n.r.now, n.step)
	}
}

func (n *node) apply(d intake.Decision) {
	c := n.waiting[d.ID]
	switch d.Verdict {
	case intake.Wait:
		return
	case intake.Refuse:
		n.r.answer(c, false, intake.RetryAfter(d.ExpectedWait, n.r.random.Float64()), n.arrived[d.ID])
	case intake.Send:
		n.queue.Sent(n.r.now, d.Target, d.Target)
		c.attempts++
		sentAt := n.r.now
		n.r.send(d.Target, func(ran bool) {
			outcome := intake.Ran
			if !ran {
				outcome = intake.Refused
			}
			n.queue.Ended(n.r.now, d.Target, n.r.now-sentAt, outcome)
			switch {
			case ran:
				n.r.answer(c, true, 0, n.arrived[d.ID])
			case c.attempts >= n.max:
				n.r.answer(c, false, 100*ms, n.arrived[d.ID])
			default:
				n.arrive(c, true)
				return
			}
			n.step()
		})
	}
	delete(n.waiting, d.ID)
}

// figures of a replay.
type figures struct {
	served, target150    int     // answered in time, and within 150 ms of the sending
	capacityShare        float64 // of the capacity until the last deadline
	lightest, heaviest   float64 // share of an account's requests that are served
	heavyServed          int
	attempts, refusals   int
	final, late, returns int // returns: most callers that come back within 10 ms
	p50, p99             time.Duration
}

func (r *replay) figures() figures {
	f := figures{attempts: r.attempts, refusals: r.refused, final: r.final, late: r.late, lightest: 1}
	sent, served := map[string]int{}, map[string]int{}
	var times []time.Duration
	for _, c := range r.calls {
		sent[c.account]++
		if c.answered == 0 || c.answered > c.deadline {
			continue
		}
		f.served++
		served[c.account]++
		times = append(times, c.answered-c.arrived)
		if c.answered-c.arrived <= 150*ms {
			f.target150++
		}
	}
	for account, n := range sent {
		share := float64(served[account]) / float64(n)
		if account != heavy {
			f.lightest = min(f.lightest, share)
		} else {
			f.heaviest, f.heavyServed = share, served[account]
		}
	}
	slices.Sort(times)
	f.p50, f.p99 = times[len(times)/2], times[len(times)*99/100]
	slices.Sort(r.returns)
	for i := range r.returns {
		at, _ := slices.BinarySearch(r.returns, r.returns[i]+10*ms)
		f.returns = max(f.returns, at-i)
	}
	f.capacityShare = float64(f.served) / (float64(capacity) * (burst + patience).Seconds())
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("%d served (%.2f of the capacity), %d within 150 ms, light accounts %.2f of theirs at least, heavy %.2f (%d); p50 %d ms, p99 %d ms; %d sent to targets, %d refused there; %d answered 503, %d of them after 400 ms; %d return within 10 ms",
		f.served, f.capacityShare, f.target150, f.lightest, f.heaviest, f.heavyServed, f.p50.Milliseconds(), f.p99.Milliseconds(), f.attempts, f.refusals, f.final, f.late, f.returns)
}

var _ = Describe("Replay of a burst of five times the capacity", func() {
	DescribeTable("serves more, all accounts alike, and refuses the rest early",
		func(instances int) {
			now, before, endless := run(planned(instances, 4)).figures(), run(earlier(instances, 4)).figures(), run(earlier(instances, 1000)).figures()
			for _, f := range []figures{now, before, endless} {
				AddReportEntry(fmt.Sprintf("%d instances: %s", instances, f))
			}
			Expect(now.served).To(BeNumerically(">", before.served))
			Expect(now.refusals).To(BeNumerically("<", before.refusals))
			Expect(now.late).To(BeNumerically("<", endless.late/4))
			if instances < 10 { // with more, an instance seldom has two requests that wait
				Expect(now.lightest).To(BeNumerically(">", 0.7), "an equal share is 0.87 of the requests")
			}
		},
		Entry("one instance", 1), Entry("nine instances", 9), Entry("three hundred instances", 300),
	)
})
