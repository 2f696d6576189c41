package sample

import (
	"fmt"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Limits bound the open work of an owner.
type Limits struct {
	MaxStaleness int64 // maximum staleness of a delivered sample, in weight versions
	MaxRunning   int   // samples generated at once
	// MaxBuffered limits generation to the open batch and the oldest other groups, up to
	// this many samples together. A group counts until the trainer has acknowledged it,
	// so generation stops while a trainer requests no batches (back-pressure).
	MaxBuffered int
	MaxGroups   int // groups that are submitted and not acknowledged
}

// sampleState is the progress of one sample of a group.
type sampleState uint8

const (
	waiting sampleState = iota
	running
	finished
)

// groupState holds a group and the progress of its samples.
type groupState struct {
	Group
	states        []sampleState
	samples       []Sample // by index; valid where finished
	firstVersions []int64  // by index; version of a running sample's first token; zero: none yet
	finishedCount int
}

// predictedTokens returns the predicted length of a sample of the group: that of its longest
// finished sample, or the group's MaxTokens while none is finished.
func (g *groupState) predictedTokens() int {
	longest := 0
	for i := range g.samples {
		if g.states[i] == finished {
			longest = max(longest, g.samples[i].Tokens())
		}
	}
	if longest == 0 {
		return g.MaxTokens
	}
	return longest
}

// Owner holds the state of one trainer's samples. The delivery state of the log is
// authoritative for batches: the owner proposes a batch, which is open from the time that
// the log has accepted its record until the trainer has acknowledged it.
type Owner struct {
	limits     Limits
	deliveries fold.DeliveryState
	groups     map[string]*groupState
	groupIDs   []string // groups in submission order
	running    int      // number of running samples
	minVersion int64    // oldest version that is fresh for the trainer's latest request
}

// NewOwner returns an owner without groups.
func NewOwner(limits Limits, deliveries fold.DeliveryState) *Owner {
	return &Owner{limits: limits, deliveries: deliveries, groups: map[string]*groupState{}}
}

// SetLimits sets the limits of later decisions.
func (o *Owner) SetLimits(l Limits) { o.limits = l }

// DeliveryState returns the delivery state that was last set.
func (o *Owner) DeliveryState() fold.DeliveryState { return o.deliveries }

// MinVersion returns the oldest weight version that is fresh for the trainer's latest
// request. Samples of older versions would be discarded.
func (o *Owner) MinVersion() int64 { return o.minVersion }

// SetDeliveryState sets the delivery state after applying the log and removes the groups of
// acknowledged batches. A state that is not newer than the current one is ignored.
func (o *Owner) SetDeliveryState(deliveries fold.DeliveryState) {
	if deliveries.LastOffset <= o.deliveries.LastOffset {
		return
	}
	o.deliveries = deliveries
	for id, g := range o.groups {
		if deliveries.Delivered(id) {
			o.removeGroup(g)
		}
	}
}

func (o *Owner) removeGroup(g *groupState) {
	for _, s := range g.states {
		if s == running {
			o.running--
		}
	}
	delete(o.groups, g.ID)
	o.groupIDs = slices.DeleteFunc(o.groupIDs, func(id string) bool { return id == g.ID })
}

// Submit adds a group. Submitting the same group again has no effect, also after it was
// delivered. It fails if the group is invalid, has the id of a different group, belongs to
// a closed step, or if there are MaxGroups groups already; the last two do not apply to the
// groups of the open batch.
func (o *Owner) Submit(g Group) error {
	if g.ID == "" || g.Size < 1 || len(g.Prompt) > MaxPromptBytes {
		return fmt.Errorf("group %q of size %d with a prompt of %d bytes: %w", g.ID, g.Size, len(g.Prompt), ErrGroupInvalid)
	}
	if existing, ok := o.groups[g.ID]; ok {
		if existing.Group != g {
			return fmt.Errorf("group %q: %w", g.ID, ErrGroupExists)
		}
		return nil
	}
	if o.deliveries.Delivered(g.ID) {
		return nil
	}
	recorded, inBatch := o.openBatchGroup(g.ID)
	switch {
	case inBatch && recorded.Digest != g.Digest():
		return fmt.Errorf("group %q of batch %d: %w", g.ID, o.deliveries.Number, ErrGroupExists)
	case !inBatch && o.deliveries.StepClosed(g.Step):
		return fmt.Errorf("group %q of step %d: %w", g.ID, g.Step, ErrStepClosed)
	case !inBatch && len(o.groups) >= o.limits.MaxGroups:
		return fmt.Errorf("group %q: %w", g.ID, ErrTooManyGroups)
	}
	o.groups[g.ID] = &groupState{Group: g, states: make([]sampleState, g.Size), samples: make([]Sample, g.Size), firstVersions: make([]int64, g.Size)}
	o.groupIDs = append(o.groupIDs, g.ID)
	return nil
}

// openBatchGroup returns the group's entry in the open batch, and whether it has one.
func (o *Owner) openBatchGroup(group string) (record.BatchGroup, bool) {
	if !o.deliveries.Open() {
		return record.BatchGroup{}, false
	}
	for _, g := range o.deliveries.Groups {
		if g.ID == group {
			return g, true
		}
	}
	return record.BatchGroup{}, false
}

// StartJobs returns the samples to start now and marks them as running. Samples of the open
// batch come first, then those of the groups with the longest predicted samples: a long
// sample that starts late delays the whole step.
func (o *Owner) StartJobs() []GenerationRequest {
	var jobs []GenerationRequest
	for _, g := range o.startable() {
		for i := range g.states {
			if o.running >= o.limits.MaxRunning {
				return jobs
			}
			if g.states[i] != waiting {
				continue
			}
			g.states[i], g.firstVersions[i] = running, 0
			o.running++
			jobs = append(jobs, GenerationRequest{Sample: ID(g.ID, i), Index: i, Group: g.Group})
		}
	}
	return jobs
}

// startable returns the groups that MaxBuffered allows, in the order in which their samples
// start. The groups of the open batch are always allowed; without them, so is the first
// group.
func (o *Owner) startable() []*groupState {
	var openBatch, others []*groupState
	buffered := 0
	for _, id := range o.groupIDs {
		g := o.groups[id]
		if _, inBatch := o.openBatchGroup(id); inBatch {
			openBatch = append(openBatch, g)
			buffered += g.Size
		}
	}
	for _, id := range o.groupIDs {
		g := o.groups[id]
		if _, inBatch := o.openBatchGroup(id); inBatch {
			continue
		}
		if buffered > 0 && buffered+g.Size > o.limits.MaxBuffered {
			break
		}
		buffered += g.Size
		others = append(others, g)
	}
	lengths := make(map[string]int, len(others))
	for _, g := range others {
		lengths[g.ID] = g.predictedTokens()
	}
	slices.SortStableFunc(others, func(a, b *groupState) int { return lengths[b.ID] - lengths[a.ID] })
	return append(openBatch, others...)
}

// RecordFirstVersion records the weight version of a running sample's first token.
func (o *Owner) RecordFirstVersion(j GenerationRequest, version int64) {
	if g, ok := o.groups[j.Group.ID]; ok && g.states[j.Index] == running {
		g.firstVersions[j.Index] = version
	}
}

// Requeue marks a sample whose generation ended without a result as waiting again.
func (o *Owner) Requeue(j GenerationRequest) {
	g, ok := o.groups[j.Group.ID]
	if !ok || j.Index >= len(g.states) || g.states[j.Index] != running {
		return
	}
	g.states[j.Index] = waiting
	o.running--
}

// Finish stores a generated sample. A second result for one id is ignored. It fails with
// ErrUnknownSample if the owner does not have the sample's group or the id does not match
// index, and with ErrNoWeightVersion if a segment has no version or there are none.
func (o *Owner) Finish(index int, s Sample) error {
	g, ok := o.groups[s.Group]
	if !ok || index < 0 || index >= g.Size || ID(s.Group, index) != s.ID {
		return fmt.Errorf("sample %q of group %q: %w", s.ID, s.Group, ErrUnknownSample)
	}
	if len(s.Segments) == 0 {
		return fmt.Errorf("sample %q: %w", s.ID, ErrNoWeightVersion)
	}
	for _, seg := range s.Segments {
		if seg.Version <= 0 {
			return fmt.Errorf("sample %q: %w", s.ID, ErrNoWeightVersion)
		}
	}
	if g.states[index] == finished {
		return nil
	}
	if g.states[index] == running {
		o.running--
	}
	g.states[index] = finished
	g.samples[index] = s
	g.finishedCount++
	return nil
}
