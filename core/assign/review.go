package assign

import (
	"cmp"
	"slices"
	"time"
)

// minCompared is how many engines of a service must have shown their pace: a median
// of fewer says little.
const minCompared = 3

// usualPace is up to which relative pace an engine counts as one of the faster half.
const usualPace = 1.07

// comparePaces finds the usual pace of each service's engines.
func (m *Machine) comparePaces() {
	clear(m.typical)
	paces := map[string][]float64{}
	for _, e := range m.engines {
		if e.pace > 0 {
			paces[e.Service] = append(paces[e.Service], e.pace)
		}
	}
	for service, list := range paces {
		if len(list) >= minCompared {
			slices.Sort(list)
			m.typical[service] = list[len(list)/2]
		}
	}
}

// relativePace returns how many times the usual time an engine takes for an event; 1
// where that is not known.
func (m *Machine) relativePace(e *engine) float64 {
	usual := m.typical[e.Service]
	if e.pace == 0 || usual == 0 {
		return 1
	}
	return e.pace / usual
}

// slow reports whether the engine's pace is well above the median of its service.
func (m *Machine) slow(e *engine) bool { return m.relativePace(e) > m.limits.SlowFactor }

// Review returns the runs that go on elsewhere: those without an event for too
// long, and those of engines that are slow or load weights, while another engine
// has room.
func (m *Machine) Review(now time.Duration) []Stop {
	m.comparePaces()
	var out []Stop
	type goal struct {
		class
		pace float64 // of the engines to go to, at most
	}
	room := map[goal]int{}
	for _, r := range m.ordered() {
		reason, pace := m.reason(now, r)
		if reason == "" {
			continue
		}
		g := goal{r.task.class(), pace}
		if _, known := room[g]; !known {
			room[g] = m.room(now, r.task, pace)
		}
		if room[g] <= 0 {
			continue
		}
		room[g]--
		out = append(out, Stop{r.id, r.task.Key, r.engine, reason})
	}
	return out
}

func (m *Machine) ordered() []*run {
	runs := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.id, b.id) })
	return runs
}

// room counts the free slots of engines up to a relative pace.
func (m *Machine) room(now time.Duration, t *Task, pace float64) int {
	n := 0
	for _, e := range m.engines {
		if m.usable(now, e, t) && m.relativePace(e) <= pace {
			n += e.Slots - e.running
		}
	}
	return n
}

// reason returns why a run should go on elsewhere, empty for none, and the largest
// relative pace of the engines to go to.
func (m *Machine) reason(now time.Duration, r *run) (reason string, pace float64) {
	e := m.engines[r.engine]
	switch {
	case r.events == 0 && now-r.started > m.limits.FirstEvent:
		return "no first event", m.limits.SlowFactor
	case r.events > 0 && now-r.last > m.limits.Stall:
		return "stalled", m.limits.SlowFactor
	case now-r.started > m.limits.MinRun && r.events > 0 && m.slow(e):
		return "slow engine", m.limits.SlowFactor
	case e.Loading == r.task.Model && r.started < e.Ordered && now < e.Ordered+m.limits.Load:
		return "engine loads weights", m.limits.SlowFactor // its runs pause meanwhile
	case now-r.started > m.limits.LongRun && r.events > 0 && m.relativePace(e) > m.limits.LagFactor:
		return "faster engines are free", usualPace
	default:
		return "", 0
	}
}

// Moved takes a run off its engine: its task waits again and goes on after kept.
func (m *Machine) Moved(now time.Duration, id, kept int64) {
	r := m.runs[id]
	if r == nil {
		return
	}
	m.release(r)
	if reason, _ := m.reason(now, r); reason != "" {
		m.engines[r.engine].until = max(m.engines[r.engine].until, now+m.limits.Backoff)
	}
	r.task.Events, r.task.avoid, r.task.Since = kept, r.engine, now
	m.enqueue(r.task)
}

// Shortage returns how long a task has waited at most for a slot of engines that
// are fit for it.
func (m *Machine) Shortage(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range m.waiting {
		if now-t.Since <= longest {
			continue
		}
		for _, e := range m.engines {
			if e.Ready && e.Service == t.Service && e.Versions[t.Model] >= t.MinVersion && e.running >= e.Slots {
				longest = now - t.Since
				break
			}
		}
	}
	return longest
}

// Counts returns how many tasks wait and how many run.
func (m *Machine) Counts() (waiting, running int) { return len(m.waiting), len(m.runs) }
