package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A run stalls after stallFactor times the duration of a load of weights, which pauses it,
	// and not before minStallTimeout.
	stallFactor     = 1.2
	minStallTimeout = 600 * time.Millisecond
	// stallIntervals is how many expected intervals between events a run may pause.
	stallIntervals = 6
	// maxPatience bounds how often the time that a run may go without events doubles: each run of a
	// task that was moved for want of events doubles it for the next one. Otherwise tasks of a slow
	// but sound service would move for ever and never end.
	maxPatience = 3
	// overdueFactor is how much longer than that a run is kept while no other engine has a free
	// slot. Then it ends all the same: stalled runs would hold the slots of all engines for ever.
	overdueFactor = 3
	// slowestShare is the part of the expected time of its group's slowest task that a run must
	// have left to move for speed: the others end before the group does in any case.
	slowestShare = 0.7
	// reclaimMargin is how long before an engine is reclaimed its runs move: a few reviews, each
	// of which moves as many as there are slots elsewhere. Until then a run goes on there and
	// leaves the slots of the other engines to tasks that wait.
	reclaimMargin = 600 * time.Millisecond
)

// Reasons why a run moves.
const (
	noFirstEvent = "no first event"
	stalled      = "stalled"
	reclaimed    = "engine is reclaimed"
	slowEngine   = "another engine is faster"
)

// move is a run that should move if there is an engine for it.
type move struct {
	*run
	reason   string
	left     time.Duration // expected time until it is complete, where it is
	events   float64       // expected to be left
	interval time.Duration
	pause    time.Duration // for a load of weights
	overdue  bool          // it ends even if no other engine has a free slot
}

// destinations are the engines with free slots for tasks of a class, the fastest first.
type destinations struct {
	class
	limited bool // engines that limit their requests count, too
}

type destination struct {
	engine   *engine
	slowdown float64
	slots    int
}

// RunsToMove returns the runs that the caller must end and requeue: those without an event for
// too long, those of engines that are about to be reclaimed and that do not end before, and
// those whose expected gain on another engine exceeds the expected cost. It returns no more
// runs than there are free slots on engines that can run them. The ones with the least slack
// come first.
func (s *Scheduler) RunsToMove(now time.Duration) []Stop {
	s.refresh(now)
	s.expireNews(now)
	s.rateTasks(now)
	var moves []move
	for _, r := range s.runs {
		if m := s.moveOf(now, r); m.reason != "" {
			moves = append(moves, m)
		}
	}
	slices.SortFunc(moves, func(a, b move) int {
		return cmp.Or(cmp.Compare(moveRank[a.reason], moveRank[b.reason]), cmp.Compare(s.slackOf(now, a), s.slackOf(now, b)), cmp.Compare(a.id, b.id))
	})
	free := map[destinations][]destination{}
	var out []Stop
	for _, m := range moves {
		// A run that makes progress is not worth a permit.
		d := destinations{s.classToMove(now, m.run), m.reason == noFirstEvent || m.reason == stalled}
		if _, listed := free[d]; !listed {
			free[d] = s.destinations(now, d)
		}
		if !s.takeDestination(now, m, free[d]) && !m.overdue {
			continue
		}
		m.moving, m.stuck = true, m.reason == noFirstEvent || m.reason == stalled
		out = append(out, Stop{m.id, m.task.Key, m.engine.ID, m.reason})
	}
	return out
}

// moveRank is the order of the reasons.
var moveRank = map[string]int{noFirstEvent: 0, stalled: 0, reclaimed: 1, slowEngine: 2}

func (s *Scheduler) slackOf(now time.Duration, m move) time.Duration {
	return s.jobs[m.task.Key.Job].Due - now - m.left
}

// moveOf returns why a run should move if there is an engine for it, without a reason if it
// should not.
func (s *Scheduler) moveOf(now time.Duration, r *run) move {
	e := r.engine
	interval := s.interval(now, e, r.task.Model)
	m := move{run: r, interval: interval, events: s.lengths.remaining(r.task.ExpectedTokens, r.resumed+r.events)}
	if m.events == 0 { // as many as it has, until something is known of the lengths
		m.events = max(1, float64(r.resumed+r.events))
	}
	m.left = time.Duration(m.events * float64(interval))
	loadTime := e.service.LoadTime()
	loading := e.LoadingModel == r.task.Model && r.started < e.LoadOrderedAt && now < e.LoadOrderedAt+loadTime
	if loading { // which pauses the run; it stays, as the load ends soon
		m.pause = e.LoadOrderedAt + loadTime - now
		m.left += m.pause
	}
	firstTimeout := r.patience(e.service.FirstEventTimeout())
	stallTimeout := r.patience(max(minStallTimeout, time.Duration(stallFactor*float64(loadTime)), stallIntervals*interval))
	switch {
	case r.events == 0 && now-r.started > firstTimeout:
		m.reason, m.overdue = noFirstEvent, now-r.started > overdueFactor*firstTimeout
	case r.events > 0 && now-r.lastEventAt > stallTimeout:
		m.reason, m.overdue = stalled, now-r.lastEventAt > overdueFactor*stallTimeout
	case e.ReclaimedAt > 0 && now+m.left > e.ReclaimedAt && e.ReclaimedAt-now <= reclaimMargin:
		m.reason = reclaimed
	case r.events > 0 && now-r.started > s.limits.MinRunAge && (r.task.group.unknown || float64(m.left) >= slowestShare*float64(r.task.group.slowest)):
		m.reason = slowEngine
	}
	return m
}

// patience returns a time that a run may go without events, for the runs that its task has had.
func (r *run) patience(timeout time.Duration) time.Duration {
	return timeout << min(r.task.stuckRuns, maxPatience)
}

// destinations lists the free slots of engines that can run a task of the class and are not
// about to be reclaimed.
func (s *Scheduler) destinations(now time.Duration, d destinations) []destination {
	var out []destination
	for _, e := range s.preferred(d.model) {
		if (!e.Limited || d.limited) && e.ReclaimedAt == 0 && s.canRun(now, e, d.class) && s.mayOverflowOnto(now, e, d.model) {
			out = append(out, destination{e, e.speed(d.model).Slowdown(now), e.Slots - e.occupied()})
		}
	}
	slices.SortStableFunc(out, func(a, b destination) int { return cmp.Compare(a.slowdown, b.slowdown) })
	return out
}

// takeDestination takes a slot of the fastest engine with a free one, if the run gains by the
// move or makes no progress.
func (s *Scheduler) takeDestination(now time.Duration, m move, list []destination) bool {
	for i := range list {
		d := &list[i]
		if d.slots <= 0 || d.engine == m.engine && m.reason != noFirstEvent && m.reason != stalled {
			continue
		}
		if m.reason == slowEngine {
			here := m.engine.speed(m.task.Model).Slowdown(now)
			share := 1 - d.slowdown/here
			gain := m.pause.Seconds() + m.events*m.interval.Seconds()*share
			if gain <= s.limits.GainOverCost*m.engine.service.FirstEvent().Seconds() {
				return false
			}
			untilDue := (s.jobs[m.task.Key.Job].Due - now).Seconds() // negative if it is late, or not known
			if share < s.limits.MinSpeedGain || gain < s.limits.MinDueGain*untilDue {
				return false
			}
		}
		d.slots--
		return true
	}
	return false
}

// Requeue releases a run's slot and makes its task wait again. The next run resumes after the
// kept events. If RunsToMove has returned the run, its engine gets no run until the backoff has
// passed.
func (s *Scheduler) Requeue(now time.Duration, id int64, kept Kept) {
	r := s.runs[id]
	if r == nil {
		return
	}
	s.release(r)
	if r.stuck {
		r.task.stuckRuns++
		r.engine.backoffUntil = max(r.engine.backoffUntil, now+s.limits.Backoff)
	}
	r.task.Kept, r.task.avoidEngine, r.task.WaitingSince, r.task.moved = kept, r.engine.ID, now, r.moving
	s.enqueue(r.task)
}

// MaxSlotWait returns the longest time that a task has waited for a free slot. A task counts
// if at least one ready engine of its service has recent enough weights but no free slot: it
// does not wait for weights alone.
func (s *Scheduler) MaxSlotWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	full := map[class]bool{}
	for _, t := range s.waiting {
		if now-t.WaitingSince <= longest {
			continue
		}
		c := class{service: t.Service, model: t.Model, minVersion: t.MinVersion}
		isFull, known := full[c]
		if !known {
			isFull = s.anyFull(c)
			full[c] = isFull
		}
		if isFull {
			longest = now - t.WaitingSince
		}
	}
	return longest
}

// anyFull reports whether an engine that could run a task of the class has no free slot.
func (s *Scheduler) anyFull(c class) bool {
	for _, e := range s.engines {
		if e.Ready && e.Service == c.service && e.Versions[c.model] >= c.minVersion && e.occupied() >= e.Slots {
			return true
		}
	}
	return false
}

// Counts returns how many tasks wait and how many run.
func (s *Scheduler) Counts() (waiting, running int) { return len(s.waiting), len(s.runs) }
