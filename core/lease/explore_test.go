package lease

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// The explorer is a model checker: it runs Machine and fold.State through every order of
// steps of a few instances within bounds. Time is counted in ticks. Between two ticks any
// instance may read one record, run Tick or step down, and any pending append may be stored
// in the log, be stored and stay pending, or never be stored. An instance that does nothing
// is paused. A fast clock gains one tick every driftPeriod ticks.

const (
	tick         = time.Duration(1)
	termTicks    = 3
	marginTicks  = 1
	flightTicks  = 1 // longest time that an order is in flight
	driftPeriod  = 3
	maxStates    = 20_000_000 // explore stops there
	maxInstances = 3
	maxLog       = 6
	maxPending   = 3
)

// protocol is the lease protocol. The specs replace one part of it by a mutant.
type protocol struct {
	timing       Timing
	releaseDelay time.Duration // wait between stepping down and the release
	observe      func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease)
	afterSend    func(m *Machine) // called after an append was sent
}

// correct returns the protocol without a mutant.
func correct() protocol {
	return protocol{
		timing: Timing{Term: termTicks * tick, DriftMargin: marginTicks * tick}, releaseDelay: flightTicks * tick,
		observe: (*Machine).Observe, afterSend: func(*Machine) {},
	}
}

// bounds limit an exploration: the numbers of instances, of ticks, of records in the log, of
// repeated appends and of steps down. The benchmark prints the names of the fields.
type bounds struct {
	procs, ticks, log, duplicates, stepDowns int
}

// appendOp is an append that is pending or in the log.
type appendOp struct {
	instance, number int8 // number counts the instance's appends from 1; zero: none
	supersedes       int8
	release          bool
}

// instance is the state of one instance.
type instance struct {
	machine       Machine
	readCount     int8 // records read
	sentCount     int8 // appends sent
	inFlightUntil int8 // real tick until which one of its orders may be in flight
	fast          bool
}

// systemState is the state of all instances and the log.
type systemState struct {
	now        int8
	instances  [maxInstances]instance
	log        [maxLog]appendOp
	logLen     int8
	pending    [maxPending]appendOp
	duplicates int8
	stepDowns  int8
}

// key identifies a system state. It is comparable, and its pending appends are sorted, as
// their order does not matter.
type key struct {
	counters  [5]int8
	instances [maxInstances][14]int8
	log       [maxLog]appendOp
	pending   [maxPending]appendOp
}

func (w *systemState) key() key {
	k := key{counters: [5]int8{w.now, w.logLen, w.duplicates, w.stepDowns}, log: w.log, pending: w.pending}
	slices.SortFunc(k.pending[:], func(a, b appendOp) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.number, b.number))
	})
	for p := range w.instances {
		inst := &w.instances[p]
		m := &inst.machine
		k.instances[p] = [14]int8{
			inst.readCount, inst.sentCount, max(inst.inFlightUntil, w.now), boolToInt8(inst.fast), boolToInt8(m.hasPending), boolToInt8(m.steppingDown),
			int8(m.observedAt), int8(m.sentAt), int8(m.expiresAt), int8(m.releaseAt), int8(m.current.LastOffset),
			int8(m.current.Term), int8(m.pendingID[1]),
		}
		if m.current.Holder != "" {
			k.instances[p][13] = int8(m.current.Holder[1])
		}
	}
	return k
}

func boolToInt8(b bool) int8 {
	if b {
		return 1
	}
	return 0
}

type explorer struct {
	protocol  protocol
	bounds    bounds
	seen      map[key]struct{}
	applied   map[[maxLog]appendOp][]appliedRecord
	violation string
}

type appliedRecord struct {
	id      record.ID
	verdict fold.Verdict
	lease   fold.Lease
}

func instanceName(p int) string { return fmt.Sprint("p", p) }

func idOf(a appendOp) record.ID { return uuid.UUID{byte(a.instance) + 1, byte(a.number)} }

// applyLog returns the verdict of each record and the lease after it, which are the same for
// every reader. The first record has no instance and releases the lease, so that the
// instances may claim it at once.
func (e *explorer) applyLog(w *systemState) []appliedRecord {
	if out, ok := e.applied[w.log]; ok {
		return out
	}
	s := fold.New()
	var out []appliedRecord
	for i, a := range w.log[:w.logLen] {
		holder := instanceName(int(a.instance))
		if a.release {
			holder = ""
		}
		body := record.Lease{Name: "l", Holder: holder, Duration: termTicks * tick}
		data, err := record.Encode(idOf(a), holder, record.Offset(a.supersedes), body)
		Expect(err).NotTo(HaveOccurred())
		result, err := s.Apply(record.Offset(i+1), data)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, appliedRecord{idOf(a), result.Verdict, s.Leases["l"]})
	}
	e.applied[w.log] = out
	return out
}

// clock returns the reading of an instance's clock.
func (w *systemState) clock(p int) time.Duration {
	now := time.Duration(w.now) * tick
	if w.instances[p].fast {
		now += time.Duration(w.now/driftPeriod) * tick
	}
	return now
}

// explore visits every reachable system state and stops at the first one in which an
// instance holds the lease while an order of another may be in flight.
func (e *explorer) explore() {
	e.seen, e.applied = map[key]struct{}{}, map[[maxLog]appendOp][]appliedRecord{}
	var stack []systemState
	for fast := range 1 << e.bounds.procs {
		w := systemState{logLen: 1}
		w.log[0] = appendOp{instance: maxInstances, number: 1, release: true}
		for p := range e.bounds.procs {
			w.instances[p] = instance{machine: *NewMachine("l", instanceName(p), e.protocol.timing, 0), fast: fast>>p&1 == 1}
		}
		stack = append(stack, w)
	}
	for len(stack) > 0 && e.violation == "" && len(e.seen) < maxStates {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.check(&w)
		k := w.key()
		if _, visited := e.seen[k]; visited {
			continue
		}
		e.seen[k] = struct{}{}
		stack = e.successors(stack, w)
	}
}

// check extends the time in which an order of each lease holder may be in flight. It reports
// a violation if an order of another instance may be in flight.
func (e *explorer) check(w *systemState) {
	for p := range e.bounds.procs {
		if _, held := w.instances[p].machine.Held(w.clock(p), e.orderFlight()); !held {
			continue
		}
		for q := range e.bounds.procs {
			if q != p && w.instances[q].inFlightUntil > w.now {
				e.violation = fmt.Sprintf("at tick %d instance %d holds the lease while an order of instance %d is in flight", w.now, p, q)
			}
		}
		w.instances[p].inFlightUntil = w.now + flightTicks
	}
}

// advance moves the time by one tick. The worst case is that every lease holder sends an
// order at the very end of the tick.
func (e *explorer) advance(w *systemState) {
	for p := range e.bounds.procs {
		if _, held := w.instances[p].machine.Held(w.clock(p), e.orderFlight()); held {
			w.instances[p].inFlightUntil = w.now + 1 + flightTicks
		}
	}
	w.now++
}

// orderFlight returns how long an order is in flight; no mutant changes it.
func (e *explorer) orderFlight() time.Duration { return flightTicks * tick }

// successors appends the states that one step leads to.
func (e *explorer) successors(out []systemState, w systemState) []systemState {
	if int(w.now) < e.bounds.ticks {
		next := w
		e.advance(&next)
		out = append(out, next)
	}
	for p := range e.bounds.procs {
		out = e.steps(out, w, p)
	}
	for i := range w.pending {
		out = e.deliveries(out, w, i)
	}
	return out
}

// steps appends the states that one step of instance p leads to.
func (e *explorer) steps(out []systemState, w systemState, p int) []systemState {
	if w.instances[p].readCount < w.logLen {
		next := w
		r := e.applyLog(&next)[w.instances[p].readCount]
		next.instances[p].readCount++
		e.protocol.observe(&next.instances[p].machine, next.clock(p), r.id, r.verdict, r.lease)
		out = append(out, next)
	}
	next := w
	if e.send(&next, p) {
		out = append(out, next)
	}
	if int(w.stepDowns) < e.bounds.stepDowns && !w.instances[p].machine.steppingDown {
		next := w
		next.stepDowns++
		next.instances[p].machine.StepDown(next.clock(p), e.protocol.releaseDelay)
		out = append(out, next)
	}
	return out
}

// send runs Tick and makes its append pending. If maxPending appends are pending already, it
// returns false and the state is not visited: other orders of steps cover a lost append.
func (e *explorer) send(w *systemState, p int) bool {
	inst := &w.instances[p]
	number := inst.sentCount + 1
	request := inst.machine.Tick(w.clock(p), func() record.ID { return idOf(appendOp{instance: int8(p), number: number}) })
	if request == nil {
		return false
	}
	inst.sentCount = number
	e.protocol.afterSend(&inst.machine)
	for i := range w.pending {
		if w.pending[i].number == 0 {
			w.pending[i] = appendOp{instance: int8(p), number: number, supersedes: int8(request.Supersedes), release: request.Body.Holder == ""}
			return true
		}
	}
	return false
}

// deliveries appends the states in which the pending append i is stored in the log.
func (e *explorer) deliveries(out []systemState, w systemState, i int) []systemState {
	if w.pending[i].number == 0 || int(w.logLen) >= e.bounds.log {
		return out
	}
	next := w
	next.log[next.logLen] = w.pending[i]
	next.logLen++
	if int(w.duplicates) < e.bounds.duplicates {
		again := next
		again.duplicates++
		out = append(out, again)
	}
	next.pending[i] = appendOp{}
	return append(out, next)
}

var _ = Describe("Every order of steps of the lease protocol within bounds", func() {
	run := func(r protocol, b bounds) *explorer {
		e := &explorer{protocol: r, bounds: b}
		start := time.Now()
		e.explore()
		GinkgoWriter.Printf("%d states in %s: %q\n", len(e.seen), time.Since(start).Round(time.Millisecond), e.violation)
		return e
	}
	twoInstances := bounds{procs: 2, ticks: 4, log: 3}

	DescribeTable("no instance holds the lease while an order of another is in flight", func(b bounds) {
		e := run(correct(), b)
		Expect(e.violation).To(BeEmpty())
		Expect(len(e.seen)).To(BeNumerically(">", 1000))
	},
		Entry("two instances", twoInstances),
		Entry("two instances, one steps down", bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
	)

	DescribeTable("a mutant of the protocol violates it", func(change func(r *protocol), b bounds) {
		r := correct()
		change(&r)
		Expect(run(r, b).violation).NotTo(BeEmpty())
	},
		Entry("a claim without the drift margin", func(r *protocol) { r.timing.DriftMargin = 0 }, twoInstances),
		Entry("a claim before the full term", func(r *protocol) {
			r.timing.Term = termTicks / 2 * tick
			r.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if s.Holder != m.self {
					s.Duration /= 2
				}
				m.Observe(now, id, v, s)
			}
		}, twoInstances),
		Entry("a term counted from the read of the claim", func(r *protocol) {
			r.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if m.hasPending && id == m.pendingID {
					m.sentAt = now
				}
				m.Observe(now, id, v, s)
			}
		}, twoInstances),
		Entry("a lease that is held before its claim is read back", func(r *protocol) {
			r.afterSend = func(m *Machine) { m.expiresAt = m.sentAt + m.timing.Term }
		}, twoInstances),
		Entry("a release while a call is in flight", func(r *protocol) { r.releaseDelay = 0 }, bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
	)
})

// BenchmarkExplore measures larger explorations than the specs run.
func BenchmarkExplore(b *testing.B) {
	RegisterTestingT(b)
	for _, bound := range []bounds{
		{procs: 2, ticks: 5, log: 4, duplicates: 1},
		{procs: 3, ticks: 4, log: 3},
	} {
		b.Run(fmt.Sprintf("%+v", bound), func(b *testing.B) {
			for range b.N {
				e := &explorer{protocol: correct(), bounds: bound}
				e.explore()
				if e.violation != "" {
					b.Fatal(e.violation)
				}
				b.ReportMetric(float64(len(e.seen)), "states")
			}
		})
	}
}
