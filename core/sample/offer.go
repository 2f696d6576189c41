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
	Version   int64 // weight version that the trainer has reached
	MaxGroups int   // at most
	MinGroups int   // groups to wait for while samples are still to come
	// WaitForExpiring waits for running samples that would be too stale for the trainer's
	// next version. Without it samples that run longer than the bound allows
	// would start anew for ever.
	WaitForExpiring bool
}

// Propose returns the batch to record next, if enough complete groups are fresh
// for the request. Groups that are not complete stay for a later batch, as long
// as the bound allows; those closest to it go first.
func (o *Owner) Propose(r Request) (record.Batch, bool) {
	o.updateMinVersion(r.Version)
	if o.deliveries.Open() || r.MaxGroups < 1 {
		return record.Batch{}, false
	}
	var complete []*groupState
	for _, id := range o.order {
		g := o.groups[id]
		o.resetStale(g, r.Version)
		if g.finished == g.Size {
			complete = append(complete, g)
		}
	}
	if r.WaitForExpiring && o.atStalenessLimit(r.Version) {
		return record.Batch{}, false
	}
	if len(complete) < min(max(r.MinGroups, 1), r.MaxGroups) && o.hasUnfinished() {
		return record.Batch{}, false
	}
	slices.SortStableFunc(complete, func(a, b *groupState) int { return cmp.Compare(a.oldestVersion(), b.oldestVersion()) })
	b := record.Batch{Trainer: o.deliveries.Trainer, Number: o.deliveries.Number + 1}
	for _, g := range complete[:min(len(complete), r.MaxGroups)] {
		b.Groups = append(b.Groups, g.batchGroup())
	}
	return b, len(b.Groups) > 0
}

// oldestVersion returns the oldest version of the group's finished samples.
func (g *groupState) oldestVersion() int64 {
	oldest := int64(math.MaxInt64)
	for i := range g.samples {
		if g.states[i] == done {
			oldest = min(oldest, g.samples[i].OldestVersion())
		}
	}
	return oldest
}

// atStalenessLimit reports whether a running sample can still be handed over at version
// but not at the next.
func (o *Owner) atStalenessLimit(version int64) bool {
	for _, g := range o.groups {
		for i := range g.states {
			if g.states[i] == running && g.firstVersions[i] > 0 && version-g.firstVersions[i] == o.limits.MaxStaleness {
				return true
			}
		}
	}
	return false
}

// hasUnfinished reports whether a sample is being generated or may be started.
func (o *Owner) hasUnfinished() bool {
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
	o.updateMinVersion(version)
	if !o.deliveries.Open() {
		return nil, nil
	}
	if unknown := o.missingGroups(); len(unknown) > 0 {
		return nil, &GroupsUnknownError{o.deliveries.Number, unknown}
	}
	b := &Batch{Number: o.deliveries.Number}
	complete := true
	for _, recorded := range o.deliveries.Groups {
		g := o.groups[recorded.ID]
		o.resetStale(g, version)
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
	if !o.deliveries.Open() {
		return nil
	}
	var out []Sample
	for _, recorded := range o.deliveries.Groups {
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

func (o *Owner) missingGroups() []string {
	var ids []string
	for _, g := range o.deliveries.Groups {
		if o.groups[g.ID] == nil {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

// updateMinVersion moves the floor with the trainer, also back to an older version.
func (o *Owner) updateMinVersion(version int64) { o.minVersion = version - o.limits.MaxStaleness }

// Fresh reports whether the sample may be handed to a trainer at version.
func (o *Owner) Fresh(s *Sample, version int64) bool {
	return version-s.OldestVersion() <= o.limits.MaxStaleness
}

func (o *Owner) resetStale(g *groupState, version int64) {
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
	case number > o.deliveries.Number:
		return false, fmt.Errorf("batch %d was acknowledged, the last is %d: %w", number, o.deliveries.Number, ErrBatchMismatch)
	case number == o.deliveries.Number && o.deliveries.Open():
		return true, nil
	default:
		return false, nil
	}
}
