package batch

import (
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
)

// taskOutput is the output of a task as far as it was received: events that are numbered
// from 1 without a gap, all of one software version. It is safe for concurrent use.
type taskOutput struct {
	mu          sync.Mutex
	data        []byte        // of all events, joined by line feeds
	lastEvent   int64         // number of the last event; zero: none
	versions    []int64       // weight versions that generated the events, ascending
	lastEventAt time.Duration // arrival of the last event
	software    string        // software version of the engines that generated the events
	activeRun   int64         // run that may add events; zero: none
	// activeSoftware is the version of the active run's engine. If it is another one than that
	// of the events, they are replaced by the run's first event.
	activeSoftware string
	runEvents      int64         // added by the active run
	firstEventAt   time.Duration // arrival of the first event of the active run; zero: none yet

	// The part of the output that takeUnsaved has returned or that was loaded from the log.
	savedLastEvent int64 // number of its last event
	savedBytes     int
}

// startRun makes run, at an engine with the software version, the only run that may add
// events. It returns the number of the event after which the run resumes, zero if it starts
// from the first event.
func (t *taskOutput) startRun(run int64, software string) (resumeAfter int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeRun, t.activeSoftware, t.runEvents, t.firstEventAt = run, software, 0, 0
	if t.software != software {
		return 0
	}
	return t.lastEvent
}

// stopRun ignores further events of the active run.
func (t *taskOutput) stopRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeRun = 0
}

// startedOver reports whether the active run has replaced the events of another software
// version, if there were any.
func (t *taskOutput) startedOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEvent == 0 || t.software == t.activeSoftware
}

// addEvent appends an event of a run. It reports false if the run is not the active one
// or the number is not the next in sequence.
func (t *taskOutput) addEvent(run, number int64, event []byte, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeRun != run {
		return false
	}
	if t.software != t.activeSoftware && number == 1 {
		t.discard()
		t.software = t.activeSoftware
	}
	if t.software != t.activeSoftware || number != t.lastEvent+1 {
		return false
	}
	if t.runEvents++; t.runEvents == 1 {
		t.firstEventAt = now
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
	t.discard()
}

// discard is called with mu held.
func (t *taskOutput) discard() {
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

// runProgress returns how many events the active run has added and when the last event was
// added.
func (t *taskOutput) runProgress() (added int64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runEvents, t.lastEventAt
}

// firstEvent returns when the first event of the active run was added, zero if there is none.
func (t *taskOutput) firstEvent() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstEventAt
}

// kept returns the events that a later run can go on after.
func (t *taskOutput) kept() assign.Kept {
	t.mu.Lock()
	defer t.mu.Unlock()
	return assign.Kept{Events: t.lastEvent, Software: t.software}
}

// snapshot returns copies of the data and the versions, and the number of the last event.
func (t *taskOutput) snapshot() (data []byte, versions []int64, last int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.data), slices.Clone(t.versions), t.lastEvent
}

// takeUnsaved returns the events that no earlier call has returned, as a chunk without its
// task and location, and their data. The chunk has the weight versions of the whole output.
// If there are fewer than minEvents, it reports false.
func (t *taskOutput) takeUnsaved(minEvents int64) (chunk job.Chunk, data []byte, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastEvent-t.savedLastEvent < minEvents || t.lastEvent == t.savedLastEvent {
		return job.Chunk{}, nil, false
	}
	from := t.savedBytes
	if t.savedLastEvent > 0 {
		from++ // the line feed between the parts
	}
	chunk = job.Chunk{First: t.savedLastEvent + 1, Last: t.lastEvent, Versions: slices.Clone(t.versions), Software: t.software}
	data = slices.Clone(t.data[from:])
	t.savedLastEvent, t.savedBytes = t.lastEvent, len(t.data)
	return chunk, data, true
}
