// Package assign decides which engine runs each task of a job, and when the task moves to
// another engine.
//
// A run is one attempt to generate a task's output on an engine, which streams the output as
// numbered events. Engines admit requests in order of arrival and have no priorities, so
// tasks wait here until an engine has a free slot. Tasks of groups that can be complete in
// time start first, and of these the ones with the least slack: the last task to end decides
// when a group is complete. If a run is interrupted or slow, the task resumes on another engine
// after its last event.
//
// The load that it addresses: several trainers submit steps of 6 to 19 groups at once, more
// tasks than there are slots; one output in twelve is five times as long as the others and
// takes nearly the time until the groups are due; engines differ in speed, and a step takes
// longer the more runs and tokens an engine has; engines are reclaimed at 2 to 3 s notice. Each
// model has its own runner, which sees only its own runs and hears of those of the others.
//
// The package has no clock, no goroutines and no I/O. The caller passes in the time, the
// tasks and the engines, starts and ends the runs, and reports their progress and
// outcome.
package assign

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/speed"
)

// Scheduler assigns the tasks of one instance. It is not safe for concurrent use.
type Scheduler struct {
	limits         Limits
	tasks          map[Key]*Task
	waiting        []*Task // in start order, unless unsorted is set
	unsorted       bool
	firstLate      int // index in waiting of the first task of a group that cannot be in time
	sinceLate      int // starts since the latest one of such a task
	jobs           map[string]Job
	groups         map[groupKey]*group
	lengths        lengths
	runs           map[int64]*run
	engines        map[string]*engine
	enginesByGroup map[string][]*engine // that have runs of the group
	nextRun        int64
	services       map[string]*speed.Service
	refreshedAt    time.Duration // when the estimates were computed
	refreshed      bool
	orderedAt      time.Duration        // when the start order was computed
	typicalFactor  float64              // by which the load of the own runs' engines lengthens an event
	preference     map[string][]*engine // all engines in the order of preference, by model
	wanted         []*engine            // that tasks wait for permits for, as of the latest Assign
	anyReclaimed   bool                 // the time when an engine goes is known
	newsKnown      bool                 // other runners are known
	newsAt         time.Duration        // time of the news of the other runners
	byHash         []*engine            // all engines in the order of their hashes; nil: not computed
}

// New returns a scheduler without tasks and engines.
func New(l Limits) *Scheduler {
	return &Scheduler{
		limits: l, tasks: map[Key]*Task{}, jobs: map[string]Job{}, groups: map[groupKey]*group{}, lengths: newLengths(),
		runs: map[int64]*run{}, engines: map[string]*engine{}, enginesByGroup: map[string][]*engine{},
		services: map[string]*speed.Service{}, preference: map[string][]*engine{}, typicalFactor: 1,
	}
}

func (s *Scheduler) service(name string) *speed.Service {
	service := s.services[name]
	if service == nil {
		service = speed.NewService()
		s.services[name] = service
	}
	return service
}

// SetEngines replaces the list of engines. An engine that is no longer listed gets no further
// runs. The first call of SetEngines that finds no run on it removes it.
func (s *Scheduler) SetEngines(engines []Engine) {
	listed := make(map[string]bool, len(engines))
	s.anyReclaimed = false
	for _, e := range engines {
		s.anyReclaimed = s.anyReclaimed || e.ReclaimedAt != 0
		listed[e.ID] = true
		current := s.engines[e.ID]
		if current == nil {
			current = &engine{runsByGroup: map[string]int{}, service: s.service(e.Service), speeds: map[string]*speed.Engine{}}
			s.engines[e.ID] = current
			s.enginesChanged()
		}
		if len(current.Serves) != len(e.Serves) {
			current.positions = nil
		}
		current.Engine = e
		current.lastLoadOrderedAt = max(current.lastLoadOrderedAt, e.LoadOrderedAt)
	}
	for id, e := range s.engines {
		if !listed[id] {
			e.Ready = false
			if e.running == 0 {
				delete(s.engines, id)
				e.service.Remove(id)
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
	s.joinGroup(&t)
	s.lengths.hint(t.ExpectedTokens)
	s.enqueue(&t)
}

// ServiceOf returns the service of a task that waits or runs.
func (s *Scheduler) ServiceOf(k Key) (service string, found bool) {
	if t := s.tasks[k]; t != nil {
		return t.Service, true
	}
	return "", false
}

// SetService sets the service of the next runs of a task that waits or runs.
func (s *Scheduler) SetService(k Key, service string) {
	if t := s.tasks[k]; t != nil && t.Service != service {
		t.Service = service
		s.unsorted = true
	}
}

// Has reports whether the task waits or runs.
func (s *Scheduler) Has(k Key) bool { return s.tasks[k] != nil }

// Drop removes a task. If it runs, Drop returns the run that the caller must end.
func (s *Scheduler) Drop(k Key) (Stop, bool) {
	t := s.tasks[k]
	if t == nil {
		return Stop{}, false
	}
	s.remove(t)
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Task) bool { return other == t })
	s.unsorted = true // for the index of the first late task
	r := t.run
	if r == nil {
		return Stop{}, false
	}
	s.release(r)
	return Stop{r.id, k, r.engine.ID, "dropped"}, true
}

// remove removes a task that needs no further run.
func (s *Scheduler) remove(t *Task) {
	delete(s.tasks, t.Key)
	s.leaveGroup(t)
}

// Progress records the total number of events of a run and the time of the last one, and adds
// what they show of the engine to the estimates: its speed, or the duration of a load of
// weights that overlaps the time since the previous event.
func (s *Scheduler) Progress(id, events int64, lastEventAt time.Duration) {
	r := s.runs[id]
	if r == nil || events <= r.events {
		return
	}
	e := r.engine
	gap, count := lastEventAt-r.lastEventAt, time.Duration(events-r.events)
	overlapsLoad := e.lastLoadOrderedAt > 0 && lastEventAt > e.lastLoadOrderedAt && r.lastEventAt < e.lastLoadOrderedAt+e.service.LoadTime()
	switch estimate := e.speed(r.task.Model); {
	case r.events == 0 && !overlapsLoad:
		e.service.ObserveFirstEvent(gap - (count-1)*s.interval(lastEventAt, e, r.task.Model))
	case r.events > 0 && overlapsLoad:
		e.service.ObserveLoad(gap - count*s.interval(lastEventAt, e, r.task.Model))
	case r.events > 0:
		estimate.Observe(lastEventAt, gap/count, e.load(0))
	}
	r.events, r.lastEventAt = events, lastEventAt
	s.updateLong(r)
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
		s.remove(t)
		if outcome == Completed {
			s.lengths.completed(t.ExpectedTokens, kept.Events)
		}
		return true
	case NotRun, Stale:
		r.engine.backoffUntil = now + s.limits.Backoff
	case Broken:
		r.engine.backoffUntil = now + 2*s.limits.Backoff
		t.notBefore = now
	}
	t.avoidEngine, t.WaitingSince = r.engine.ID, now
	s.enqueue(t)
	return true
}

// release removes a run and frees its slot.
func (s *Scheduler) release(r *run) {
	delete(s.runs, r.id)
	t, e := r.task, r.engine
	t.run = nil
	e.running--
	if r.long {
		e.longRuns--
	}
	if e.runsByGroup[t.Group]--; e.runsByGroup[t.Group] <= 0 {
		delete(e.runsByGroup, t.Group)
		s.enginesByGroup[t.Group] = slices.DeleteFunc(s.enginesByGroup[t.Group], func(other *engine) bool { return other == e })
		if len(s.enginesByGroup[t.Group]) == 0 {
			delete(s.enginesByGroup, t.Group)
		}
	}
	e.removeTokens(t)
}

// start adds a run of the task on the engine.
func (s *Scheduler) start(now time.Duration, t *Task, e *engine) Start {
	s.nextRun++
	r := &run{id: s.nextRun, task: t, engine: e, started: now, lastEventAt: now}
	start := Start{Run: r.id, Task: t.Key, Engine: e.ID}
	if t.resumes(e) {
		start.ResumeAfter, r.resumed = t.Kept.Events, t.Kept.Events
	}
	s.runs[r.id], t.run, t.moved = r, r, false
	e.addTokens(t)
	e.running++
	e.usePermit()
	if e.runsByGroup[t.Group]++; e.runsByGroup[t.Group] == 1 {
		s.enginesByGroup[t.Group] = append(s.enginesByGroup[t.Group], e)
	}
	t.runs++
	s.updateLong(r)
	start.Inputs = s.inputs(now, t, e)
	return start
}

func (s *Scheduler) inputs(now time.Duration, t *Task, e *engine) Inputs {
	in := Inputs{Waited: now - t.WaitingSince, Runs: t.runs, Own: e.running, Others: e.others.Runs}
	in.Remaining = s.remainingTime(now, t)
	if due := s.jobs[t.Key.Job].Due; due != 0 && in.Remaining > 0 {
		in.Slack, in.SlackKnown = due-now-in.Remaining, true
	}
	if s.newsKnown {
		in.NewsAge = max(1, now-s.newsAt)
	}
	return in
}

// refreshInterval is the shortest time between two computations of medians and of the start
// order: at 12,000 engines each takes a few milliseconds.
const refreshInterval = 50 * time.Millisecond

// refresh computes the estimates again if they are old.
func (s *Scheduler) refresh(now time.Duration) {
	if s.refreshed && now-s.refreshedAt < refreshInterval {
		return
	}
	s.refreshed, s.refreshedAt = true, now
	for _, service := range s.services {
		service.Refresh(now)
	}
	s.lengths.refresh()
}
