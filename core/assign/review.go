package assign

import (
	"cmp"
	"slices"
	"time"
)

// minEnginesForMedian is how many engines of a service must have a known event interval: a
// median of fewer is not meaningful.
const minEnginesForMedian = 3

// maxFastSlowdown is the slowdown up to which an engine counts as one of the faster half.
const maxFastSlowdown = 1.07

// updateMedians computes the median event interval of each service's engines.
func (m *Scheduler) updateMedians() {
	clear(m.medianInterval)
	intervals := map[string][]float64{}
	for _, e := range m.engines {
		if e.eventInterval > 0 {
			intervals[e.Service] = append(intervals[e.Service], e.eventInterval)
		}
	}
	for service, values := range intervals {
		if len(values) >= minEnginesForMedian {
			slices.Sort(values)
			m.medianInterval[service] = values[len(values)/2]
		}
	}
}

// slowdown returns the engine's event interval as a multiple of the median of its service,
// 1 if either is unknown.
func (m *Scheduler) slowdown(e *engine) float64 {
	median := m.medianInterval[e.Service]
	if e.eventInterval == 0 || median == 0 {
		return 1
	}
	return e.eventInterval / median
}

// slow reports whether the engine's slowdown is above SlowFactor.
func (m *Scheduler) slow(e *engine) bool { return m.slowdown(e) > m.limits.SlowFactor }

// RunsToMove returns the runs that the caller must end and requeue: those without an event
// for too long, and those of engines that are slow or load weights. It returns no more runs
// than there are free slots on engines that can run them.
func (m *Scheduler) RunsToMove(now time.Duration) []Stop {
	m.updateMedians()
	var out []Stop
	type destination struct {
		class
		maxSlowdown float64 // of the engines to move to
	}
	free := map[destination]int{}
	for _, r := range m.runsByID() {
		reason, maxSlowdown := m.moveReason(now, r)
		if reason == "" {
			continue
		}
		dest := destination{r.task.class(), maxSlowdown}
		if _, counted := free[dest]; !counted {
			free[dest] = m.freeSlots(now, r.task, maxSlowdown)
		}
		if free[dest] <= 0 {
			continue
		}
		free[dest]--
		out = append(out, Stop{r.id, r.task.Key, r.engine, reason})
	}
	return out
}

// runsByID returns the runs in ascending order of their ids.
func (m *Scheduler) runsByID() []*run {
	runs := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// freeSlots counts the free slots of the engines that can run the task and whose slowdown is
// at most maxSlowdown.
func (m *Scheduler) freeSlots(now time.Duration, t *Task, maxSlowdown float64) int {
	n := 0
	for _, e := range m.engines {
		if m.canRun(now, e, t) && m.slowdown(e) <= maxSlowdown {
			n += e.Slots - e.running
		}
	}
	return n
}

// moveReason returns why a run should move to another engine, empty for none, and the
// maximum slowdown of the engines to move to.
func (m *Scheduler) moveReason(now time.Duration, r *run) (reason string, maxSlowdown float64) {
	e := m.engines[r.engine]
	switch {
	case r.events == 0 && now-r.started > m.limits.FirstEventTimeout:
		return "no first event", m.limits.SlowFactor
	case r.events > 0 && now-r.lastEventAt > m.limits.StallTimeout:
		return "stalled", m.limits.SlowFactor
	case now-r.started > m.limits.MinRunAge && r.events > 0 && m.slow(e):
		return "slow engine", m.limits.SlowFactor
	case e.LoadingModel == r.task.Model && r.started < e.LoadOrderedAt && now < e.LoadOrderedAt+m.limits.LoadTime:
		return "engine loads weights", m.limits.SlowFactor // a load pauses the runs
	case now-r.started > m.limits.LongRunAge && r.events > 0 && m.slowdown(e) > m.limits.LongRunSlowFactor:
		return "faster engines are free", maxFastSlowdown
	default:
		return "", 0
	}
}

// Requeue releases a run's slot. The task waits again and resumes after event kept.
func (m *Scheduler) Requeue(now time.Duration, id, kept int64) {
	r := m.runs[id]
	if r == nil {
		return
	}
	m.release(r)
	if reason, _ := m.moveReason(now, r); reason != "" {
		m.engines[r.engine].backoffUntil = max(m.engines[r.engine].backoffUntil, now+m.limits.Backoff)
	}
	r.task.ResumeAfter, r.task.avoidEngine, r.task.WaitingSince = kept, r.engine, now
	m.enqueue(r.task)
}

// MaxSlotWait returns the longest wait of a task for a free slot. A wait counts if at least
// one ready engine of the task's service with recent enough weights has no free slot.
func (m *Scheduler) MaxSlotWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range m.waiting {
		if now-t.WaitingSince <= longest {
			continue
		}
		for _, e := range m.engines {
			if e.Ready && e.Service == t.Service && e.Versions[t.Model] >= t.MinVersion && e.running >= e.Slots {
				longest = now - t.WaitingSince
				break
			}
		}
	}
	return longest
}

// Counts returns how many tasks wait and how many run.
func (m *Scheduler) Counts() (waiting, running int) { return len(m.waiting), len(m.runs) }
