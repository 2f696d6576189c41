package batch

import (
	"context"
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
	origin      string        // of the engines that generated the events, see originOf; empty: not known
	activeRun   int64         // run that may add events; zero: none
	// startsOver is set until the first event of an active run that does not go on after the
	// events. Its first event replaces them; activeOrigin is its engine's origin.
	startsOver   bool
	activeOrigin string
	runEvents    int64 // added by the active run
	// maker is set while it is not known whether the events since before are made by an engine with
	// the version software.
	maker        *maker
	before       outputMark
	firstEventAt time.Duration // arrival of the first event of the active run; zero: none yet

	// The part of the output that is stored, that was loaded from the log or that is being stored.
	savedLastEvent int64 // number of its last event
	savedBytes     int
	savedAt        *job.Location // of its latest chunk that is stored; nil: none
	saving         *unstoredPart // nil: none is being stored
}

// unstoredPart is the part of an output that is being stored.
type unstoredPart struct {
	lastEvent int64 // savedLastEvent and savedBytes before it
	bytes     int
}

// maker tells whether the engine of a run has the software version that is stated of it.
type maker struct {
	known func() bool                     // without asking the engine
	ask   func(ctx context.Context) error // asks it; nil: it has the version
}

// outputMark is an earlier state of an output.
type outputMark struct {
	bytes     int
	lastEvent int64
	versions  []int64
	origin    string
}

// outputOf returns the output that contiguous chunks from event 1 on hold, with the data of each.
// routed is the service that the job's route leads to.
func outputOf(chunks []job.Chunk, parts [][]byte, routed string) *taskOutput {
	t := &taskOutput{}
	for k, c := range chunks {
		if k > 0 {
			t.data = append(t.data, '\n')
		}
		t.data = append(t.data, parts[k]...)
		t.lastEvent, t.origin = c.Last, originOfChunk(c, routed)
		for _, v := range c.Versions {
			t.versions = withVersion(t.versions, v)
		}
	}
	t.savedLastEvent, t.savedBytes = t.lastEvent, len(t.data)
	if n := len(chunks); n > 0 {
		at := chunks[n-1].Location
		t.savedAt = &at
	}
	return t
}

// startRun makes run, at an engine with the origin, the only run that may add
// events. It returns the number of the event after which the run resumes, zero if it starts
// from the first event.
func (t *taskOutput) startRun(run int64, origin string) (resumeAfter int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.settle() {
		t.rollBack()
	}
	t.activeRun, t.activeOrigin, t.runEvents, t.firstEventAt = run, origin, 0, 0
	t.startsOver = t.lastEvent == 0 || origin == "" || t.origin != origin
	if t.startsOver {
		return 0
	}
	return t.lastEvent
}

// expectMaker sets how to find out whether the engine of the run, which has added no event, has
// the software version that is stated of it.
func (t *taskOutput) expectMaker(run int64, m *maker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeRun == run {
		t.maker, t.before = m, outputMark{len(t.data), t.lastEvent, t.versions, t.origin}
	}
}

// makerToAsk returns the maker of the events that the active run has added, if nothing is known of
// it and there are minEvents of them. nil: there is no need to ask.
func (t *taskOutput) makerToAsk(minEvents int64) *maker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runEvents < minEvents || t.settle() {
		return nil
	}
	return t.maker
}

// settle reports whether the maker of all events is known. It is called with mu held.
func (t *taskOutput) settle() bool {
	if t.maker != nil && t.maker.known() {
		t.maker = nil
	}
	return t.maker == nil
}

// rollBack discards the events of a run whose maker is not known. It is called with mu held.
func (t *taskOutput) rollBack() {
	t.data, t.lastEvent, t.versions, t.origin = t.data[:t.before.bytes], t.before.lastEvent, t.before.versions, t.before.origin
	t.maker = nil
}

// stopRun ignores further events of the active run.
func (t *taskOutput) stopRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeRun = 0
}

// end ignores further events of the active run, and discards those that it has added after others if
// it is not known that one software version has made them all.
func (t *taskOutput) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeRun = 0
	if !t.settle() && t.before.lastEvent > 0 {
		t.rollBack()
	}
}

// startedOver reports whether the active run has replaced the events that it does not go on
// after, if there were any.
func (t *taskOutput) startedOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEvent == 0 || !t.startsOver
}

// addEvent appends an event of a run. It reports false if the run is not the active one
// or the number is not the next in sequence.
func (t *taskOutput) addEvent(run, number int64, event []byte, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeRun != run {
		return false
	}
	if t.startsOver && number == 1 {
		t.discard()
		t.origin, t.startsOver = t.activeOrigin, false
	}
	if t.startsOver || number != t.lastEvent+1 {
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
	t.versions = withVersion(slices.Clip(t.versions), version)
	return true
}

// isOfOtherVersion reports whether the output holds events that the next one of the active run, of the
// weight version, goes on after and that another version generated.
func (t *taskOutput) isOfOtherVersion(version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.startsOver && t.lastEvent > 0 && (len(t.versions) != 1 || t.versions[0] != version)
}

// hasVersion reports whether the weight version of the events is known. It is true of an empty output.
func (t *taskOutput) hasVersion() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEvent == 0 || len(t.versions) > 0
}

// reset discards all events, so that the next run starts from the first one.
func (t *taskOutput) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.discard()
}

// discard is called with mu held.
func (t *taskOutput) discard() {
	t.data, t.lastEvent, t.versions, t.before = nil, 0, nil, outputMark{}
	t.savedLastEvent, t.savedBytes, t.savedAt, t.saving = 0, 0, nil, nil
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

// size returns the bytes of the output so far.
func (t *taskOutput) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.data)
}

// eventCount returns the number of the last event.
func (t *taskOutput) eventCount() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEvent
}

// kept returns the events that a later run can go on after: those whose software version is known.
func (t *taskOutput) kept() assign.Kept {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := assign.Kept{Events: t.lastEvent, Software: t.origin}
	if !t.settle() {
		kept = assign.Kept{Events: t.before.lastEvent, Software: t.before.origin}
	}
	if kept.Software == "" {
		return assign.Kept{}
	}
	return kept
}

// snapshot returns copies of the data and the versions, and the number of the last event.
func (t *taskOutput) snapshot() (data []byte, versions []int64, last int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.data), slices.Clone(t.versions), t.lastEvent
}

// takeUnsaved returns the events that are not stored, as a chunk without its task and location, and
// their data. The chunk has the weight versions of the whole output. The caller stores them and
// calls stored or notStored with the part; until then no others are returned. If there are fewer
// than minEvents, or no run can go on after them, the part is nil.
func (t *taskOutput) takeUnsaved(minEvents int64) (chunk job.Chunk, data []byte, part *unstoredPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving != nil || t.lastEvent-t.savedLastEvent < minEvents || t.lastEvent == t.savedLastEvent || t.origin == "" || !t.settle() {
		return job.Chunk{}, nil, nil
	}
	from := t.savedBytes
	if t.savedLastEvent > 0 {
		from++ // the line feed between the parts
	}
	service, software := splitOrigin(t.origin)
	chunk = job.Chunk{First: t.savedLastEvent + 1, Last: t.lastEvent, Versions: slices.Clone(t.versions), Service: service, Software: software, After: t.savedAt}
	data = slices.Clone(t.data[from:])
	t.saving = &unstoredPart{t.savedLastEvent, t.savedBytes}
	t.savedLastEvent, t.savedBytes = t.lastEvent, len(t.data)
	return chunk, data, t.saving
}

// stored sets the location of a part that takeUnsaved has returned. It has no effect if the events
// have been discarded since.
func (t *taskOutput) stored(part *unstoredPart, at job.Location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving == part {
		t.savedAt, t.saving = &at, nil
	}
}

// notStored makes takeUnsaved return the events of the part again, unless they have been discarded
// since.
func (t *taskOutput) notStored(part *unstoredPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving == part {
		t.savedLastEvent, t.savedBytes, t.saving = part.lastEvent, part.bytes, nil
	}
}

// refused makes takeUnsaved return all events from the first on: the log does not keep the latest
// stored part, at the location, nor any that goes on after it.
func (t *taskOutput) refused(at job.Location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving == nil && t.savedAt != nil && *t.savedAt == at {
		t.savedLastEvent, t.savedBytes, t.savedAt = 0, 0, nil
	}
}
