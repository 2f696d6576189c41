package sample

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Request is a trainer's request for the next batch.
type Request struct {
	Version   int64 // the trainer's weight version
	MaxGroups int   // maximum number of groups in the batch
	MinGroups int   // minimum number while samples are still generated; capped at MaxGroups
	// WaitForExpiring holds the batch back while a running sample is exactly at the
	// staleness limit: that sample would be too stale for the trainer's next version.
	// Without it, long samples would be discarded and regenerated at every step.
	WaitForExpiring bool
}

// Propose returns the next batch to record in the log, if none is open and enough complete
// groups are fresh for the request. The groups closest to the staleness limit come first.
// Incomplete groups are left for a later batch, unless r.WaitForExpiring holds the batch
// back for one of them.
func (o *Owner) Propose(r Request) (record.Batch, bool) {
	o.updateMinVersion(r.Version)
	if o.deliveries.Open() || r.MaxGroups < 1 {
		return record.Batch{}, false
	}
	var complete []*groupState
	for _, id := range o.groupIDs {
		g := o.groups[id]
		o.resetStale(g, r.Version)
		if g.finishedCount == g.Size {
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
		if g.states[i] == finished {
			oldest = min(oldest, g.samples[i].OldestVersion())
		}
	}
	return oldest
}

// atStalenessLimit reports whether a running sample is fresh at version but would not be at
// the next version.
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

// hasUnfinished reports whether a group that may be generated now has unfinished samples.
func (o *Owner) hasUnfinished() bool {
	for _, g := range o.startable() {
		if g.finishedCount < g.Size {
			return true
		}
	}
	return false
}

// OpenBatch returns the open batch for a trainer at version, or nil while none is open or some
// of its samples are still to be generated. Samples that have become stale since the batch
// was first sent are generated again under the same ids: a request without an
// acknowledgement means that the trainer has not consumed the batch, and the trainer
// deduplicates by number, so the contents may change. The error is a *GroupsUnknownError.
func (o *Owner) OpenBatch(version int64) (*Batch, error) {
	o.updateMinVersion(version)
	if !o.deliveries.Open() {
		return nil, nil
	}
	if missing := o.missingGroups(); len(missing) > 0 {
		return nil, &GroupsUnknownError{o.deliveries.Number, missing}
	}
	b := &Batch{Number: o.deliveries.Number}
	complete := true
	for _, recorded := range o.deliveries.Groups {
		g := o.groups[recorded.ID]
		o.resetStale(g, version)
		complete = complete && g.finishedCount == g.Size
		b.Samples = append(b.Samples, g.samples...)
	}
	if !complete {
		return nil, nil
	}
	return b, nil
}

// OpenSamples returns the finished samples of the open batch that the owner holds.
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
			if g.states[i] == finished {
				out = append(out, g.samples[i])
			}
		}
	}
	return out
}

// missingGroups returns the ids of the open batch's groups that the owner does not have.
func (o *Owner) missingGroups() []string {
	var ids []string
	for _, g := range o.deliveries.Groups {
		if o.groups[g.ID] == nil {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

// updateMinVersion sets the minimum version from the version of the trainer's latest request.
// It may decrease: a trainer may restore a checkpoint.
func (o *Owner) updateMinVersion(version int64) { o.minVersion = version - o.limits.MaxStaleness }

// Fresh reports whether the sample is within the staleness limit for a trainer at version.
func (o *Owner) Fresh(s *Sample, version int64) bool {
	return version-s.OldestVersion() <= o.limits.MaxStaleness
}

// resetStale discards the group's samples that are too stale at version, so that they are
// generated again.
func (o *Owner) resetStale(g *groupState, version int64) {
	for i := range g.states {
		if g.states[i] == finished && !o.Fresh(&g.samples[i], version) {
			g.states[i] = waiting
			g.samples[i] = Sample{}
			g.finishedCount--
		}
	}
}

// Acknowledge checks the number of a batch that the trainer has acknowledged. needed reports
// whether the acknowledgement must still be recorded in the log. It fails with
// ErrBatchMismatch if the number is higher than that of the latest batch.
func (o *Owner) Acknowledge(number int64) (needed bool, err error) {
	switch {
	case number > o.deliveries.Number:
		return false, fmt.Errorf("batch %d was acknowledged, the last is %d: %w", number, o.deliveries.Number, ErrBatchMismatch)
	case number == o.deliveries.Number && o.deliveries.Open():
		return true, nil
	default:
		return false, nil
	}
}
