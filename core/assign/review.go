package assign

import (
	"cmp"
	"slices"
	"time"
)

// minEnginesForMedian is how many engines of a service must have an event interval: a median
// of fewer is not meaningful.
const minEnginesForMedian = 3

// maxFastSlowdown is the highest slowdown of an engine that counts as one of the faster half.
const maxFastSlowdown = 1.07

// updateMedians computes the median event interval of each service's engines.
func (s *Scheduler) updateMedians() {
	clear(s.medianInterval)
	intervals := map[string][]float64{}
	for _, e := range s.engines {
		if e.eventInterval > 0 {
			intervals[e.Service] = append(intervals[e.Service], e.eventInterval)
		}
	}
	for service, values := range intervals {
		if len(values) >= minEnginesForMedian {
			slices.Sort(values)
			s.medianInterval[service] = values[len(values)/2]
		}
	}
}

// slowdown returns the engine's event interval divided by the median of its service, 1 if
// either is unknown. An engine with a slowdown of 2 takes twice the median time for an event.
func (s *Scheduler) slowdown(e *engine) float64 {
	median := s.medianInterval[e.Service]
	if e.eventInterval == 0 || median == 0 {
		return 1
	}
	return e.eventInterval / median
}

// slow reports whether the engine's slowdown is above SlowFactor.
func (s *Scheduler) slow(e *engine) bool { return s.slowdown(e) > s.limits.SlowFactor }

// RunsToMove returns the runs that the caller must end and requeue: those without an event
// for too long, those of engines that are slow or load weights, and long runs of engines
// slower than others with free slots. It returns no more runs than there are free slots on
// engines that can run them.
func (s *Scheduler) RunsToMove(now time.Duration) []Stop {
	s.updateMedians()
	s.expireNews(now)
	var out []Stop
	type destination struct {
		class
		maxSlowdown float64 // highest slowdown of an engine to move to
		limited     bool    // engines that limit their requests count, too
	}
	slotsLeft := map[destination]int{}
	for _, r := range s.runsByID() {
		reason, maxSlowdown := s.moveReason(now, r)
		if reason == "" {
			continue
		}
		// A run that makes progress is not worth a permit.
		dest := destination{s.classToMove(now, r), maxSlowdown, s.stuck(now, r) != ""}
		if _, counted := slotsLeft[dest]; !counted {
			slotsLeft[dest] = s.freeSlots(now, dest.class, maxSlowdown, dest.limited)
		}
		if slotsLeft[dest] <= 0 {
			continue
		}
		slotsLeft[dest]--
		out = append(out, Stop{r.id, r.task.Key, r.engine, reason})
	}
	return out
}

// runsByID returns the runs in ascending order of their ids.
func (s *Scheduler) runsByID() []*run {
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// freeSlots counts the free slots of the engines that can run a task of the class and whose
// slowdown is at most maxSlowdown. Engines that limit their requests count only if limited is
// set, and then whether there is a permit or not.
func (s *Scheduler) freeSlots(now time.Duration, c class, maxSlowdown float64, limited bool) int {
	n := 0
	for _, e := range s.engines {
		if (!e.Limited || limited) && s.canRun(now, e, c) && s.slowdown(e) <= maxSlowdown {
			n += e.Slots - e.occupied()
		}
	}
	return n
}

// moveReason returns why a run should move to another engine, and the highest slowdown of an
// engine to move to. The reason is empty if the run should not move.
func (s *Scheduler) moveReason(now time.Duration, r *run) (reason string, maxSlowdown float64) {
	e := s.engines[r.engine]
	switch reason := s.stuck(now, r); {
	case reason != "":
		return reason, s.limits.SlowFactor
	case now-r.started > s.limits.MinRunAge && r.events > 0 && s.slow(e):
		return "slow engine", s.limits.SlowFactor
	case e.LoadingModel == r.task.Model && r.started < e.LoadOrderedAt && now < e.LoadOrderedAt+s.limits.LoadTime:
		return "engine loads weights", s.limits.SlowFactor // a load pauses runs
	case now-r.started > s.limits.LongRunAge && r.events > 0 && s.slowdown(e) > s.limits.LongRunSlowFactor:
		return "faster engines are free", maxFastSlowdown
	default:
		return "", 0
	}
}

// stuck returns why a run counts as one that makes no progress, empty if it does not.
func (s *Scheduler) stuck(now time.Duration, r *run) string {
	switch {
	case r.events == 0 && now-r.started > s.limits.FirstEventTimeout:
		return "no first event"
	case r.events > 0 && now-r.lastEventAt > s.limits.StallTimeout:
		return "stalled"
	default:
		return ""
	}
}

// Requeue releases a run's slot and makes its task wait again. The next run resumes after the
// kept events. If the run still has a reason to move, its engine gets no run until the backoff
// has passed.
func (s *Scheduler) Requeue(now time.Duration, id int64, kept Kept) {
	r := s.runs[id]
	if r == nil {
		return
	}
	s.release(r)
	if reason, _ := s.moveReason(now, r); reason != "" {
		s.engines[r.engine].backoffUntil = max(s.engines[r.engine].backoffUntil, now+s.limits.Backoff)
	}
	r.task.Kept, r.task.avoidEngine, r.task.WaitingSince = kept, r.engine, now
	s.enqueue(r.task)
}

// MaxSlotWait returns the longest time that a task has waited for a free slot. A task counts
// if at least one ready engine of its service has recent enough weights but no free slot: it
// does not wait for weights alone.
func (s *Scheduler) MaxSlotWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.waiting {
		if now-t.WaitingSince <= longest {
			continue
		}
		for _, e := range s.engines {
			if e.Ready && e.Service == t.Service && e.Versions[t.Model] >= t.MinVersion && e.occupied() >= e.Slots {
				longest = now - t.WaitingSince
				break
			}
		}
	}
	return longest
}

// Counts returns how many tasks wait and how many run.
func (s *Scheduler) Counts() (waiting, running int) { return len(s.waiting), len(s.runs) }
