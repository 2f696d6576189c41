// Package assign decides which engine runs which task of a job, and which runs move
// to another engine.
//
// Engines admit requests in order of arrival and have no priorities, so tasks wait
// here until an engine has a free slot. Tasks with the longest expected output start
// first, because the last task to end decides when a job is complete. A task whose run
// is interrupted or slow resumes on another engine after its last event.
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

// Limits are the thresholds of the decisions.
type Limits struct {
	FirstEventTimeout time.Duration // a run without an event for longer after its start moves
	StallTimeout      time.Duration // a run without a further event for longer moves
	Backoff           time.Duration // an engine that failed or refused gets no run for this long
	LoadTime          time.Duration // an engine ordered to load a model gets no run of it for this long
	SlowFactor        float64       // runs move off engines above this multiple of the median interval
	MinRunAge         time.Duration // younger runs do not move off a slow engine
	LongRunSlowFactor float64       // as SlowFactor, for runs older than LongRunAge
	LongRunAge        time.Duration // an older run may be one of the last of its job
}

// DefaultLimits returns the limits that the service uses.
func DefaultLimits() Limits {
	return Limits{
		// Prefill takes about 10 ms, a load of weights 0.9 s. A run waits for one load at
		// most: two loads in a row end well after the timeout.
		FirstEventTimeout: 900 * time.Millisecond,
		StallTimeout:      1200 * time.Millisecond, // a load of weights pauses runs for 0.9 s
		// A few decode steps: by then an engine without a free slot usually has one again.
		Backoff:           150 * time.Millisecond,
		LoadTime:          time.Second,            // a load takes 0.9 s
		SlowFactor:        1.8,                    // the speeds of a service's engines differ by less
		MinRunAge:         400 * time.Millisecond, // about ten events at the usual interval of 41 ms
		LongRunSlowFactor: 1.15,                   // between the two speed classes of engines, 1 and 1.3
		LongRunAge:        2 * time.Second,        // nine of ten tasks end earlier
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
	Group          string        // tasks of a group have the same prompt
	ExpectedTokens int64         // expected output; longer ones start first
	Resubmitted    bool          // starts first: its trainer waits for it in any case
	Submitted      time.Duration // of its job; among equal tasks the earlier one starts first
	ResumeAfter    int64         // number of the last event kept from earlier runs
	WaitingSince   time.Duration // when it began to wait for an engine

	notBefore   time.Duration // earliest start of the next run
	avoidEngine string        // engine of its last run
	runs        int           // runs started
}

// class is shared by the tasks that the same engines can run.
type class struct {
	service, model string
	minVersion     int64
}

func (t *Task) class() class { return class{t.Service, t.Model, t.MinVersion} }

// Engine is a target that runs tasks. Slots is the number of runs at once.
type Engine struct {
	ID            string
	Service       string
	Slots         int
	Ready         bool
	Versions      map[string]int64 // by model
	LoadOrderedAt time.Duration    // time of the latest order to load weights; zero: none
	LoadingModel  string           // model of that order
}

// Start asks the caller to start a run of a task on an engine.
type Start struct {
	Run         int64
	Task        Key
	Engine      string
	ResumeAfter int64 // number of the last event kept: the run resumes after it
}

// Stop asks the caller to end a run. The task waits again after Requeue; Drop has removed
// it.
type Stop struct {
	Run    int64
	Task   Key
	Engine string
	Reason string
}

// Outcome states how a run ended.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota
	NotRun            // the engine refused the request
	Broken            // the stream was interrupted or did not start
	Stale             // the engine's weights are too old
	Canceled          // ended by the caller
)

type run struct {
	id          int64
	task        *Task
	engine      string
	started     time.Duration
	events      int64 // received from this run
	lastEventAt time.Duration
}

type engine struct {
	Engine
	running       int
	backoffUntil  time.Duration // no run starts earlier
	eventInterval float64       // seconds between events, moving average; zero: unknown
	loadOrderedAt time.Duration // latest load order; a load pauses the runs
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
	medianInterval map[string]float64 // seconds, by service; zero: unknown
}

// New returns a scheduler without tasks and engines.
func New(l Limits) *Scheduler {
	return &Scheduler{
		limits: l, tasks: map[Key]*Task{}, runs: map[int64]*run{}, runByTask: map[Key]*run{}, engines: map[string]*engine{},
		medianInterval: map[string]float64{},
	}
}

// SetEngines replaces the list of engines. An engine that is no longer listed gets no
// runs and is removed by the first call without a run on it.
func (m *Scheduler) SetEngines(engines []Engine) {
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		listed[e.ID] = true
		current := m.engines[e.ID]
		if current == nil {
			current = &engine{runsByGroup: map[string]int{}}
			m.engines[e.ID] = current
		}
		current.Engine = e
		current.loadOrderedAt = max(current.loadOrderedAt, e.LoadOrderedAt)
	}
	for id, e := range m.engines {
		if !listed[id] {
			e.Ready = false
			if e.running == 0 {
				delete(m.engines, id)
			}
		}
	}
}

// Add makes a task wait for an engine. A task that waits or runs already stays unchanged.
func (m *Scheduler) Add(t Task) {
	if m.tasks[t.Key] != nil {
		return
	}
	m.tasks[t.Key] = &t
	m.enqueue(&t)
}

// Has reports whether the task waits or runs.
func (m *Scheduler) Has(k Key) bool { return m.tasks[k] != nil }

// Drop removes a task. If it runs, Drop returns the run that the caller must end.
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

// Progress records the total number of events of a run and the time of the last one. It
// updates the engine's event interval, except by an interval that overlaps a load of weights.
func (m *Scheduler) Progress(id, events int64, last time.Duration) {
	r := m.runs[id]
	if r == nil || events <= r.events {
		return
	}
	e := m.engines[r.engine]
	loaded := e.loadOrderedAt > 0 && last > e.loadOrderedAt && r.lastEventAt < e.loadOrderedAt+m.limits.LoadTime
	if r.events > 0 && !loaded { // the pause of a load does not show the engine's speed
		e.updateInterval((last - r.lastEventAt).Seconds() / float64(events-r.events))
	}
	r.events, r.lastEventAt = events, last
}

// updateInterval adds an interval in seconds to the exponential moving average of the
// engine. A single pause changes the average only a little, because moving a run for one
// pause costs more than it gains.
func (e *engine) updateInterval(gap float64) {
	const (
		weight = 0.12 // of the newest interval: averages about eight, over all runs of the engine
		limit  = 2.0  // a larger multiple of the average is capped to this one
	)
	if e.eventInterval == 0 {
		e.eventInterval = gap
		return
	}
	e.eventInterval += weight * (min(gap, limit*e.eventInterval) - e.eventInterval)
}

// Finished records the end of a run. kept is the number of the last event that is kept:
// later runs of the task resume after it. Finished reports whether the run was still
// assigned; a run that was requeued or dropped is not.
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

// enqueue inserts a task into the waiting tasks, which are sorted in start order.
func (m *Scheduler) enqueue(t *Task) {
	i, _ := slices.BinarySearchFunc(m.waiting, t, compareStartOrder)
	m.waiting = slices.Insert(m.waiting, i, t)
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

// Assign assigns waiting tasks to engines with free slots and returns the runs to start.
func (m *Scheduler) Assign(now time.Duration) []Start {
	m.updateMedians()
	var out []Start
	stillWaiting := m.waiting[:0]
	noEngine := map[class]bool{}
	for _, t := range m.waiting {
		if t.notBefore > now || noEngine[t.class()] {
			stillWaiting = append(stillWaiting, t)
			continue
		}
		e := m.pickEngine(now, t)
		if e == nil {
			noEngine[t.class()] = true
			stillWaiting = append(stillWaiting, t)
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
	clear(m.waiting[len(stillWaiting):])
	m.waiting = stillWaiting
	return out
}

// canRun reports whether a run of the task may start on the engine now.
func (m *Scheduler) canRun(now time.Duration, e *engine, t *Task) bool {
	if !e.Ready || e.Service != t.Service || e.running >= e.Slots || now < e.backoffUntil {
		return false
	}
	if e.Versions[t.Model] < t.MinVersion {
		return false
	}
	return e.LoadingModel != t.Model || now >= e.LoadOrderedAt+m.limits.LoadTime
}

// pickEngine returns the engine with the highest score that can run the task, nil for none.
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

// Bonuses and penalties in the score of an engine that can run a task. The utilization, from
// 0 to 1, is subtracted from the score.
const (
	groupBonus   = 0.3 // the engine computes a shared prompt once
	versionBonus = 0.2 // results of newer weights are still valid for the next step
	avoidPenalty = 2.0 // for the engine of the task's last run
	slowPenalty  = 1.5 // for an engine above SlowFactor
	// slowdownPenalty is per unit of slowdown above 1: at a slowdown of 1.3 other engines are
	// preferred until their utilization is higher by 0.6.
	slowdownPenalty = 2.0
)

// score rates an engine for a task: the higher, the better.
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

// sortedEngineIDs returns the engines' ids in ascending order.
func (m *Scheduler) sortedEngineIDs() []string {
	ids := make([]string, 0, len(m.engines))
	for id := range m.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
