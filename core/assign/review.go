package assign

import (
	"cmp"
	"slices"
	"time"
)

// minEnginesForMedian is how many engines of a service must have shown their pace: a median
// of fewer says little.
const minEnginesForMedian = 3

// maxFastSlowdown is up to which relative pace an engine counts as one of the faster half.
const maxFastSlowdown = 1.07

// updateMedians finds the usual pace of each service's engines.
func (m *Scheduler) updateMedians() {
	clear(m.medianInterval)
	paces := map[string][]float64{}
	for _, e := range m.engines {
		if e.eventInterval > 0 {
			paces[e.Service] = append(paces[e.Service], e.eventInterval)
		}
	}
	for service, list := range paces {
		if len(list) >= minEnginesForMedian {
			slices.Sort(list)
			m.medianInterval[service] = list[len(list)/2]
		}
	}
}

// slowdown returns how many times the usual time an engine takes for an event; 1
// where that is not known.
func (m *Scheduler) slowdown(e *engine) float64 {
	usual := m.medianInterval[e.Service]
	if e.eventInterval == 0 || usual == 0 {
		return 1
	}
	return e.eventInterval / usual
}

// slow reports whether the engine's pace is well above the median of its service.
func (m *Scheduler) slow(e *engine) bool { return m.slowdown(e) > m.limits.SlowFactor }

// RunsToMove returns the runs that go on elsewhere: those without an event for too
// long, and those of engines that are slow or load weights, while another engine
// has room.
func (m *Scheduler) RunsToMove(now time.Duration) []Stop {
	m.updateMedians()
	var out []Stop
	type destination struct {
		class
		pace float64 // of the engines to go to, at most
	}
	room := map[destination]int{}
	for _, r := range m.runsByID() {
		reason, pace := m.moveReason(now, r)
		if reason == "" {
			continue
		}
		g := destination{r.task.class(), pace}
		if _, known := room[g]; !known {
			room[g] = m.freeSlots(now, r.task, pace)
		}
		if room[g] <= 0 {
			continue
		}
		room[g]--
		out = append(out, Stop{r.id, r.task.Key, r.engine, reason})
	}
	return out
}

func (m *Scheduler) runsByID() []*run {
	runs := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// freeSlots counts the free slots of engines up to a relative pace.
func (m *Scheduler) freeSlots(now time.Duration, t *Task, pace float64) int {
	n := 0
	for _, e := range m.engines {
		if m.canRun(now, e, t) && m.slowdown(e) <= pace {
			n += e.Slots - e.running
		}
	}
	return n
}

// moveReason returns why a run should go on elsewhere, empty for none, and the largest
// relative pace of the engines to go to.
func (m *Scheduler) moveReason(now time.Duration, r *run) (reason string, pace float64) {
	e := m.engines[r.engine]
	switch {
	case r.events == 0 && now-r.started > m.limits.FirstEventTimeout:
		return "no first event", m.limits.SlowFactor
	case r.events > 0 && now-r.lastEventAt > m.limits.StallTimeout:
		return "stalled", m.limits.SlowFactor
	case now-r.started > m.limits.MinRunAge && r.events > 0 && m.slow(e):
		return "slow engine", m.limits.SlowFactor
	case e.LoadingModel == r.task.Model && r.started < e.LoadOrderedAt && now < e.LoadOrderedAt+m.limits.LoadTime:
		return "engine loads weights", m.limits.SlowFactor // its runs pause meanwhile
	case now-r.started > m.limits.LongRunAge && r.events > 0 && m.slowdown(e) > m.limits.LongRunSlowFactor:
		return "faster engines are free", maxFastSlowdown
	default:
		return "", 0
	}
}

// Requeue takes a run off its engine: its task waits again and goes on after kept.
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

// MaxSlotWait returns how long a task has waited at most for a slot of engines that
// are fit for it.
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
