package assign

import (
	"time"
)

// Assign assigns waiting tasks to engines with free slots, in start order, and returns the runs
// that the caller must start. A task whose best engine limits its requests waits for a permit
// (PermitsWanted), so that the longest tasks get the engines that are used least.
func (s *Scheduler) Assign(now time.Duration) []Start {
	s.refresh(now)
	s.expireNews(now)
	s.sortWaiting(now)
	for _, e := range s.wanted {
		e.permits.wanted = 0
	}
	s.wanted = s.wanted[:0]
	p := placement{s: s, now: now, candidates: map[criteria]*candidates{}, resumable: map[class]bool{}}
	var out []Start
	var left [2][]*Task
	lists := [2][]*Task{s.waiting[:s.firstLate], s.waiting[s.firstLate:]}
	for len(lists[0])+len(lists[1]) > 0 {
		i := 0
		if len(lists[0]) == 0 || len(lists[1]) > 0 && s.sinceLate >= lateShare-1 {
			i = 1
		}
		t := lists[i][0]
		lists[i] = lists[i][1:]
		e := p.engineFor(t)
		if e == nil {
			left[i] = append(left[i], t)
			continue
		}
		out = append(out, s.start(now, t, e))
		if s.sinceLate++; i == 1 {
			s.sinceLate = 0
		}
	}
	s.waiting = append(append(s.waiting[:0:0], left[0]...), left[1]...)
	s.firstLate = len(left[0])
	return out
}

// canRun reports whether a run of a task of the class may start on the engine now, or once
// there is a permit for it.
func (s *Scheduler) canRun(now time.Duration, e *engine, c class) bool {
	if !e.Ready || e.Service != c.service || e.occupied() >= e.Slots || now < e.backoffUntil {
		return false
	}
	if e.Versions[c.model] < c.minVersion || c.resumes && e.Software != c.software {
		return false
	}
	return e.LoadingModel != c.model || now >= e.LoadOrderedAt+e.service.LoadTime()
}

// placement chooses engines for the tasks of one call of Assign.
type placement struct {
	s          *Scheduler
	now        time.Duration
	candidates map[criteria]*candidates
	latest     *candidates
	resumable  map[class]bool // whether an engine can resume kept events, by what it must have
}

// criteria are what the choice of an engine depends on, apart from the group of the task and
// the engine of its last run. Tasks with the same criteria share the list of candidates.
type criteria struct {
	class
	kept     bool // the task has kept events of the software version keptBy
	keptBy   string
	long     bool
	overflow bool // engines that are not home to the model count, too
	leaving  bool // engines that are about to be reclaimed, the others if not set
}

// engineFor returns the engine on which the task starts, nil for none or if it waits for a
// permit. An engine that is about to be reclaimed is used if there is no other one, for a task
// that is expected to end before.
func (p *placement) engineFor(t *Task) *engine {
	if t.notBefore > p.now {
		return nil
	}
	c := criteria{
		class: p.class(t), kept: t.Kept.Events > 0, keptBy: t.Kept.Software,
		long: p.s.lengths.long(t.ExpectedTokens, t.Kept.Events), overflow: p.s.mayOverflow(p.now, t),
	}
	e := p.pick(t, c)
	if e == nil && t.remaining > 0 && p.s.anyReclaimed {
		c.leaving = true
		e = p.pick(t, c)
	}
	switch {
	case e == nil:
		return nil
	case !e.permitted(p.now):
		e.permits.wanted++
		p.s.wanted = append(p.s.wanted, e)
		return nil
	}
	return e
}

// class returns the class of the task.
func (p *placement) class(t *Task) class {
	c := class{service: t.Service, model: t.Model, minVersion: t.MinVersion}
	if t.Kept.Events == 0 {
		return c
	}
	resuming := c
	resuming.resumes, resuming.software = true, t.Kept.Software
	found, known := p.resumable[resuming]
	if !known {
		found = p.s.canResume(t)
		p.resumable[resuming] = found
	}
	if !found || p.s.waitedLong(p.now, t) {
		return c
	}
	return resuming
}

// maxSetAside bounds how many candidates are passed over for one task because they are reclaimed
// before it ends: a choice costs a bounded time.
const maxSetAside = 16

// pick returns the engine with the highest score for the task, nil for none.
func (p *placement) pick(t *Task, c criteria) *engine {
	list := p.latest
	if list == nil || list.criteria != c {
		list = p.candidates[c]
		if list == nil {
			list = p.newCandidates(c)
			p.candidates[c] = list
		}
		p.latest = list
	}
	if len(list.heap) == 0 {
		return nil
	}
	var best candidate
	var aside []candidate
	for len(aside) < maxSetAside {
		top, found := list.top(p)
		if !found {
			break
		}
		if p.suits(top.engine, t) && top.ID != t.avoidEngine {
			best = top
			break
		}
		aside = append(aside, list.pop())
	}
	for _, a := range aside {
		if a.ID == t.avoidEngine && p.suits(a.engine, t) {
			a.score -= avoidPenalty
			best = better(t.Model, a, best)
		}
		list.push(a)
	}
	for _, e := range p.s.enginesByGroup[t.Group] {
		if e.ID != t.avoidEngine && p.meets(e, c) && p.suits(e, t) {
			best = better(t.Model, candidate{e, p.score(e, c) + groupBonus}, best)
		}
	}
	return best.engine
}

// meets reports whether an engine is a candidate for the criteria.
func (p *placement) meets(e *engine, c criteria) bool {
	if !c.overflow && e.homeModel != c.model || c.leaving != (e.ReclaimedAt > 0) {
		return false
	}
	return p.s.canRun(p.now, e, c.class) && p.s.mayOverflowOnto(p.now, e, c.model) && (e.permitted(p.now) || e.mayPermit(p.now))
}

// suits reports whether the task ends before the engine is reclaimed.
func (p *placement) suits(e *engine, t *Task) bool {
	return e.ReclaimedAt <= 0 || e.ReclaimedAt >= p.now+t.remaining
}

// Bonuses and penalties in the score of an engine that can run a task. The engine's
// utilization, the share of its slots in use from 0 to 1, is subtracted from the score.
const (
	// homeBonus outweighs the utilization: a runner fills the engines that are home to its
	// model before it uses those of other runners.
	homeBonus    = 1.0
	groupBonus   = 0.3 // for an engine with runs of the group: it computes the prompt once
	versionBonus = 0.2 // for weights newer than required: results are still valid for the next step
	avoidPenalty = 2.0 // for the engine of the task's last run
	// startOverPenalty is for an engine on which the task would lose its kept events.
	startOverPenalty = 3.0
	// factorPenalty is per unit by which an event takes longer than on an engine of median speed
	// without load. The speed of the engine decides when a long task ends.
	factorPenalty     = 2.0
	longFactorPenalty = 4.0
	// longRunPenalty keeps short tasks off engines with long runs, which they slow down, and
	// long ones apart, until the utilization of the others is higher by it.
	longRunPenalty = 0.5
)

// score rates an engine for tasks of the criteria: the higher, the better.
func (p *placement) score(e *engine, c criteria) float64 {
	score := -float64(e.occupied()+e.permits.wanted) / float64(max(1, e.Slots))
	if e.homeModel == c.model {
		score += homeBonus
	}
	if e.Versions[c.model] > c.minVersion {
		score += versionBonus
	}
	if c.kept && e.Software != c.keptBy {
		score -= startOverPenalty
	}
	if e.longRuns > 0 {
		score -= longRunPenalty
	}
	if c.long {
		return score - longFactorPenalty*(e.speed(c.model).Factor(p.now, e.load(1))-1)
	}
	return score - factorPenalty*(e.speed(c.model).Slowdown(p.now)-1)
}
