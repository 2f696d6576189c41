package control

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// checkpointsPerRetention checkpoints fit into what the log keeps, so that the
	// newest is well within the retention.
	checkpointsPerRetention = 8
	// checkpointTurns is how many instances can take their turn, one after the
	// other, within one interval while those before them do not write.
	checkpointTurns = 8
)

// checkpoint appends a checkpoint when it is this instance's turn. A checkpoint
// is a pure function of the log, so that it does not matter who writes it.
func (l *Loop) checkpoint(now time.Duration) {
	cfg := l.state.Config()
	if cfg == nil || l.releasing || l.state.Applied <= l.state.Checkpoint.EndOffset {
		return
	}
	if l.state.Checkpoint.Offset != l.checkpointSeen {
		l.checkpointSeen, l.checkpointAt = l.state.Checkpoint.Offset, now
	}
	records := int64(cfg.Control.LogKeep / checkpointsPerRetention)
	span := cfg.Control.LogKeepFor / checkpointsPerRetention
	since := int64(l.state.Applied - max(l.state.Checkpoint.Offset, l.checkpointSent))
	waited := now - max(l.checkpointAt, l.checkpointSentAt)
	if since < records && waited < span {
		return
	}
	turn := int64(l.checkpointTurn())
	if since < records+turn*records/checkpointTurns && waited < span+time.Duration(turn)*span/checkpointTurns {
		return
	}
	l.writeCheckpoint(now, span)
}

// checkpointTurn returns how many instances go before this one.
func (l *Loop) checkpointTurn() int {
	owners := l.members.Owners(l.Clock.Now())
	for i, id := range member.Rank(fmt.Sprint("checkpoint/", l.state.Checkpoint.Offset), owners, len(owners)) {
		if id == l.Self.ID {
			return i
		}
	}
	return len(owners)
}

func (l *Loop) writeCheckpoint(now, span time.Duration) {
	l.checkpointSent, l.checkpointSentAt = l.state.Applied, now
	parts, err := l.state.CheckpointParts()
	if err != nil {
		l.Events.Record("checkpoint failed", events.F("error", err.Error()))
		return
	}
	e := &entry{class: classUsage, expiresAt: now + span}
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

// digestComparison compares the digest of this instance's log prefix with its peers'.
type digestComparison struct {
	pending map[string]reportedDigest // digests of offsets that this instance has not reached
	matches map[string]bool           // latest comparison by peer
}

// reportedDigest is what a peer's heartbeat says of the log.
type reportedDigest struct {
	offset record.Offset
	chain  [digestBytes]byte
}

func newAgreement() *digestComparison {
	return &digestComparison{pending: map[string]reportedDigest{}, matches: map[string]bool{}}
}

func (a *digestComparison) reset() { *a = *newAgreement() }

// lacksMajority reports whether at least half of the instances that count differ from
// this one. Of two instances that differ, both stop. live are the peers whose
// heartbeats this instance expects, also those not compared yet.
func (a *digestComparison) lacksMajority(live []string) bool {
	count := len(a.matches)
	for _, id := range live {
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

// heartbeatSenders returns the peers that send their heartbeats to this instance.
func (l *Loop) heartbeatSenders() []string {
	var ids []string
	for _, p := range l.members.Peers(l.Clock.Now()) {
		if !p.Suspect && p.DataCentre == l.Self.DataCentre {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// compareDigest checks a peer's digest, at once or when its offset has been folded.
func (l *Loop) compareDigest(id string, c reportedDigest) {
	if c.offset == 0 || c.chain == ([digestBytes]byte{}) {
		return
	}
	if c.offset > l.state.Applied {
		if _, waits := l.digests.pending[id]; !waits {
			l.digests.pending[id] = c
		}
		return
	}
	chain, kept := l.recent.chainAt(c.offset)
	if !kept {
		return
	}
	agrees := digestOf(chain) == c.chain
	before, known := l.digests.matches[id]
	l.digests.matches[id] = agrees
	if !agrees && (!known || before) {
		l.Events.Record("digest differs", events.F("peer", id), events.F("at", fmt.Sprint(c.offset)))
	}
	if !agrees && l.digests.lacksMajority(l.heartbeatSenders()) {
		l.halt(haltDiverged, fmt.Errorf("peer %q has another digest at offset %d", id, c.offset))
	}
}

// comparePendingDigests checks the digests that waited for the offset just folded.
func (l *Loop) comparePendingDigests() {
	for id, c := range l.digests.pending {
		if c.offset <= l.state.Applied {
			delete(l.digests.pending, id)
			l.compareDigest(id, c)
		}
	}
}

// removeUnlisted drops comparisons with peers that are no longer listed.
func (a *digestComparison) removeUnlisted(listed map[string]bool) {
	for id := range a.matches {
		if !listed[id] {
			delete(a.matches, id)
			delete(a.pending, id)
		}
	}
}
