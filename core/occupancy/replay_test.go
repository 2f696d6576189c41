package occupancy_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
)

const (
	slots        = 8
	tasksOfStep  = 142
	callTimeout  = 100 * ms
	frozenFrom   = 3 * time.Second // the second runner
	frozenUntil  = 5 * time.Second
	killedAt     = 6 * time.Second // the third runner
	replayLength = 12 * time.Second
)

type event struct {
	at time.Duration
	do func()
}

type simRun struct {
	engine int
	ends   time.Duration
}

type simRunner struct {
	name      string
	publisher *occupancy.Publisher
	table     *occupancy.Table
	waiting   int
	runs      []simRun // on the engines, whether or not the runner is frozen
	counts    []int    // of runs, by engine
	changed   bool     // since nextSend was set
	nextSend  time.Duration
	quota     int           // runs that may still start on the other runners' engines
	quotaEnds time.Duration // when it is set again
}

type options struct {
	connected bool // messages are sent
	sharing   bool // each runner takes its share of the free slots on the others' engines
	faults    bool // messages are lost, and runners frozen and killed
}

// sim replays runners that submit steps within 50 ms of each other.
type sim struct {
	random  *rand.Rand
	now     time.Duration
	engines []string
	total   []int // runs by engine
	runners []*simRunner
	names   []string
	events  []event
	options
	started, sent int // runs, messages
	overfull      int // sum over the milliseconds of the runs beyond the slots of their engines
}

func newSim(runners int, o options) *sim {
	s := &sim{random: rand.New(rand.NewPCG(uint64(runners), 7)), options: o}
	for i := range 11 * runners {
		s.engines = append(s.engines, fmt.Sprintf("i-%010x", i*7919))
	}
	for i := range runners {
		name := fmt.Sprint("n", i)
		s.names = append(s.names, name)
		r := &simRunner{name: name, publisher: occupancy.NewPublisher(name, 1, 0), table: occupancy.NewTable(name)}
		r.counts, s.total = make([]int, 11*runners), make([]int, 11*runners)
		s.runners = append(s.runners, r)
		for _, step := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
			s.after(step+time.Duration(s.random.IntN(50))*ms, func() { r.waiting += tasksOfStep })
		}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { s.events = append(s.events, event{s.now + d, do}) }

func (s *sim) alive(i int) bool { return !s.faults || i != 2 || s.now < killedAt }
func (s *sim) acts(i int) bool {
	return s.alive(i) && (!s.faults || i != 1 || s.now < frozenFrom || s.now >= frozenUntil)
}

// step advances the replay by one millisecond.
func (s *sim) step() {
	due := []event{}
	s.events = slices.DeleteFunc(s.events, func(e event) bool {
		if e.at <= s.now {
			due = append(due, e)
		}
		return e.at <= s.now
	})
	for _, e := range due {
		e.do()
	}
	for i, r := range s.runners {
		before := len(r.runs)
		r.runs = slices.DeleteFunc(r.runs, func(run simRun) bool {
			ended := run.ends <= s.now || !s.alive(i)
			if ended {
				r.counts[run.engine]--
				s.total[run.engine]--
			}
			return ended
		})
		if !s.acts(i) {
			continue
		}
		r.changed = s.place(i, r) || len(r.runs) != before || r.changed
		if s.connected && (r.changed || s.now >= r.publisher.WakeAt()) && s.now >= r.nextSend {
			r.changed, r.nextSend = false, s.now+20*ms
			s.send(i, r)
		}
	}
	for _, runs := range s.total {
		s.overfull += max(0, runs-slots)
	}
	s.now += ms
}

// place starts runs on the engines that seem to have a free slot: first on the runner's own
// engines, then on the least loaded ones. Runners that share start no more runs on the engines of
// others, between two messages, than their part of the free slots there.
func (s *sim) place(i int, r *simRunner) (started bool) {
	if r.waiting == 0 {
		return false
	}
	seen, others, free := make([]int, len(s.engines)), r.table.Sum(s.now).Loads, 0
	for e, name := range s.engines {
		seen[e] = r.counts[e] + others[name].Runs
		if e%len(s.runners) != i {
			free += max(0, slots-seen[e])
		}
	}
	if !s.sharing || s.now >= r.quotaEnds {
		r.quota, r.quotaEnds = free, s.now+55*ms
		if s.sharing {
			r.quota = (free + len(s.runners) - 1) / len(s.runners)
		}
	}
	order := s.random.Perm(len(s.engines))
	for ; r.waiting > 0; r.waiting-- {
		best := slices.MinFunc(order, func(a, b int) int {
			return cmp.Compare(s.cost(i, a, seen[a]), s.cost(i, b, seen[b]))
		})
		if seen[best] >= slots || best%len(s.runners) != i && r.quota == 0 {
			break
		}
		if best%len(s.runners) != i {
			r.quota--
		}
		seen[best]++
		started = true
		s.started++
		s.total[best]++
		r.counts[best]++
		r.runs = append(r.runs, simRun{best, s.now + time.Duration(500+s.random.IntN(3000))*ms})
	}
	return started
}

func (s *sim) cost(runner, engine, runs int) int {
	switch {
	case runs >= slots:
		return 1000
	case engine%len(s.runners) != runner:
		return runs + slots
	}
	return runs
}

func (s *sim) send(i int, r *simRunner) {
	loads := make([]occupancy.Load, len(s.engines))
	for e, n := range r.counts {
		loads[e] = occupancy.Load{Engine: s.engines[e], Runs: n, Tokens: int64(n) * 5000}
	}
	for _, m := range r.publisher.Next(s.now, loads, s.names) {
		for _, name := range m.To {
			s.sent++
			s.call(i, slices.Index(s.names, name), m)
		}
	}
}

// call delivers a message after 1 to 5 ms. One in ten is lost, or its response is.
func (s *sim) call(from, to int, m occupancy.Message) {
	runner, name, loss, answered := s.runners[from], s.names[to], s.random.IntN(20), false
	delay := func() time.Duration { return time.Duration(1+s.random.IntN(5)) * ms }
	s.after(delay(), func() {
		if s.faults && loss == 0 || !s.acts(to) {
			return
		}
		err := s.runners[to].table.Apply(s.now, m.From, m)
		if s.faults && loss == 1 {
			return
		}
		answered = true
		s.after(delay(), func() {
			runner.changed = true
			if err != nil {
				runner.publisher.Failed(s.now, name)
				return
			}
			runner.publisher.Delivered(name)
		})
	})
	s.after(callTimeout, func() {
		if !answered {
			runner.changed = true
			runner.publisher.Failed(s.now, name)
		}
	})
}

// viewError returns by how many runs the runners misjudge the engines, as a share of the slots.
func (s *sim) viewError() float64 {
	wrong, all := 0, 0
	for i, r := range s.runners {
		if !s.acts(i) {
			continue
		}
		others := r.table.Sum(s.now).Loads
		for e, name := range s.engines {
			truth, seen := s.total[e]-r.counts[e], others[name].Runs
			wrong += max(truth-seen, seen-truth)
			all += slots
		}
	}
	return float64(wrong) / float64(all)
}

type window struct {
	name        string
	from, until time.Duration
	limit       float64 // bound of the mean error with messages
}

// replay returns the mean error of the views in the windows, and for how many milliseconds a run
// is beyond the slots of its engine on average.
func replay(t *testing.T, s *sim, windows []window) (errors []float64, overfull float64) {
	errors, counts := make([]float64, len(windows)), make([]float64, len(windows))
	for s.now < replayLength {
		s.step()
		for i, w := range windows {
			if s.now >= w.from && s.now < w.until && s.now%((w.until-w.from)/20) == 0 {
				errors[i] += s.viewError()
				counts[i]++
			}
		}
	}
	overfull = float64(s.overfull) / float64(s.started)
	t.Logf("%d runners, %+v: %d runs are beyond the slots of their engine for %.0f ms on average; %d messages",
		len(s.runners), s.options, s.started, overfull, s.sent)
	for i := range errors {
		errors[i] /= counts[i]
		t.Logf("  %-24s the views are wrong by %5.1f %% of the slots", windows[i].name, 100*errors[i])
	}
	return errors, overfull
}

// Guards against views that miss most runs of the others, that do not recover after a freeze or
// lost messages, and that keep the runs of a killed runner.
func TestViewsFollowTheTruth(t *testing.T) {
	windows := []window{
		{"start of the first step", 0, 100 * ms, 0.3},
		{"rest of the first step", 100 * ms, frozenFrom, 0.1},
		{"one runner frozen", frozenFrom, frozenUntil, 0.4},
		{"after the freeze", frozenUntil + 500*ms, killedAt, 0.1},
		{"one runner killed", killedAt, killedAt + 3*time.Second, 0.4},
		{"its entries are dropped", killedAt + 3200*ms, replayLength, 0.1},
	}
	for _, runners := range []int{4, 17} {
		without, _ := replay(t, newSim(runners, options{faults: true}), windows)
		with, _ := replay(t, newSim(runners, options{connected: true, faults: true}), windows)
		for i, w := range windows {
			if with[i] > w.limit || with[i] > without[i] {
				t.Errorf("%d runners, %s: the views are wrong by %.3f of the slots, without messages %.3f", runners, w.name, with[i], without[i])
			}
		}
		_, overfullWithout := replay(t, newSim(runners, options{}), windows[:2])
		_, overfullWith := replay(t, newSim(runners, options{connected: true}), windows[:2])
		_, overfullShared := replay(t, newSim(runners, options{connected: true, sharing: true}), windows[:2])
		if overfullWith > overfullWithout || overfullShared > overfullWithout/2 {
			t.Errorf("%d runners: runs are beyond the slots for %.0f ms, and %.0f ms if slots are shared; without messages %.0f ms",
				runners, overfullWith, overfullShared, overfullWithout)
		}
	}
}
