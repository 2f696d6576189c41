package assign

import (
	"slices"
	"time"
)

const (
	// minSamples is how many completed tasks are needed for an estimate.
	minSamples = 16
	// longFactor is by how much a hint exceeds the median hint if the task is long. One output in
	// twelve is five times as long as the others; half of that leaves room for the error of hints.
	longFactor = 2.5
)

// recent holds the latest values of a quantity.
type recent struct {
	size   int
	values []float64
	next   int
	sorted []float64 // as of the latest refresh
	above  []float64 // sum of the sorted values from the index on
}

func (r *recent) add(v float64) {
	if len(r.values) < r.size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.size
}

func (r *recent) refresh() {
	r.sorted = append(r.sorted[:0], r.values...)
	slices.Sort(r.sorted)
	r.above = append(r.above[:0], make([]float64, len(r.sorted)+1)...)
	for i := len(r.sorted) - 1; i >= 0; i-- {
		r.above[i] = r.above[i+1] + r.sorted[i]
	}
}

// median returns zero if there are too few values.
func (r *recent) median() float64 {
	if len(r.sorted) < minSamples {
		return 0
	}
	return r.sorted[len(r.sorted)/2]
}

// meanAbove returns the mean of the values above v, zero if there are none.
func (r *recent) meanAbove(v float64) float64 {
	i, _ := slices.BinarySearch(r.sorted, v+0.5) // the values are whole numbers
	if i == len(r.sorted) {
		return 0
	}
	return r.above[i] / float64(len(r.sorted)-i)
}

// lengths estimates the lengths of outputs in events from the hints, which are in tokens, and
// from the outputs of completed tasks.
type lengths struct {
	hints  recent // of the latest tasks
	ratios recent // hinted tokens for each event, of completed tasks
	totals recent // events of completed tasks
}

func newLengths() lengths {
	return lengths{recent{size: 256}, recent{size: 128}, recent{size: 512}}
}

func (l *lengths) refresh() {
	l.hints.refresh()
	l.ratios.refresh()
	l.totals.refresh()
}

func (l *lengths) hint(tokens int64) {
	if tokens > 0 {
		l.hints.add(float64(tokens))
	}
}

func (l *lengths) completed(hint, events int64) {
	if events <= 0 {
		return
	}
	l.totals.add(float64(events))
	if hint > 0 {
		l.ratios.add(float64(hint) / float64(events))
	}
}

// long reports whether a task with this hint that has generated so many events is one of the
// long ones.
func (l *lengths) long(hint, done int64) bool {
	if m := l.hints.median(); m > 0 && float64(hint) > longFactor*m {
		return true
	}
	m := l.totals.median()
	return m > 0 && float64(done) > longFactor*m
}

// remaining returns how many events a task with this hint is expected to generate after those
// it has generated, zero if that is not known. A hint does not count beyond the longest recent
// output. A task that has exceeded its hint is taken for one of the recent outputs that were
// longer than it is.
func (l *lengths) remaining(hint, done int64) float64 {
	if len(l.totals.sorted) < minSamples {
		return 0
	}
	expected := l.totals.meanAbove(0)
	if perEvent := l.ratios.median(); hint > 0 && perEvent > 0 {
		expected = min(float64(hint)/perEvent, l.totals.sorted[len(l.totals.sorted)-1])
	}
	if float64(done) < expected {
		return max(1, expected-float64(done))
	}
	if mean := l.totals.meanAbove(float64(done)); mean > 0 {
		return max(1, mean-float64(done))
	}
	return max(1, float64(done)/4) // longer than all recent ones
}

// interval returns the expected time between events on the engine with its present load.
func (s *Scheduler) interval(now time.Duration, e *engine, model string) time.Duration {
	return time.Duration(float64(e.service.Interval()) * e.speed(model).Factor(now, e.load(0)))
}

// remainingTime returns the expected time until the task is complete from now on, or from its
// start on if it waits; zero: unknown.
func (s *Scheduler) remainingTime(now time.Duration, t *Task) time.Duration {
	service := s.service(t.Service)
	if service.Median() == 0 {
		return 0
	}
	done := t.Kept.Events
	interval := time.Duration(float64(service.Median()) * s.typicalFactor)
	if r := t.run; r != nil {
		done = r.resumed + r.events
		interval = s.interval(now, r.engine, t.Model)
	}
	events := s.lengths.remaining(t.ExpectedTokens, done)
	if events == 0 {
		return 0
	}
	remaining := time.Duration(events * float64(interval))
	if t.run == nil || t.run.events == 0 {
		remaining += service.FirstEvent()
	}
	return max(1, remaining)
}

// updateLong counts the run as a long one of its engine if it is one.
func (s *Scheduler) updateLong(r *run) {
	if !r.long && s.lengths.long(r.task.ExpectedTokens, r.resumed+r.events) {
		r.long = true
		r.engine.longRuns++
	}
}
