package sample

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Limits bound what an owner has open.
type Limits struct {
	MaxStaleness int64 // weight versions
	Running      int   // samples generated at once
	// Buffered bounds the samples of the groups that generation may have begun
	// and the trainer has not acknowledged. It is the back-pressure on a trainer
	// that has stopped asking.
	Buffered int
	Groups   int // groups submitted and not acknowledged
}

// state is the progress of one sample of a group.
type state uint8

const (
	waiting state = iota
	running
	done
)

type groupState struct {
	Group
	states   []state
	samples  []Sample // by index; valid where done
	began    []int64  // oldest version so far of each running sample; zero: no token yet
	finished int
}

// predicted returns how long a sample of the group may become: the trainer's
// own bound, until a finished sample of the same prompt has shown less.
func (g *groupState) predicted() int {
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
	limits  Limits
	ledger  fold.Ledger
	groups  map[string]*groupState
	order   []string // groups in submission order
	running int
	floor   int64 // oldest version that the trainer's latest request would take
}

// NewOwner returns an owner that has no groups yet.
func NewOwner(limits Limits, ledger fold.Ledger) *Owner {
	return &Owner{limits: limits, ledger: ledger, groups: map[string]*groupState{}}
}

// SetLimits changes the limits for decisions from now on.
func (o *Owner) SetLimits(l Limits) { o.limits = l }

// Ledger returns the ledger that the owner follows.
func (o *Owner) Ledger() fold.Ledger { return o.ledger }

// Floor returns the oldest weight version that the trainer's latest request
// would take. Generating below it is in vain.
func (o *Owner) Floor() int64 { return o.floor }

// Follow takes over the ledger as folded from the log. An older one than the
// owner knows changes nothing. Acknowledged groups are forgotten.
func (o *Owner) Follow(l fold.Ledger) {
	if l.Current <= o.ledger.Current {
		return
	}
	o.ledger = l
	for id, g := range o.groups {
		if l.Delivered(id) {
			o.drop(g)
		}
	}
}

func (o *Owner) drop(g *groupState) {
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
	if g.ID == "" || g.Size < 1 {
		return fmt.Errorf("group %q of size %d: %w", g.ID, g.Size, ErrGroupInvalid)
	}
	if old, ok := o.groups[g.ID]; ok {
		if old.Group != g {
			return fmt.Errorf("group %q: %w", g.ID, ErrGroupExists)
		}
		return nil
	}
	if o.ledger.Delivered(g.ID) {
		return nil
	}
	recorded, inBatch := o.inOpenBatch(g.ID)
	switch {
	case inBatch && recorded.Digest != g.Digest():
		return fmt.Errorf("group %q of batch %d: %w", g.ID, o.ledger.Number, ErrGroupExists)
	case !inBatch && o.ledger.StepClosed(g.Step):
		return fmt.Errorf("group %q of step %d: %w", g.ID, g.Step, ErrStepClosed)
	case !inBatch && len(o.groups) >= o.limits.Groups:
		return fmt.Errorf("group %q: %w", g.ID, ErrTooManyGroups)
	}
	o.groups[g.ID] = &groupState{Group: g, states: make([]state, g.Size), samples: make([]Sample, g.Size), began: make([]int64, g.Size)}
	o.order = append(o.order, g.ID)
	return nil
}

func (o *Owner) inOpenBatch(group string) (record.BatchGroup, bool) {
	if !o.ledger.Open() {
		return record.BatchGroup{}, false
	}
	for _, g := range o.ledger.Groups {
		if g.ID == group {
			return g, true
		}
	}
	return record.BatchGroup{}, false
}

// Take returns the samples to start now and counts them as running. Samples of
// the open batch go first, then those of the groups that are predicted to run
// longest: a sample that starts late and runs long is what a step waits for.
func (o *Owner) Take() []Job {
	var jobs []Job
	for _, g := range o.startable() {
		for i := range g.states {
			if o.running >= o.limits.Running {
				return jobs
			}
			if g.states[i] != waiting {
				continue
			}
			g.states[i], g.began[i] = running, 0
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
		if buffered > 0 && buffered+g.Size > o.limits.Buffered {
			break
		}
		buffered += g.Size
		rest = append(rest, g)
	}
	lengths := make(map[string]int, len(rest))
	for _, g := range rest {
		lengths[g.ID] = g.predicted()
	}
	slices.SortStableFunc(rest, func(a, b *groupState) int { return lengths[b.ID] - lengths[a.ID] })
	return append(open, rest...)
}

// Began notes the version of a running sample's oldest token.
func (o *Owner) Began(j Job, version int64) {
	if g, ok := o.groups[j.Group.ID]; ok && g.states[j.Index] == running {
		g.began[j.Index] = version
	}
}

// Abandon returns a sample whose generation ended without a result.
func (o *Owner) Abandon(j Job) {
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
		return fmt.Errorf("sample %q of group %q: %w", s.ID, s.Group, ErrUnknown)
	}
	if len(s.Segments) == 0 {
		return fmt.Errorf("sample %q: %w", s.ID, ErrUnlabelled)
	}
	for _, seg := range s.Segments {
		if seg.Version <= 0 {
			return fmt.Errorf("sample %q: %w", s.ID, ErrUnlabelled)
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

// Request is a trainer's request for a batch.
type Request struct {
	Version int64 // weight version that the trainer has reached
	Groups  int   // at most
	Least   int   // groups to wait for while samples are still to come
	// Hold waits for running samples that would be too stale for the trainer's
	// next version. Without it samples that run longer than the bound allows
	// would start anew for ever.
	Hold bool
}

// Propose returns the batch to record next, if enough complete groups are fresh
// for the request. Groups that are not complete stay for a later batch, as long
// as the bound allows; those closest to it go first.
func (o *Owner) Propose(r Request) (record.Batch, bool) {
	o.noteRequest(r.Version)
	if o.ledger.Open() || r.Groups < 1 {
		return record.Batch{}, false
	}
	var complete []*groupState
	for _, id := range o.order {
		g := o.groups[id]
		o.dropStale(g, r.Version)
		if g.finished == g.Size {
			complete = append(complete, g)
		}
	}
	if r.Hold && o.atBound(r.Version) {
		return record.Batch{}, false
	}
	if len(complete) < min(max(r.Least, 1), r.Groups) && o.moreToCome() {
		return record.Batch{}, false
	}
	slices.SortStableFunc(complete, func(a, b *groupState) int { return cmp.Compare(a.oldest(), b.oldest()) })
	b := record.Batch{Trainer: o.ledger.Trainer, Number: o.ledger.Number + 1}
	for _, g := range complete[:min(len(complete), r.Groups)] {
		b.Groups = append(b.Groups, g.recorded())
	}
	return b, len(b.Groups) > 0
}

// oldest returns the oldest version of the group's finished samples.
func (g *groupState) oldest() int64 {
	oldest := int64(math.MaxInt64)
	for i := range g.samples {
		if g.states[i] == done {
			oldest = min(oldest, g.samples[i].Oldest())
		}
	}
	return oldest
}

// atBound reports whether a running sample can still be handed over at version
// but not at the next.
func (o *Owner) atBound(version int64) bool {
	for _, g := range o.groups {
		for i := range g.states {
			if g.states[i] == running && g.began[i] > 0 && version-g.began[i] == o.limits.MaxStaleness {
				return true
			}
		}
	}
	return false
}

// moreToCome reports whether a sample is being generated or may be started.
func (o *Owner) moreToCome() bool {
	for _, g := range o.startable() {
		if g.finished < g.Size {
			return true
		}
	}
	return false
}

// Offer returns the open batch for a trainer at version, or nil while none is
// open or some of its samples are still to be generated. Samples that have gone
// stale since the first offer are generated again under the same ids: the
// trainer's request without an acknowledgement tells that it has not taken the
// batch, and it takes one batch of a number. The error is a *GroupsUnknownError.
func (o *Owner) Offer(version int64) (*Batch, error) {
	o.noteRequest(version)
	if !o.ledger.Open() {
		return nil, nil
	}
	if unknown := o.unknown(); len(unknown) > 0 {
		return nil, &GroupsUnknownError{o.ledger.Number, unknown}
	}
	b := &Batch{Number: o.ledger.Number}
	complete := true
	for _, recorded := range o.ledger.Groups {
		g := o.groups[recorded.ID]
		o.dropStale(g, version)
		complete = complete && g.finished == g.Size
		b.Samples = append(b.Samples, g.samples...)
	}
	if !complete {
		return nil, nil
	}
	return b, nil
}

func (o *Owner) unknown() []string {
	var ids []string
	for _, g := range o.ledger.Groups {
		if o.groups[g.ID] == nil {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

// noteRequest moves the floor with the trainer, also back to an older version.
func (o *Owner) noteRequest(version int64) { o.floor = version - o.limits.MaxStaleness }

// Fresh reports whether the sample may be handed to a trainer at version.
func (o *Owner) Fresh(s *Sample, version int64) bool {
	return version-s.Oldest() <= o.limits.MaxStaleness
}

func (o *Owner) dropStale(g *groupState, version int64) {
	for i := range g.states {
		if g.states[i] == done && !o.Fresh(&g.samples[i], version) {
			g.states[i] = waiting
			g.samples[i] = Sample{}
			g.finished--
		}
	}
}

// Acknowledge checks the number of a batch that the trainer says it has, and
// reports whether the ledger has still to record it.
func (o *Owner) Acknowledge(number int64) (record bool, err error) {
	switch {
	case number > o.ledger.Number:
		return false, fmt.Errorf("batch %d was acknowledged, the last is %d: %w", number, o.ledger.Number, ErrBadBatch)
	case number == o.ledger.Number && o.ledger.Open():
		return true, nil
	default:
		return false, nil
	}
}

// Contents are groups with their finished samples, as a mirror keeps them.
type Contents struct {
	Groups  []Group  `cbor:"1,keyasint"`
	Samples []Sample `cbor:"2,keyasint"`
}

// Contents returns all that the owner would lose.
func (o *Owner) Contents() Contents {
	var c Contents
	for _, id := range o.order {
		g := o.groups[id]
		c.Groups = append(c.Groups, g.Group)
		for i := range g.states {
			if g.states[i] == done {
				c.Samples = append(c.Samples, g.samples[i])
			}
		}
	}
	return c
}

// Restore takes over what a mirror kept for a former owner.
func (o *Owner) Restore(c Contents) {
	for _, g := range c.Groups {
		if err := o.Submit(g); err != nil {
			continue // the ledger or another mirror knows better
		}
	}
	for _, s := range c.Samples {
		if g := o.groups[s.Group]; g != nil {
			o.restoreSample(g, s)
		}
	}
}

func (o *Owner) restoreSample(g *groupState, s Sample) {
	for i := range g.Size {
		if ID(g.ID, i) == s.ID {
			_ = o.Finish(i, s) // an invalid sample is generated again
			return
		}
	}
}
