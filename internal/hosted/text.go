package hosted

import (
	"slices"
	"sync"
	"time"
)

// taskOutput is the output of a task as far as it was received. Its events are numbered
// from 1 without a gap; their data is joined by line feeds. It is safe for concurrent use.
type taskOutput struct {
	mu       sync.Mutex
	data     []byte        // of all events
	last     int64         // number of the last event; zero: none
	versions []int64       // weight versions that generated its events, ascending
	lastAt   time.Duration // arrival of the last event
	active   int64         // run that may add events; zero: none

	// The part that takeUnsaved has returned or that was loaded from the log.
	savedLast  int64 // number of its last event
	savedBytes int
}

// setActiveRun lets only one run add events, and returns the number of the last event.
func (t *taskOutput) setActiveRun(run int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = run
	return t.last
}

// add appends an event of a run. It reports false if the run is not the active one or the
// event's number is not the next.
func (t *taskOutput) add(run, number int64, event []byte, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active != run || number != t.last+1 {
		return false
	}
	if t.last > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, event...)
	t.last, t.lastAt = number, now
	t.versions = withVersion(t.versions, version)
	return true
}

// reset discards all events, so that the next run starts from the first one.
func (t *taskOutput) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data, t.last, t.versions, t.savedLast, t.savedBytes = nil, 0, nil, 0, 0
}

// withVersion returns the ascending versions with v added, unless v is zero.
func withVersion(versions []int64, v int64) []int64 {
	if v == 0 || slices.Contains(versions, v) {
		return versions
	}
	versions = append(versions, v)
	slices.Sort(versions)
	return versions
}

// progress returns the number of the last event and when it was added.
func (t *taskOutput) progress() (last int64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.lastAt
}

// snapshot returns copies of the data and the versions, and the number of the last event.
func (t *taskOutput) snapshot() (data []byte, versions []int64, last int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.data), slices.Clone(t.versions), t.last
}

// takeUnsaved returns the events that have not been taken to be saved, and marks them as
// saved. last is zero if there are fewer than minEvents.
func (t *taskOutput) takeUnsaved(minEvents int64) (first, last int64, data []byte, versions []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last-t.savedLast < minEvents || t.last == t.savedLast {
		return 0, 0, nil, nil
	}
	from := t.savedBytes
	if t.savedLast > 0 {
		from++ // the line feed between the parts
	}
	first, last = t.savedLast+1, t.last
	data, versions = slices.Clone(t.data[from:]), slices.Clone(t.versions)
	t.savedLast, t.savedBytes = t.last, len(t.data)
	return first, last, data, versions
}
