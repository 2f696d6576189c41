package hosted

import (
	"slices"
	"sync"
	"time"
)

// taskOutput is what is kept of a task's output. Its events are numbered from 1
// without a gap; their data is joined by line feeds.
type taskOutput struct {
	mu       sync.Mutex
	text     []byte
	last     int64   // number of the last event; zero: none
	versions []int64 // weight versions that made its events, ascending
	lastAt   time.Duration
	active   int64 // run that may add events

	savedLast  int64 // the part that the log holds
	savedBytes int
}

// setActiveRun lets one run add events, and returns the number of the last kept one.
func (t *taskOutput) setActiveRun(run int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = run
	return t.last
}

// add notes an event of a run. It reports false when the run is not the active one
// or the event does not follow the last one.
func (t *taskOutput) add(run, number int64, data []byte, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active != run || number != t.last+1 {
		return false
	}
	if t.last > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, data...)
	t.last, t.lastAt = number, now
	t.versions = withVersion(t.versions, version)
	return true
}

// reset drops everything, so that the next run starts from the first event.
func (t *taskOutput) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.last, t.versions, t.savedLast, t.savedBytes = nil, 0, nil, 0, 0
}

func withVersion(versions []int64, v int64) []int64 {
	if v == 0 || slices.Contains(versions, v) {
		return versions
	}
	versions = append(versions, v)
	slices.Sort(versions)
	return versions
}

// progress returns the number of the last event and when it came.
func (t *taskOutput) progress() (last int64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.lastAt
}

// snapshot returns a copy of the text and its versions.
func (t *taskOutput) snapshot() (text []byte, versions []int64, last int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.text), slices.Clone(t.versions), t.last
}

// takeUnsaved returns the events that the log does not hold yet, when there are
// that many at least.
func (t *taskOutput) takeUnsaved(least int64) (first, last int64, text []byte, versions []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last-t.savedLast < least || t.last == t.savedLast {
		return 0, 0, nil, nil
	}
	from := t.savedBytes
	if t.savedLast > 0 {
		from++ // the line feed between the parts
	}
	first, last = t.savedLast+1, t.last
	text, versions = slices.Clone(t.text[from:]), slices.Clone(t.versions)
	t.savedLast, t.savedBytes = t.last, len(t.text)
	return first, last, text, versions
}
