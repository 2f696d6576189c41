package control

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// checkpointsPerRetention is the number of checkpoints written within the log's
	// retention, so that the newest one is well inside the retained part of the log.
	checkpointsPerRetention = 8
	// checkpointTurns divides the interval between two checkpoints into turns. The
	// instances are ranked; the first writes a checkpoint as soon as it is due, and each
	// further one writes it one turn later than the one before, if it is not written by
	// then.
	checkpointTurns = 8
)

// checkpoint queues a checkpoint if one is due and it is this instance's turn. A
// checkpoint is a pure function of the log, so that any instance can write it.
func (l *Loop) checkpoint(now time.Duration) {
	cfg := l.state.Config()
	if cfg == nil || l.releasing || l.state.Applied <= l.state.Checkpoint.EndOffset {
		return
	}
	if l.state.Checkpoint.Offset != l.checkpointOffset {
		l.checkpointOffset, l.checkpointChangedAt = l.state.Checkpoint.Offset, now
	}
	recordInterval := int64(cfg.Control.LogKeep / checkpointsPerRetention)
	timeInterval := cfg.Control.LogKeepFor / checkpointsPerRetention
	recordsSince := int64(l.state.Applied - max(l.state.Checkpoint.Offset, l.checkpointSent))
	timeSince := now - max(l.checkpointChangedAt, l.checkpointSentAt)
	if recordsSince < recordInterval && timeSince < timeInterval {
		return
	}
	turn := int64(l.checkpointTurn())
	if recordsSince < recordInterval+turn*recordInterval/checkpointTurns && timeSince < timeInterval+time.Duration(turn)*timeInterval/checkpointTurns {
		return
	}
	l.writeCheckpoint(now, timeInterval)
}

// checkpointTurn returns this instance's rank among the writers of the next checkpoint, by
// rendezvous hash: the number of instances whose turn is earlier.
func (l *Loop) checkpointTurn() int {
	owners := l.members.Owners(l.Clock.Now())
	for i, id := range member.Rank(fmt.Sprint("checkpoint/", l.state.Checkpoint.Offset), owners, len(owners)) {
		if id == l.Self.ID {
			return i
		}
	}
	return len(owners)
}

// writeCheckpoint queues a checkpoint of the state. The entry expires after one interval.
func (l *Loop) writeCheckpoint(now, timeInterval time.Duration) {
	l.checkpointSent, l.checkpointSentAt = l.state.Applied, now
	parts, err := l.state.CheckpointParts()
	if err != nil {
		l.Events.Record("checkpoint failed", events.F("error", err.Error()))
		return
	}
	e := &entry{class: classUsage, expiresAt: now + timeInterval}
	for i, part := range parts {
		id := newID()
		if i == 0 {
			e.id = id
		}
		data, err := l.encode(id, l.state.Applied, 0, part)
		if err != nil {
			l.Events.Record("checkpoint failed", events.F("error", err.Error()))
			return
		}
		e.data = append(e.data, data)
	}
	if err := l.appender.submit(e); err != nil {
		l.Events.Record("checkpoint failed", events.F("error", err.Error()))
		return
	}
	l.Events.Record("checkpoint written", events.F("of", fmt.Sprint(l.state.Applied)), events.F("parts", fmt.Sprint(len(parts))))
}

// digestComparison holds the results of comparing this instance's digest of the log's hash
// chain with the peers' digests at the same offset.
type digestComparison struct {
	pending map[string]reportedDigest // by peer; digests at offsets that this instance has not applied yet
	matches map[string]bool           // by peer; whether the digests were equal at the latest comparison
}

// reportedDigest is the log digest in a peer's heartbeat.
type reportedDigest struct {
	offset record.Offset
	chain  [digestBytes]byte
}

func newDigestComparison() *digestComparison {
	return &digestComparison{pending: map[string]reportedDigest{}, matches: map[string]bool{}}
}

func (a *digestComparison) reset() { *a = *newDigestComparison() }

// lacksMajority reports whether at least half of the instances have another digest than
// this one. If two instances differ, both stop, since neither has a majority. expected are
// the peers whose heartbeats this instance expects; those that have not been compared yet
// count as agreeing.
func (a *digestComparison) lacksMajority(expected []string) bool {
	count := len(a.matches)
	for _, id := range expected {
		if _, compared := a.matches[id]; !compared {
			count++
		}
	}
	differ := 0
	for _, agrees := range a.matches {
		if !agrees {
			differ++
		}
	}
	return differ > 0 && 2*differ >= count+1
}

// heartbeatSenders returns the peers whose heartbeats this instance expects: those of its
// data centre that are not suspect.
func (l *Loop) heartbeatSenders() []string {
	var ids []string
	for _, p := range l.members.Peers(l.Clock.Now()) {
		if !p.Suspect && p.DataCentre == l.Self.DataCentre {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// compareDigest compares a peer's digest with this instance's at the same offset. A digest
// at an offset that this instance has not applied yet is compared later. The instance
// halts if a digest differs and no majority of the instances agrees with it.
func (l *Loop) compareDigest(id string, reported reportedDigest) {
	if reported.offset == 0 || reported.chain == ([digestBytes]byte{}) {
		return
	}
	if reported.offset > l.state.Applied {
		if _, pending := l.digests.pending[id]; !pending {
			l.digests.pending[id] = reported
		}
		return
	}
	chain, kept := l.recent.chainAt(reported.offset)
	if !kept {
		return
	}
	agrees := digestOf(chain) == reported.chain
	agreedBefore, compared := l.digests.matches[id]
	l.digests.matches[id] = agrees
	if !agrees && (!compared || agreedBefore) {
		l.Events.Record("digest differs", events.F("peer", id), events.F("at", fmt.Sprint(reported.offset)))
	}
	if !agrees && l.digests.lacksMajority(l.heartbeatSenders()) {
		l.halt(haltDiverged, fmt.Errorf("peer %q has a different digest at offset %d", id, reported.offset))
	}
}

// comparePendingDigests compares the pending digests whose offset has been applied.
func (l *Loop) comparePendingDigests() {
	for id, reported := range l.digests.pending {
		if reported.offset <= l.state.Applied {
			delete(l.digests.pending, id)
			l.compareDigest(id, reported)
		}
	}
}

// removeUnlisted removes the results of peers that are no longer listed.
func (a *digestComparison) removeUnlisted(listed map[string]bool) {
	for id := range a.matches {
		if !listed[id] {
			delete(a.matches, id)
			delete(a.pending, id)
		}
	}
}
