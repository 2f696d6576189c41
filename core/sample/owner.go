package sample

import (
	"fmt"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Limits bound what an owner has open.
type Limits struct {
	MaxStaleness int64 // weight versions
	MaxRunning   int   // samples generated at once
	// MaxBuffered bounds the samples of the groups that generation may have begun
	// and the trainer has not acknowledged. It is the back-pressure on a trainer
	// that has stopped asking.
	MaxBuffered int
	MaxGroups   int // groups submitted and not acknowledged
}

// sampleState is the progress of one sample of a group.
type sampleState uint8

const (
	waiting sampleState = iota
	running
	done
)

type groupState struct {
	Group
	states        []sampleState
	samples       []Sample // by index; valid where done
	firstVersions []int64  // oldest version so far of each running sample; zero: no token yet
	finished      int
}

// predictedTokens returns how long a sample of the group may become: the trainer's
// own bound, until a finished sample of the same prompt has shown less.
func (g *groupState) predictedTokens() int {
	longest := 0
	for i := range g.samples {
		if g.states[i] == done {
			longest = max(longest, g.samples[i].Tokens())
		}
	}
	if longest == 0 {
		return g.MaxTokens
	}
	return longest
}

// Owner is the state of one trainer's samples. It performs no I/O. The ledger
// of the log is the truth on batches: the owner follows it and never numbers a
// batch by itself.
type Owner struct {
	limits     Limits
	deliveries fold.DeliveryState
	groups     map[string]*groupState
	order      []string // groups in submission order
	running    int
	minVersion int64 // oldest version that the trainer's latest request would take
}

// NewOwner returns an owner that has no groups yet.
func NewOwner(limits Limits, ledger fold.DeliveryState) *Owner {
	return &Owner{limits: limits, deliveries: ledger, groups: map[string]*groupState{}}
}

// SetLimits changes the limits for decisions from now on.
func (o *Owner) SetLimits(l Limits) { o.limits = l }

// DeliveryState returns the ledger that the owner follows.
func (o *Owner) DeliveryState() fold.DeliveryState { return o.deliveries }

// MinVersion returns the oldest weight version that the trainer's latest request
// would take. Generating below it is in vain.
func (o *Owner) MinVersion() int64 { return o.minVersion }

// SetDeliveryState takes over the ledger as folded from the log. An older one than the
// owner knows changes nothing. Acknowledged groups are forgotten.
func (o *Owner) SetDeliveryState(l fold.DeliveryState) {
	if l.LastOffset <= o.deliveries.LastOffset {
		return
	}
	o.deliveries = l
	for id, g := range o.groups {
		if l.Delivered(id) {
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
	o.order = slices.DeleteFunc(o.order, func(id string) bool { return id == g.ID })
}

// Submit adds a group. Submitting the same group again is idempotent, also
// after it was delivered.
func (o *Owner) Submit(g Group) error {
	if g.ID == "" || g.Size < 1 || len(g.Prompt) > MaxPromptBytes {
		return fmt.Errorf("group %q of size %d with a prompt of %d bytes: %w", g.ID, g.Size, len(g.Prompt), ErrGroupInvalid)
	}
	if old, ok := o.groups[g.ID]; ok {
		if old.Group != g {
			return fmt.Errorf("group %q: %w", g.ID, ErrGroupExists)
		}
		return nil
	}
	if o.deliveries.Delivered(g.ID) {
		return nil
	}
	recorded, inBatch := o.inOpenBatch(g.ID)
	switch {
	case inBatch && recorded.Digest != g.Digest():
		return fmt.Errorf("group %q of batch %d: %w", g.ID, o.deliveries.Number, ErrGroupExists)
	case !inBatch && o.deliveries.StepClosed(g.Step):
		return fmt.Errorf("group %q of step %d: %w", g.ID, g.Step, ErrStepClosed)
	case !inBatch && len(o.groups) >= o.limits.MaxGroups:
		return fmt.Errorf("group %q: %w", g.ID, ErrTooManyGroups)
	}
	o.groups[g.ID] = &groupState{Group: g, states: make([]sampleState, g.Size), samples: make([]Sample, g.Size), firstVersions: make([]int64, g.Size)}
	o.order = append(o.order, g.ID)
	return nil
}

func (o *Owner) inOpenBatch(group string) (record.BatchGroup, bool) {
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

// StartJobs returns the samples to start now and counts them as running. Samples of
// the open batch go first, then those of the groups that are predicted to run
// longest: a sample that starts late and runs long is what a step waits for.
func (o *Owner) StartJobs() []Job {
	var jobs []Job
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
			jobs = append(jobs, Job{Sample: ID(g.ID, i), Index: i, Group: g.Group})
		}
	}
	return jobs
}

// startable returns the groups that fit into the buffer, in the order in which
// their samples start. The first group always fits.
func (o *Owner) startable() []*groupState {
	var open, rest []*groupState
	buffered := 0
	for _, id := range o.order {
		g := o.groups[id]
		if _, inBatch := o.inOpenBatch(id); inBatch {
			open = append(open, g)
			buffered += g.Size
		}
	}
	for _, id := range o.order {
		g := o.groups[id]
		if _, inBatch := o.inOpenBatch(id); inBatch {
			continue
		}
		if buffered > 0 && buffered+g.Size > o.limits.MaxBuffered {
			break
		}
		buffered += g.Size
		rest = append(rest, g)
	}
	lengths := make(map[string]int, len(rest))
	for _, g := range rest {
		lengths[g.ID] = g.predictedTokens()
	}
	slices.SortStableFunc(rest, func(a, b *groupState) int { return lengths[b.ID] - lengths[a.ID] })
	return append(open, rest...)
}

// RecordFirstVersion notes the version of a running sample's oldest token.
func (o *Owner) RecordFirstVersion(j Job, version int64) {
	if g, ok := o.groups[j.Group.ID]; ok && g.states[j.Index] == running {
		g.firstVersions[j.Index] = version
	}
}

// Requeue returns a sample whose generation ended without a result.
func (o *Owner) Requeue(j Job) {
	g, ok := o.groups[j.Group.ID]
	if !ok || j.Index >= len(g.states) || g.states[j.Index] != running {
		return
	}
	g.states[j.Index] = waiting
	o.running--
}

// Finish records a generated sample. A second result for one id is ignored.
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
	if g.states[index] == done {
		return nil
	}
	if g.states[index] == running {
		o.running--
	}
	g.states[index] = done
	g.samples[index] = s
	g.finished++
	return nil
}
