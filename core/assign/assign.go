// Package assign decides which engine runs each task of a job, and when the task moves to
// another engine.
//
// A run is one attempt to generate a task's output on an engine, which streams the output as
// numbered events. Engines admit requests in order of arrival and have no priorities, so
// tasks wait here until an engine has a free slot. Tasks with the longest expected output
// start first, because the last task to end decides when a job is complete. If a run is
// interrupted or slow, the task resumes on another engine after its last event.
//
// The package has no clock, no goroutines and no I/O. The caller passes in the time, the
// tasks and the engines, starts and ends the runs, and reports their progress and
// outcome.
package assign

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the thresholds of the decisions. A run that exceeds a timeout moves to another
// engine.
type Limits struct {
	FirstEventTimeout time.Duration // maximum time from the start of a run to its first event
	StallTimeout      time.Duration // maximum time since the last event of a run
	// Backoff is how long an engine gets no run after it refused one, had too old weights for
	// one or had one moved off it. After a broken stream it is twice as long.
	Backoff           time.Duration
	LoadTime          time.Duration // an engine ordered to load a model gets no run of it for this long
	SlowFactor        float64       // an engine with a higher slowdown is slow and its runs move
	MinRunAge         time.Duration // younger runs do not move off a slow engine
	LongRunSlowFactor float64       // as SlowFactor, for long runs; they move to fast engines only
	LongRunAge        time.Duration // an older run is long: it may be one of the last of its job
}

// DefaultLimits returns the limits of the service.
func DefaultLimits() Limits {
	return Limits{
		// Prefill takes about 10 ms, a load of weights 0.9 s. Two loads in a row end well
		// after the timeout, so that a run waits for one load at most.
		FirstEventTimeout: 900 * time.Millisecond,
		StallTimeout:      1200 * time.Millisecond, // a load of weights pauses runs for 0.9 s
		// A few decode steps, after which a slot is usually free on an engine that had none.
		Backoff:           150 * time.Millisecond,
		LoadTime:          time.Second,            // a load takes 0.9 s
		SlowFactor:        1.8,                    // a service's engines differ in speed by a smaller factor
		MinRunAge:         400 * time.Millisecond, // about ten events at the usual interval of 41 ms
		LongRunSlowFactor: 1.15,                   // between the slowdowns of the two speed classes, 1 and 1.3
		LongRunAge:        2 * time.Second,        // nine of ten tasks take less time
	}
}

// Key identifies a task by its job and its index in the job.
type Key struct {
	Job  string
	Task int
}

// Task is a task that waits for an engine or runs on one.
type Task struct {
	Key            Key
	Service        string
	Model          string
	MinVersion     int64
	Group          string // tasks of a group have the same prompt
	ExpectedTokens int64  // expected output; longer ones start first
	PromptTokens   int64  // zero: unknown
	// Resubmitted is set if an earlier job had the task. The task starts first, because its
	// trainer waits for it in any case.
	Resubmitted  bool
	Submitted    time.Duration // time of its job's submission; breaks ties, the earlier starts first
	Kept         Kept          // of earlier runs
	WaitingSince time.Duration // when it began to wait for an engine

	notBefore   time.Duration // earliest start of the next run
	avoidEngine string        // engine of its last run
	runs        int           // runs started
}

// Engine is a target that runs tasks. Slots is the maximum number of concurrent runs.
type Engine struct {
	ID            string
	Service       string
	Software      string // version of its program, not of its weights
	Slots         int
	Ready         bool
	Versions      map[string]int64 // weight versions by model
	LoadOrderedAt time.Duration    // time of the latest order to load weights; zero: none
	LoadingModel  string           // model of that order
	// Limited is set for an engine that limits the rate of its requests: a run needs a permit.
	Limited bool
	// Serves lists the models whose next job the engine can run. Of these models one is the
	// engine's home model.
	Serves []string
}

// Start asks the caller to start a run of a task on an engine.
type Start struct {
	Run         int64
	Task        Key
	Engine      string
	ResumeAfter int64 // number of the last event kept: the run resumes after it; zero: it starts from the first
}

// Stop asks the caller to end a run. RunsToMove leaves the run assigned until the caller calls
// Requeue; Drop has removed the run and its task.
type Stop struct {
	Run    int64
	Task   Key
	Engine string
	Reason string
}

// Outcome states how a run ended.
type Outcome uint8

// Only Completed and Canceled remove the task; after the others it waits again.
const (
	Completed Outcome = iota
	NotRun            // the engine refused the request
	Broken            // the stream was interrupted or did not start
	Stale             // the engine's weights are too old
	Canceled          // ended by the caller
)

// run is a run that was started and has not been released.
type run struct {
	id          int64
	task        *Task
	engine      string
	started     time.Duration
	events      int64 // received from this run
	lastEventAt time.Duration
}

// engine is an engine with its runs and its observed speed.
type engine struct {
	Engine
	running           int
	tokens            int64          // that the runs are expected to hold
	others            Load           // of the other runners
	backoffUntil      time.Duration  // no run starts on the engine earlier
	eventInterval     float64        // seconds between events, moving average; zero: unknown
	lastLoadOrderedAt time.Duration  // latest LoadOrderedAt so far; a load pauses the runs
	runsByGroup       map[string]int // numbers of runs
	homeModel         string         // empty: none
	permits           permits        // used while Limited
}

// Scheduler assigns the tasks of one instance. It is not safe for concurrent use.
type Scheduler struct {
	limits         Limits
	tasks          map[Key]*Task
	waiting        []*Task
	runs           map[int64]*run
	runByTask      map[Key]*run
	engines        map[string]*engine
	nextRun        int64
	medianInterval map[string]float64   // seconds, by service; zero: unknown
	preference     map[string][]*engine // all engines in the order of preference, by model
	newsKnown      bool                 // other runners are known
	newsAt         time.Duration        // time of the news of the other runners
	byHash         []*engine            // all engines in the order of their hashes; nil: not computed
}

// New returns a scheduler without tasks and engines.
func New(l Limits) *Scheduler {
	return &Scheduler{
		limits: l, tasks: map[Key]*Task{}, runs: map[int64]*run{}, runByTask: map[Key]*run{}, engines: map[string]*engine{},
		medianInterval: map[string]float64{}, preference: map[string][]*engine{},
	}
}

// SetEngines replaces the list of engines. An engine that is no longer listed gets no further
// runs. The first call of SetEngines that finds no run on it removes it.
func (s *Scheduler) SetEngines(engines []Engine) {
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		listed[e.ID] = true
		current := s.engines[e.ID]
		if current == nil {
			current = &engine{runsByGroup: map[string]int{}}
			s.engines[e.ID] = current
			s.enginesChanged()
		}
		current.Engine = e
		current.lastLoadOrderedAt = max(current.lastLoadOrderedAt, e.LoadOrderedAt)
	}
	for id, e := range s.engines {
		if !listed[id] {
			e.Ready = false
			if e.running == 0 {
				delete(s.engines, id)
				s.enginesChanged()
			}
		}
	}
	s.assignHomes()
}

// enginesChanged drops the orders that are computed from the set of engines.
func (s *Scheduler) enginesChanged() {
	s.byHash = nil
	clear(s.preference)
}

// Add adds a task, which waits for an engine. It ignores a task that waits or runs already.
func (s *Scheduler) Add(t Task) {
	if s.tasks[t.Key] != nil {
		return
	}
	s.tasks[t.Key] = &t
	s.enqueue(&t)
}

// Has reports whether the task waits or runs.
func (s *Scheduler) Has(k Key) bool { return s.tasks[k] != nil }

// Drop removes a task. If it runs, Drop returns the run that the caller must end.
func (s *Scheduler) Drop(k Key) (Stop, bool) {
	t := s.tasks[k]
	if t == nil {
		return Stop{}, false
	}
	delete(s.tasks, k)
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Task) bool { return other == t })
	r := s.runByTask[k]
	if r == nil {
		return Stop{}, false
	}
	s.release(r)
	return Stop{r.id, k, r.engine, "dropped"}, true
}

// Progress records the total number of events of a run and the time of the last one. It
// updates the engine's average event interval, unless a load of weights overlaps the time
// since the previous event.
func (s *Scheduler) Progress(id, events int64, lastEventAt time.Duration) {
	r := s.runs[id]
	if r == nil || events <= r.events {
		return
	}
	e := s.engines[r.engine]
	overlapsLoad := e.lastLoadOrderedAt > 0 && lastEventAt > e.lastLoadOrderedAt && r.lastEventAt < e.lastLoadOrderedAt+s.limits.LoadTime
	if r.events > 0 && !overlapsLoad { // the pause of a load does not show the engine's speed
		e.updateInterval((lastEventAt - r.lastEventAt).Seconds() / float64(events-r.events))
	}
	r.events, r.lastEventAt = events, lastEventAt
}

// updateInterval adds an interval in seconds to the engine's exponential moving average. The
// interval is capped, so that a single pause changes the average only a little: moving a run
// for one pause costs more than it gains.
func (e *engine) updateInterval(interval float64) {
	const (
		weight    = 0.12 // of the newest interval: an average over about eight, of all runs of the engine
		maxFactor = 2.0  // cap of an interval, as a multiple of the average
	)
	if e.eventInterval == 0 {
		e.eventInterval = interval
		return
	}
	e.eventInterval += weight * (min(interval, maxFactor*e.eventInterval) - e.eventInterval)
}

// Finish records the end of a run and which events are kept: later runs of the task resume
// after them. Finish returns false and changes nothing if the run was requeued or dropped
// before.
func (s *Scheduler) Finish(now time.Duration, id int64, outcome Outcome, kept Kept) bool {
	r := s.runs[id]
	if r == nil {
		return false
	}
	s.release(r)
	t := r.task
	t.Kept = kept
	switch outcome {
	case Completed, Canceled:
		delete(s.tasks, t.Key)
		return true
	case NotRun, Stale:
		s.engines[r.engine].backoffUntil = now + s.limits.Backoff
	case Broken:
		s.engines[r.engine].backoffUntil = now + 2*s.limits.Backoff
		t.notBefore = now
	}
	t.avoidEngine, t.WaitingSince = r.engine, now
	s.enqueue(t)
	return true
}

// release removes a run and frees its slot.
func (s *Scheduler) release(r *run) {
	delete(s.runs, r.id)
	delete(s.runByTask, r.task.Key)
	e := s.engines[r.engine]
	e.running--
	if e.runsByGroup[r.task.Group]--; e.runsByGroup[r.task.Group] <= 0 {
		delete(e.runsByGroup, r.task.Group)
	}
	e.removeTokens(r.task)
}

// enqueue inserts a task into the waiting tasks, which are sorted in start order.
func (s *Scheduler) enqueue(t *Task) {
	i, _ := slices.BinarySearchFunc(s.waiting, t, compareStartOrder)
	s.waiting = slices.Insert(s.waiting, i, t)
}

// compareStartOrder sorts resubmitted tasks first, then the longest expected output, then
// the earliest submission.
func compareStartOrder(a, b *Task) int {
	if a.Resubmitted != b.Resubmitted {
		if a.Resubmitted {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.ExpectedTokens, a.ExpectedTokens),
		cmp.Compare(a.Submitted, b.Submitted),
		cmp.Compare(a.Key.Job, b.Key.Job),
		cmp.Compare(a.Key.Task, b.Key.Task),
	)
}

// Assign assigns waiting tasks to engines with free slots, in start order, and returns the runs
// that the caller must start. A task whose best engine limits its requests waits for a permit
// (PermitsWanted), so that the longest tasks get the engines that are used least.
func (s *Scheduler) Assign(now time.Duration) []Start {
	s.updateMedians()
	s.expireNews(now)
	var out []Start
	stillWaiting := s.waiting[:0]
	type place struct {
		class
		overflow bool // engines that are home to other models count, too
	}
	noEngine := map[place]bool{}
	for _, e := range s.engines {
		e.permits.wanted = 0
	}
	for _, t := range s.waiting {
		required := place{s.class(now, t), s.mayOverflow(now, t)}
		if t.notBefore > now || noEngine[required] {
			stillWaiting = append(stillWaiting, t)
			continue
		}
		e := s.pickEngine(now, t, required.class, required.overflow)
		switch {
		case e == nil:
			noEngine[required] = true
			stillWaiting = append(stillWaiting, t)
			continue
		case !e.permitted(now):
			e.permits.wanted++
			stillWaiting = append(stillWaiting, t)
			continue
		}
		s.nextRun++
		r := &run{id: s.nextRun, task: t, engine: e.ID, started: now, lastEventAt: now}
		s.runs[r.id], s.runByTask[t.Key] = r, r
		e.addTokens(t)
		e.running++
		e.usePermit()
		e.runsByGroup[t.Group]++
		t.runs++
		start := Start{Run: r.id, Task: t.Key, Engine: e.ID}
		if t.resumes(e) {
			start.ResumeAfter = t.Kept.Events
		}
		out = append(out, start)
	}
	clear(s.waiting[len(stillWaiting):])
	s.waiting = stillWaiting
	return out
}
