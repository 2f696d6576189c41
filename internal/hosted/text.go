package hosted

import (
	"slices"
	"sync"
	"time"
)

// taskOutput is the output of a task as far as it was received: events that are numbered
// from 1 without a gap. It is safe for concurrent use.
type taskOutput struct {
	mu          sync.Mutex
	data        []byte        // of all events, joined by line feeds
	lastEvent   int64         // number of the last event; zero: none
	versions    []int64       // weight versions that generated the events, ascending
	lastEventAt time.Duration // arrival of the last event
	activeRun   int64         // run that may add events; zero: none

	// The part of the output that takeUnsaved has returned or that was loaded from the log.
	savedLastEvent int64 // number of its last event
	savedBytes     int
}

// setActiveRun makes run the only run that may add events, and returns the number of the
// last event.
func (t *taskOutput) setActiveRun(run int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeRun = run
	return t.lastEvent
}

// addEvent appends an event of a run. It reports false if the run is not the active one
// or the number is not the next in sequence.
func (t *taskOutput) addEvent(run, number int64, event []byte, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeRun != run || number != t.lastEvent+1 {
		return false
	}
	if t.lastEvent > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, event...)
	t.lastEvent, t.lastEventAt = number, now
	t.versions = withVersion(t.versions, version)
	return true
}

// reset discards all events, so that the next run starts from the first one.
func (t *taskOutput) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data, t.lastEvent, t.versions, t.savedLastEvent, t.savedBytes = nil, 0, nil, 0, 0
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
	return t.lastEvent, t.lastEventAt
}

// snapshot returns copies of the data and the versions, and the number of the last event.
func (t *taskOutput) snapshot() (data []byte, versions []int64, last int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.data), slices.Clone(t.versions), t.lastEvent
}

// takeUnsaved returns the events that no earlier call has returned: their numbers, first
// to last, and their data, and the weight versions of the output. If there are fewer than
// minEvents, it returns none and last is zero.
func (t *taskOutput) takeUnsaved(minEvents int64) (first, last int64, data []byte, versions []int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastEvent-t.savedLastEvent < minEvents || t.lastEvent == t.savedLastEvent {
		return 0, 0, nil, nil
	}
	from := t.savedBytes
	if t.savedLastEvent > 0 {
		from++ // the line feed between the parts
	}
	first, last = t.savedLastEvent+1, t.lastEvent
	data, versions = slices.Clone(t.data[from:]), slices.Clone(t.versions)
	t.savedLastEvent, t.savedBytes = t.lastEvent, len(t.data)
	return first, last, data, versions
}
