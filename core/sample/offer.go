package sample

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/record"
)

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

// OpenSamples returns the finished samples of the open batch that the owner has.
func (o *Owner) OpenSamples() []Sample {
	if !o.ledger.Open() {
		return nil
	}
	var out []Sample
	for _, recorded := range o.ledger.Groups {
		g := o.groups[recorded.ID]
		if g == nil {
			continue
		}
		for i := range g.states {
			if g.states[i] == done {
				out = append(out, g.samples[i])
			}
		}
	}
	return out
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
