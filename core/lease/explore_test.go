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

// The explorer is a model checker: it runs Machine and fold.State of a few instances through
// every order of steps within bounds. Time is counted in ticks. Between two ticks any instance
// may read a record, run Tick, step down, be killed or restart, and any pending append may be stored in the log,
// be stored and stay pending, so that it may be stored twice, or never be stored. An instance
// that takes no step is paused. A fast clock gains one tick every driftPeriod ticks. Orders
// stand for all calls that are made under the lease.

const (
	tick         = time.Duration(1)
	termTicks    = 3
	marginTicks  = 1
	flightTicks  = 1 // longest time that an order is in flight
	driftPeriod  = 3
	maxStates    = 20_000_000 // explore stops at this number
	maxInstances = 3
	maxLog       = 6
	maxPending   = 3
)

// protocol is the lease protocol. Specs replace one part by a mutant, a version with a fault
// that the explorer must find.
type protocol struct {
	timing       Timing
	releaseDelay time.Duration // wait between stepping down and the release
	observe      func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease)
	afterSend    func(m *Machine) // called after an append was sent
}

// correct returns the protocol without a mutant.
func correct() protocol {
	return protocol{
		timing: Timing{Duration: termTicks * tick, DriftMargin: marginTicks * tick}, releaseDelay: flightTicks * tick,
		observe: (*Machine).Observe, afterSend: func(*Machine) {},
	}
}

// bounds limit an exploration: the number of instances (procs), ticks, records in the log,
// duplicates of appends, calls of StepDown and Resume, restarts, and pending appends (zero: maxPending).
// The benchmark prints the field names.
type bounds struct {
	procs, ticks, log, duplicates, stepDowns, resumes, restarts, pending int
}

// appendOp is an append that is pending or in the log.
type appendOp struct {
	instance, number int8 // number counts the instance's appends from 1; zero: no append
	supersedes       int8
	release          bool
}

// instance is the state of one instance.
type instance struct {
	machine       Machine
	readCount     int8 // records read
	sentCount     int8 // appends sent
	inFlightUntil int8 // tick until which one of its orders may be in flight
	lastOrder     int8 // latest tick at which it may have sent an order
	sentOrder     bool // it may have sent an order
	tookTurn      bool // another instance may have sent an order since its latest one
	fast          bool // has a fast clock
	dead          bool // killed and not restarted yet
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
	resumes    int8
	restarts   int8
}

// key identifies a system state among those visited. It is comparable, and its pending appends
// are sorted, as their order does not matter.
type key struct {
	counters  [6]int8
	instances [maxInstances][18]int8
	log       [maxLog]appendOp
	pending   [maxPending]appendOp
}

func (s *systemState) key() key {
	k := key{counters: [6]int8{s.now, s.logLen, s.duplicates, s.stepDowns, s.restarts, s.resumes}, log: s.log, pending: s.pending}
	slices.SortFunc(k.pending[:], func(a, b appendOp) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.number, b.number))
	})
	for p := range s.instances {
		inst := &s.instances[p]
		m := &inst.machine
		k.instances[p] = [18]int8{
			inst.readCount, inst.sentCount, max(inst.inFlightUntil, s.now), boolToInt8(inst.fast), boolToInt8(m.hasPending), boolToInt8(m.steppingDown),
			int8(m.observedAt), int8(m.sentAt), int8(m.expiresAt), int8(m.releaseAt), int8(m.current.LastOffset),
			int8(m.current.Term), int8(m.pendingID[1]),
		}
		if m.current.Holder != "" {
			k.instances[p][13] = int8(m.current.Holder[1])
		}
		if inst.tookTurn { // else the time of its latest order does not matter
			k.instances[p][14] = max(inst.lastOrder, s.now-termTicks) + 1
		}
		k.instances[p][15] = boolToInt8(inst.sentOrder) + 2*boolToInt8(inst.dead)
		if m.displaced {
			k.instances[p][16] = int8(m.displacedAt) + 1
		}
		if m.lastHolder != "" {
			k.instances[p][17] = int8(m.lastHolder[1])
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

// explorer visits system states. violation describes the first state that violates the
// protocol; it is empty if there is none.
type explorer struct {
	protocol  protocol
	bounds    bounds
	seen      map[key]struct{}
	applied   map[[maxLog]appendOp][]appliedRecord
	violation string
}

// appliedRecord is a record of the log with its verdict and the lease after it.
type appliedRecord struct {
	id      record.ID
	verdict fold.Verdict
	lease   fold.Lease
}

func instanceName(p int) string { return fmt.Sprint("p", p) }

func idOf(a appendOp) record.ID { return uuid.UUID{byte(a.instance) + 1, byte(a.number)} }

// applyLog returns the applied records of the log, which are the same for every reader. The
// first record is of none of the instances and releases the lease, so that they may claim it
// at once.
func (e *explorer) applyLog(s *systemState) []appliedRecord {
	if out, ok := e.applied[s.log]; ok {
		return out
	}
	state := fold.New()
	var out []appliedRecord
	for i, a := range s.log[:s.logLen] {
		holder := instanceName(int(a.instance))
		if a.release {
			holder = ""
		}
		body := record.Lease{Name: "l", Holder: holder, Duration: termTicks * tick}
		data, err := record.Encode(idOf(a), holder, record.Offset(a.supersedes), body)
		Expect(err).NotTo(HaveOccurred())
		result, err := state.Apply(record.Offset(i+1), data)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, appliedRecord{idOf(a), result.Verdict, state.Leases["l"]})
	}
	e.applied[s.log] = out
	return out
}

// clock returns the time by the clock of instance p.
func (s *systemState) clock(p int) time.Duration {
	now := time.Duration(s.now) * tick
	if s.instances[p].fast {
		now += time.Duration(s.now/driftPeriod) * tick
	}
	return now
}

// explore visits every reachable system state and stops at the first one in which an
// instance holds the lease while an order of another may be in flight, or has sent an order
// less than a lease duration ago that another instance's order followed. The receiver of the
// orders checks no fencing numbers.
func (e *explorer) explore() {
	e.seen, e.applied = map[key]struct{}{}, map[[maxLog]appendOp][]appliedRecord{}
	var stack []systemState
	clockSets := 1 << e.bounds.procs
	if e.bounds.ticks < driftPeriod {
		clockSets = 1 // a fast clock has not gained a tick yet
	}
	for fastInstances := range clockSets {
		s := systemState{logLen: 1}
		s.log[0] = appendOp{instance: maxInstances, number: 1, release: true}
		for p := range e.bounds.procs {
			s.instances[p] = instance{machine: *NewMachine("l", instanceName(p), e.protocol.timing, 0), fast: fastInstances>>p&1 == 1}
		}
		stack = append(stack, s)
	}
	for len(stack) > 0 && e.violation == "" && len(e.seen) < maxStates {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.check(&s)
		k := s.key()
		if _, visited := e.seen[k]; visited {
			continue
		}
		e.seen[k] = struct{}{}
		stack = e.successors(stack, s)
	}
}

// check sets the time until which an order of each lease holder may be in flight. It records a
// violation if an order of another instance may be in flight.
func (e *explorer) check(s *systemState) {
	for p := range e.bounds.procs {
		if _, held := s.instances[p].machine.HeldFor(s.clock(p), e.orderFlight()); !held || s.instances[p].dead {
			continue
		}
		for q := range e.bounds.procs {
			if q != p && s.instances[q].inFlightUntil > s.now {
				e.violation = fmt.Sprintf("at tick %d instance %d holds the lease while an order of instance %d is in flight", s.now, p, q)
			}
		}
		s.instances[p].inFlightUntil = s.now + flightTicks
		if s.instances[p].tookTurn && s.now-s.instances[p].lastOrder < termTicks {
			e.violation = fmt.Sprintf("at tick %d instance %d takes turns within a lease duration: its last order was sent at tick %d",
				s.now, p, s.instances[p].lastOrder)
		}
		s.sendOrder(p, s.now)
	}
}

// sendOrder records that instance p may send an order at the tick.
func (s *systemState) sendOrder(p int, at int8) {
	s.instances[p].lastOrder, s.instances[p].sentOrder, s.instances[p].tookTurn = at, true, false
	for q := range s.instances {
		if q != p && s.instances[q].sentOrder {
			s.instances[q].tookTurn = true
		}
	}
}

// advance increments the time by one tick. In the worst case, which it assumes, every lease
// holder sends an order at the very end of the tick.
func (e *explorer) advance(s *systemState) {
	for p := range e.bounds.procs {
		if _, held := s.instances[p].machine.HeldFor(s.clock(p), e.orderFlight()); held && !s.instances[p].dead {
			s.instances[p].inFlightUntil = s.now + 1 + flightTicks
			s.sendOrder(p, s.now+1)
		}
	}
	s.now++
}

// orderFlight returns the longest time that an order is in flight; no mutant changes it.
func (e *explorer) orderFlight() time.Duration { return flightTicks * tick }

// successors appends the states that one step or one tick leads to.
func (e *explorer) successors(out []systemState, s systemState) []systemState {
	if int(s.now) < e.bounds.ticks {
		next := s
		e.advance(&next)
		out = append(out, next)
	}
	for p := range e.bounds.procs {
		out = e.steps(out, s, p)
	}
	for i := range s.pending {
		out = e.deliveries(out, s, i)
	}
	return out
}

// steps appends the states that one step of instance p leads to.
func (e *explorer) steps(out []systemState, s systemState, p int) []systemState {
	if s.instances[p].dead {
		return e.restart(out, s, p)
	}
	if int(s.restarts) < e.bounds.restarts {
		next := s
		next.restarts++
		next.instances[p].dead = true
		out = append(out, next)
	}
	if s.instances[p].readCount < s.logLen {
		next := s
		applied := e.applyLog(&next)[s.instances[p].readCount]
		next.instances[p].readCount++
		e.protocol.observe(&next.instances[p].machine, next.clock(p), applied.id, applied.verdict, applied.lease)
		out = append(out, next)
	}
	next := s
	if e.send(&next, p) {
		out = append(out, next)
	}
	if int(s.stepDowns) < e.bounds.stepDowns && !s.instances[p].machine.steppingDown {
		next := s
		next.stepDowns++
		next.instances[p].machine.StepDown(next.clock(p), e.protocol.releaseDelay)
		out = append(out, next)
	}
	if int(s.resumes) < e.bounds.resumes && s.instances[p].machine.steppingDown {
		next := s
		next.resumes++
		next.instances[p].machine.Resume()
		out = append(out, next)
	}
	return out
}

// restart appends the state after the restart of instance p, once none of its orders is in
// flight. Its new incarnation releases the lease of the killed one at once, reads the log from
// the start and has the same name.
func (e *explorer) restart(out []systemState, s systemState, p int) []systemState {
	if s.now < s.instances[p].inFlightUntil || int(s.logLen) >= e.bounds.log {
		return out
	}
	inst := &s.instances[p]
	inst.dead, inst.readCount = false, 0
	inst.machine = *NewMachine("l", instanceName(p), e.protocol.timing, s.clock(p))
	applied := e.applyLog(&s)
	if current := applied[s.logLen-1].lease; current.Holder == instanceName(p) {
		inst.sentCount++
		s.log[s.logLen] = appendOp{instance: int8(p), number: inst.sentCount, supersedes: int8(current.LastOffset), release: true}
		s.logLen++
	}
	return append(out, s)
}

// send runs Tick and makes its append pending. It returns false if there is no append. It also
// returns false if as many appends as the bounds allow are pending already, so that the state is not visited:
// other orders of steps cover an append that is never stored.
func (e *explorer) send(s *systemState, p int) bool {
	inst := &s.instances[p]
	number := inst.sentCount + 1
	request := inst.machine.Tick(s.clock(p), func() record.ID { return idOf(appendOp{instance: int8(p), number: number}) })
	if request == nil {
		return false
	}
	inst.sentCount = number
	e.protocol.afterSend(&inst.machine)
	slots := s.pending[:]
	if e.bounds.pending > 0 {
		slots = slots[:e.bounds.pending]
	}
	for i := range slots {
		if slots[i].number == 0 {
			slots[i] = appendOp{instance: int8(p), number: number, supersedes: int8(request.Supersedes), release: request.Body.Holder == ""}
			return true
		}
	}
	return false
}

// deliveries appends the states in which pending append i is stored in the log: one in which it
// stays pending, unless the bound of duplicates is reached, and one in which it does not.
func (e *explorer) deliveries(out []systemState, s systemState, i int) []systemState {
	if s.pending[i].number == 0 || int(s.logLen) >= e.bounds.log {
		return out
	}
	next := s
	next.log[next.logLen] = s.pending[i]
	next.logLen++
	if int(s.duplicates) < e.bounds.duplicates {
		repeated := next
		repeated.duplicates++
		out = append(out, repeated)
	}
	next.pending[i] = appendOp{}
	return append(out, next)
}

var _ = Describe("Every order of steps of the lease protocol within bounds", func() {
	run := func(variant protocol, b bounds) *explorer {
		e := &explorer{protocol: variant, bounds: b}
		start := time.Now()
		e.explore()
		GinkgoWriter.Printf("%d states in %s: %q\n", len(e.seen), time.Since(start).Round(time.Millisecond), e.violation)
		return e
	}
	twoInstances := bounds{procs: 2, ticks: 4, log: 3}
	restartAndStepDown := bounds{procs: 2, ticks: 2, log: 6, stepDowns: 1, restarts: 1, pending: 1}

	DescribeTable("no instance holds the lease while an order of another is in flight", func(b bounds) {
		e := run(correct(), b)
		Expect(e.violation).To(BeEmpty())
		Expect(len(e.seen)).To(BeNumerically(">", 1000))
	},
		Entry("two instances", twoInstances),
		Entry("two instances, one steps down", bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
		Entry("two instances, one steps down and resumes", bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1, resumes: 1}),
		Entry("two instances, one restarts and the other steps down", restartAndStepDown),
	)

	DescribeTable("a mutant of the protocol violates it", func(change func(variant *protocol), b bounds) {
		variant := correct()
		change(&variant)
		Expect(run(variant, b).violation).NotTo(BeEmpty())
	},
		Entry("a claim without the drift margin", func(variant *protocol) { variant.timing.DriftMargin = 0 }, twoInstances),
		Entry("a claim before the end of the full lease duration", func(variant *protocol) {
			variant.timing.Duration = termTicks / 2 * tick
			variant.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if s.Holder != m.self {
					s.Duration /= 2
				}
				m.Observe(now, id, v, s)
			}
		}, twoInstances),
		Entry("a lease duration counted from the read of the claim", func(variant *protocol) {
			variant.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if m.hasPending && id == m.pendingID {
					m.sentAt = now
				}
				m.Observe(now, id, v, s)
			}
		}, twoInstances),
		Entry("a lease that is held before its claim is read back", func(variant *protocol) {
			variant.afterSend = func(m *Machine) { m.expiresAt = m.sentAt + m.timing.Duration }
		}, twoInstances),
		Entry("a claim back at once after a restart", func(variant *protocol) {
			variant.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				m.Observe(now, id, v, s)
				m.displaced = false
			}
		}, restartAndStepDown),
		Entry("a release while an order is in flight", func(variant *protocol) { variant.releaseDelay = 0 }, bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
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
				if len(e.seen) >= maxStates {
					b.Fatal("the exploration is not complete")
				}
				b.ReportMetric(float64(len(e.seen)), "states")
			}
		})
	}
}
