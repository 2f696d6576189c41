// Package assign decides which engine runs which task of a job, and which running
// tasks go on at another engine.
//
// Engines admit requests in order of arrival and know no priorities, so tasks wait
// here until an engine has a free slot: those expected to run longest first, as
// the last of them decides when a job is whole. A run that breaks off or slows
// down goes on elsewhere from its last event.
//
// The package has no clock, no goroutine and no I/O.
package assign

import (
	"cmp"
	"slices"
	"time"
)

// Limits are the thresholds of the decisions.
type Limits struct {
	FirstEventTimeout time.Duration // without an event for so long after the start, a run moves
	StallTimeout      time.Duration // without a further event for so long, a run moves
	Backoff           time.Duration // an engine that failed or refused gets nothing for so long
	LoadTime          time.Duration // an engine that was ordered to load weights refuses for so long
	SlowFactor        float64       // an engine this much slower than the median loses its runs
	MinRunAge         time.Duration // a run is not moved for slowness before
	LongRunSlowFactor float64       // an engine this much slower loses runs of LongRun to faster ones
	LongRunAge        time.Duration // a run that lasted so long may be one of the last of its job
}

// DefaultLimits returns the limits in use.
func DefaultLimits() Limits {
	return Limits{
		FirstEventTimeout: 900 * time.Millisecond,  // twice a load of weights ends well after it; a prompt is read in 10 ms
		StallTimeout:      1200 * time.Millisecond, // a load of weights pauses runs for 0.9 s
		Backoff:           150 * time.Millisecond,  // a few steps of a full engine: a slot is free again by then
		LoadTime:          time.Second,             // a load takes 0.9 s
		SlowFactor:        1.8,                     // speeds of a service's engines differ by less
		MinRunAge:         400 * time.Millisecond,  // ten events at the usual 41 ms
		LongRunSlowFactor: 1.15,                    // between the speeds of a service's engines: 1 and 1.3
		LongRunAge:        2 * time.Second,         // nine tasks of ten end before
	}
}

// Key names a task.
type Key struct {
	Job  string
	Task int
}

// Task is a task that waits or runs.
type Task struct {
	Key            Key
	Service        string
	Model          string
	MinVersion     int64
	Group          string        // tasks of a group share their prompt
	ExpectedTokens int64         // expected output; longer ones start first
	Resubmitted    bool          // its trainer waits for it whatever else is ready
	Submitted      time.Duration // older jobs go first among equals
	ResumeAfter    int64         // kept of earlier runs
	WaitingSince   time.Duration // when it began to wait here

	notBefore   time.Duration
	avoidEngine string // engine that it left last
	runs        int
}

// class groups tasks that the same engines may run.
type class struct {
	service, model string
	minVersion     int64
}

func (t *Task) class() class { return class{t.Service, t.Model, t.MinVersion} }

// Engine is a target that runs tasks.
type Engine struct {
	ID            string
	Service       string
	Slots         int
	Ready         bool
	Versions      map[string]int64 // by model
	LoadOrderedAt time.Duration    // when it was last ordered to load; zero: never
	LoadingModel  string           // model of that order
}

// Start asks for a run.
type Start struct {
	Run         int64
	Task        Key
	Engine      string
	ResumeAfter int64 // kept: the run goes on after this number
}

// Stop asks to end a run; its task waits again.
type Stop struct {
	Run    int64
	Task   Key
	Engine string
	Reason string
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota
	NotRun            // the engine refused it
	Broken            // the stream broke off, or did not start
	Stale             // the engine's weights are too old
	Canceled          // ended by this side
)

type run struct {
	id          int64
	task        *Task
	engine      string
	started     time.Duration
	events      int64 // made by this run
	lastEventAt time.Duration
}

type engine struct {
	Engine
	running       int
	backoffUntil  time.Duration // gets nothing before
	eventInterval float64       // seconds between events, smoothed; zero: unknown
	loadOrderedAt time.Duration // when its runs paused last, for a load of weights
	runsByGroup   map[string]int
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
	medianInterval map[string]float64 // median pace of a service's engines; zero: unknown
}

// New returns a machine without tasks and engines.
func New(l Limits) *Scheduler {
	return &Scheduler{
		limits: l, tasks: map[Key]*Task{}, runs: map[int64]*run{}, runByTask: map[Key]*run{}, engines: map[string]*engine{},
		medianInterval: map[string]float64{},
	}
}

// SetEngines replaces what is known of the engines.
func (m *Scheduler) SetEngines(list []Engine) {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		known := m.engines[e.ID]
		if known == nil {
			known = &engine{runsByGroup: map[string]int{}}
			m.engines[e.ID] = known
		}
		known.Engine = e
		known.loadOrderedAt = max(known.loadOrderedAt, e.LoadOrderedAt)
	}
	for id, e := range m.engines {
		if !seen[id] {
			e.Ready = false
			if e.running == 0 {
				delete(m.engines, id)
			}
		}
	}
}

// Add makes a task wait for an engine. A known task is left as it is.
func (m *Scheduler) Add(t Task) {
	if m.tasks[t.Key] != nil {
		return
	}
	m.tasks[t.Key] = &t
	m.enqueue(&t)
}

// Has reports whether the task waits or runs.
func (m *Scheduler) Has(k Key) bool { return m.tasks[k] != nil }

// Drop forgets a task. If it runs, the run to end is returned.
func (m *Scheduler) Drop(k Key) (Stop, bool) {
	t := m.tasks[k]
	if t == nil {
		return Stop{}, false
	}
	delete(m.tasks, k)
	m.waiting = slices.DeleteFunc(m.waiting, func(w *Task) bool { return w == t })
	r := m.runByTask[k]
	if r == nil {
		return Stop{}, false
	}
	m.release(r)
	return Stop{r.id, k, r.engine, "dropped"}, true
}

// Progress notes that a run has made so many events in all, the last one at last.
func (m *Scheduler) Progress(id, events int64, last time.Duration) {
	r := m.runs[id]
	if r == nil || events <= r.events {
		return
	}
	e := m.engines[r.engine]
	loaded := e.loadOrderedAt > 0 && last > e.loadOrderedAt && r.lastEventAt < e.loadOrderedAt+m.limits.LoadTime
	if r.events > 0 && !loaded { // a pause says nothing of the engine's speed
		e.updateInterval((last - r.lastEventAt).Seconds() / float64(events-r.events))
	}
	r.events, r.lastEventAt = events, last
}

// updateInterval smooths the time between events. A single pause may change it by little: a
// run that is moved for it alone loses more than it gains.
func (e *engine) updateInterval(gap float64) {
	const (
		weight = 0.12 // of the newest figure: eight figures decide, of all runs of the engine
		limit  = 2.0  // times the smoothed one that a figure counts at most
	)
	if e.eventInterval == 0 {
		e.eventInterval = gap
		return
	}
	e.eventInterval += weight * (min(gap, limit*e.eventInterval) - e.eventInterval)
}

// Finished notes the end of a run. kept is the number of the task's last event
// that later runs go on from. It reports whether the run was still the task's.
func (m *Scheduler) Finished(now time.Duration, id int64, o Outcome, kept int64) bool {
	r := m.runs[id]
	if r == nil {
		return false
	}
	m.release(r)
	t := r.task
	t.ResumeAfter = kept
	switch o {
	case Completed, Canceled:
		delete(m.tasks, t.Key)
		return true
	case NotRun, Stale:
		m.engines[r.engine].backoffUntil = now + m.limits.Backoff
	case Broken:
		m.engines[r.engine].backoffUntil = now + 2*m.limits.Backoff
		t.notBefore = now
	}
	t.avoidEngine, t.WaitingSince = r.engine, now
	m.enqueue(t)
	return true
}

func (m *Scheduler) release(r *run) {
	delete(m.runs, r.id)
	delete(m.runByTask, r.task.Key)
	e := m.engines[r.engine]
	e.running--
	if e.runsByGroup[r.task.Group]--; e.runsByGroup[r.task.Group] <= 0 {
		delete(e.runsByGroup, r.task.Group)
	}
}

// enqueue keeps the waiting tasks in the order in which they start.
func (m *Scheduler) enqueue(t *Task) {
	i, _ := slices.BinarySearchFunc(m.waiting, t, compareStartOrder)
	m.waiting = slices.Insert(m.waiting, i, t)
}

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

// Assign returns the runs to start now.
func (m *Scheduler) Assign(now time.Duration) []Start {
	m.updateMedians()
	var out []Start
	rest := m.waiting[:0]
	full := map[class]bool{}
	for _, t := range m.waiting {
		if t.notBefore > now || full[t.class()] {
			rest = append(rest, t)
			continue
		}
		e := m.pickEngine(now, t)
		if e == nil {
			full[t.class()] = true
			rest = append(rest, t)
			continue
		}
		m.nextRun++
		r := &run{id: m.nextRun, task: t, engine: e.ID, started: now, lastEventAt: now}
		m.runs[r.id], m.runByTask[t.Key] = r, r
		e.running++
		e.runsByGroup[t.Group]++
		t.runs++
		out = append(out, Start{r.id, t.Key, e.ID, t.ResumeAfter})
	}
	clear(m.waiting[len(rest):])
	m.waiting = rest
	return out
}

// canRun reports whether the engine may take a task of the model now.
func (m *Scheduler) canRun(now time.Duration, e *engine, t *Task) bool {
	if !e.Ready || e.Service != t.Service || e.running >= e.Slots || now < e.backoffUntil {
		return false
	}
	if e.Versions[t.Model] < t.MinVersion {
		return false
	}
	return e.LoadingModel != t.Model || now >= e.LoadOrderedAt+m.limits.LoadTime
}

func (m *Scheduler) pickEngine(now time.Duration, t *Task) *engine {
	var best *engine
	var bestScore float64
	for _, id := range m.sortedEngineIDs() {
		e := m.engines[id]
		if !m.canRun(now, e, t) {
			continue
		}
		if s := m.score(e, t); best == nil || s > bestScore {
			best, bestScore = e, s
		}
	}
	return best
}

// Weights of the preferences among engines with room; load counts from 0 to 1.
const (
	groupBonus      = 0.3 // a shared prompt is read once
	versionBonus    = 0.2 // newer weights keep results valid for the next step
	avoidPenalty    = 2.0 // the engine that the task has just left
	slowPenalty     = 1.5 // an engine well above the usual pace
	slowdownPenalty = 2.0 // for each whole pace above the usual one: at 1.3 times the usual, others are preferred until they are 0.6 fuller
)

func (m *Scheduler) score(e *engine, t *Task) float64 {
	s := -float64(e.running) / float64(max(1, e.Slots))
	if e.runsByGroup[t.Group] > 0 {
		s += groupBonus
	}
	if e.Versions[t.Model] > t.MinVersion {
		s += versionBonus
	}
	if t.avoidEngine == e.ID {
		s -= avoidPenalty
	}
	if m.slow(e) {
		s -= slowPenalty
	}
	return s - slowdownPenalty*max(0, m.slowdown(e)-1)
}

// sortedEngineIDs returns the engines' ids in a fixed order.
func (m *Scheduler) sortedEngineIDs() []string {
	ids := make([]string, 0, len(m.engines))
	for id := range m.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
