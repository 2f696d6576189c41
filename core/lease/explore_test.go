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

// The explorer runs Machine and fold.State through every order of steps of a few
// processes within bounds. Time is counted in ticks. Between two ticks any
// process may read one record or run Tick, and any append that is under way may
// take effect, take effect and be repeated, or never take effect. A process that
// does nothing is paused. A fast clock gains a tick in every driftPeriod ticks.

const (
	tick        = time.Duration(1)
	termTicks   = 3
	marginTicks = 1
	flightTicks = 1
	driftPeriod = 3
	maxStates   = 20_000_000
	maxProcs    = 3
	maxLog      = 6
	maxUnderWay = 3
)

// rules are the protocol with one part replaced by a mutant.
type rules struct {
	timing  Timing
	flight  time.Duration // waited before a release
	observe func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease)
	sent    func(m *Machine)
}

func correct() rules {
	return rules{
		timing: Timing{Term: termTicks * tick, DriftMargin: marginTicks * tick}, flight: flightTicks * tick,
		observe: (*Machine).Observe, sent: func(*Machine) {},
	}
}

// bounds limit an exploration.
type bounds struct {
	procs, ticks, log, duplicates, stepDowns int
}

// appended is an append under way or in the log.
type appended struct {
	proc, number int8 // number of the proc's append, from 1; zero: none
	supersedes   int8
	release      bool
}

// process is one instance in a world.
type process struct {
	machine       Machine
	read          int8 // records read
	sent          int8 // appends so far
	inFlightUntil int8 // real tick until which an order of its may be in flight
	fast          bool
}

// world is one state. It is comparable.
type world struct {
	now        int8
	procs      [maxProcs]process
	log        [maxLog]appended
	logged     int8
	underWay   [maxUnderWay]appended
	duplicates int8
	stepDowns  int8
}

// key identifies a world. Appends under way have no order.
type key struct {
	head  [5]int8
	procs [maxProcs][14]int8
	log   [maxLog]appended
	way   [maxUnderWay]appended
}

func (w *world) key() key {
	k := key{head: [5]int8{w.now, w.logged, w.duplicates, w.stepDowns}, log: w.log, way: w.underWay}
	slices.SortFunc(k.way[:], func(a, b appended) int {
		return cmp.Or(cmp.Compare(a.proc, b.proc), cmp.Compare(a.number, b.number))
	})
	for p := range w.procs {
		proc := &w.procs[p]
		m := &proc.machine
		k.procs[p] = [14]int8{
			proc.read, proc.sent, max(proc.inFlightUntil, w.now), flag(proc.fast), flag(m.hasPending), flag(m.steppingDown),
			int8(m.observedAt), int8(m.sentAt), int8(m.expiresAt), int8(m.releaseAt), int8(m.current.LastOffset),
			int8(m.current.Term), int8(m.pendingID[1]),
		}
		if m.current.Holder != "" {
			k.procs[p][13] = int8(m.current.Holder[1])
		}
	}
	return k
}

func flag(b bool) int8 {
	if b {
		return 1
	}
	return 0
}

type explorer struct {
	rules     rules
	bounds    bounds
	seen      map[key]struct{}
	folds     map[[maxLog]appended][]foldedRecord
	violation string
}

type foldedRecord struct {
	id      record.ID
	verdict fold.Verdict
	lease   fold.Lease
}

func procName(p int) string { return fmt.Sprint("p", p) }

func idOf(a appended) record.ID { return uuid.UUID{byte(a.proc) + 1, byte(a.number)} }

// fold returns what every reader makes of the log. Its first record, by nobody,
// releases the lease, so that the processes may claim it at once.
func (e *explorer) fold(w *world) []foldedRecord {
	if out, ok := e.folds[w.log]; ok {
		return out
	}
	s := fold.New()
	var out []foldedRecord
	for i, a := range w.log[:w.logged] {
		holder := procName(int(a.proc))
		if a.release {
			holder = ""
		}
		body := record.Lease{Name: "l", Holder: holder, Duration: termTicks * tick}
		data, err := record.Encode(idOf(a), holder, record.Offset(a.supersedes), body)
		Expect(err).NotTo(HaveOccurred())
		res, err := s.Apply(record.Offset(i+1), data)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, foldedRecord{idOf(a), res.Verdict, s.Leases["l"]})
	}
	e.folds[w.log] = out
	return out
}

func (w *world) clock(p int) time.Duration {
	now := time.Duration(w.now) * tick
	if w.procs[p].fast {
		now += time.Duration(w.now/driftPeriod) * tick
	}
	return now
}

// explore visits every world that can be reached and stops at the first in
// which two processes may act at once.
func (e *explorer) explore() {
	e.seen, e.folds = map[key]struct{}{}, map[[maxLog]appended][]foldedRecord{}
	var stack []world
	for fast := range 1 << e.bounds.procs {
		w := world{logged: 1}
		w.log[0] = appended{proc: maxProcs, number: 1, release: true}
		for p := range e.bounds.procs {
			w.procs[p] = process{machine: *NewMachine("l", procName(p), e.rules.timing, 0), fast: fast>>p&1 == 1}
		}
		stack = append(stack, w)
	}
	for len(stack) > 0 && e.violation == "" && len(e.seen) < maxStates {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.check(&w)
		k := w.key()
		if _, known := e.seen[k]; known {
			continue
		}
		e.seen[k] = struct{}{}
		stack = e.successors(stack, w)
	}
}

// check marks who may act and notes a world in which two may.
func (e *explorer) check(w *world) {
	for p := range e.bounds.procs {
		if _, held := w.procs[p].machine.Held(w.clock(p), e.orderFlight()); !held {
			continue
		}
		for q := range e.bounds.procs {
			if q != p && w.procs[q].inFlightUntil > w.now {
				e.violation = fmt.Sprintf("at tick %d process %d may act while an order of process %d is in flight", w.now, p, q)
			}
		}
		w.procs[p].inFlightUntil = w.now + flightTicks
	}
}

// advance lets a tick pass. Who may act does so up to its last moment.
func (e *explorer) advance(w *world) {
	for p := range e.bounds.procs {
		if _, held := w.procs[p].machine.Held(w.clock(p), e.orderFlight()); held {
			w.procs[p].inFlightUntil = w.now + 1 + flightTicks
		}
	}
	w.now++
}

// orderFlight is the time that an order needs; no mutant changes it.
func (e *explorer) orderFlight() time.Duration { return flightTicks * tick }

func (e *explorer) successors(out []world, w world) []world {
	if int(w.now) < e.bounds.ticks {
		next := w
		e.advance(&next)
		out = append(out, next)
	}
	for p := range e.bounds.procs {
		out = e.steps(out, w, p)
	}
	for i := range w.underWay {
		out = e.deliveries(out, w, i)
	}
	return out
}

func (e *explorer) steps(out []world, w world, p int) []world {
	if w.procs[p].read < w.logged {
		next := w
		r := e.fold(&next)[w.procs[p].read]
		next.procs[p].read++
		e.rules.observe(&next.procs[p].machine, next.clock(p), r.id, r.verdict, r.lease)
		out = append(out, next)
	}
	next := w
	if e.send(&next, p) {
		out = append(out, next)
	}
	if int(w.stepDowns) < e.bounds.stepDowns && !w.procs[p].machine.steppingDown {
		next := w
		next.stepDowns++
		next.procs[p].machine.StepDown(next.clock(p), e.rules.flight)
		out = append(out, next)
	}
	return out
}

// send runs Tick and puts its append under way. An append for which there is
// no room is lost, which the other orders cover.
func (e *explorer) send(w *world, p int) bool {
	proc := &w.procs[p]
	number := proc.sent + 1
	a := proc.machine.Tick(w.clock(p), func() record.ID { return idOf(appended{proc: int8(p), number: number}) })
	if a == nil {
		return false
	}
	proc.sent = number
	e.rules.sent(&proc.machine)
	for i := range w.underWay {
		if w.underWay[i].number == 0 {
			w.underWay[i] = appended{proc: int8(p), number: number, supersedes: int8(a.Supersedes), release: a.Body.Holder == ""}
			return true
		}
	}
	return false
}

func (e *explorer) deliveries(out []world, w world, i int) []world {
	if w.underWay[i].number == 0 || int(w.logged) >= e.bounds.log {
		return out
	}
	next := w
	next.log[next.logged] = w.underWay[i]
	next.logged++
	if int(w.duplicates) < e.bounds.duplicates {
		again := next
		again.duplicates++
		out = append(out, again)
	}
	next.underWay[i] = appended{}
	return append(out, next)
}

var _ = Describe("Every order of steps within bounds", func() {
	run := func(r rules, b bounds) *explorer {
		e := &explorer{rules: r, bounds: b}
		began := time.Now()
		e.explore()
		GinkgoWriter.Printf("%d states in %s: %q\n", len(e.seen), time.Since(began).Round(time.Millisecond), e.violation)
		return e
	}
	two := bounds{procs: 2, ticks: 4, log: 3}

	DescribeTable("no two processes act at once", func(b bounds) {
		e := run(correct(), b)
		Expect(e.violation).To(BeEmpty())
		Expect(len(e.seen)).To(BeNumerically(">", 1000))
	},
		Entry("two processes", two),
		Entry("two processes, one gives up", bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
	)

	DescribeTable("a mutant of the rule is caught", func(change func(r *rules), b bounds) {
		r := correct()
		change(&r)
		Expect(run(r, b).violation).NotTo(BeEmpty())
	},
		Entry("a claim without the drift margin", func(r *rules) { r.timing.DriftMargin = 0 }, two),
		Entry("a claim before the whole term", func(r *rules) {
			r.timing.Term = termTicks / 2 * tick
			r.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if s.Holder != m.self {
					s.Duration /= 2
				}
				m.Observe(now, id, v, s)
			}
		}, two),
		Entry("a term counted from the read", func(r *rules) {
			r.observe = func(m *Machine, now time.Duration, id record.ID, v fold.Verdict, s fold.Lease) {
				if m.hasPending && id == m.pendingID {
					m.sentAt = now
				}
				m.Observe(now, id, v, s)
			}
		}, two),
		Entry("a claim that counts before it is read back", func(r *rules) {
			r.sent = func(m *Machine) { m.expiresAt = m.sentAt + m.timing.Term }
		}, two),
		Entry("a release while a call is in flight", func(r *rules) { r.flight = 0 }, bounds{procs: 2, ticks: 2, log: 4, stepDowns: 1}),
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
				e := &explorer{rules: correct(), bounds: bound}
				e.explore()
				if e.violation != "" {
					b.Fatal(e.violation)
				}
				b.ReportMetric(float64(len(e.seen)), "states")
			}
		})
	}
}
