package directory

import (
	"cmp"
	"time"
)

const (
	// rivalHeartbeats and rivalPeriod state for how long earlier entries go on while the stored one
	// is not written again. A start that has ended may leave some writes that arrive late; one that
	// runs writes within a heartbeat, 1.2 s.
	rivalHeartbeats = 3
	rivalPeriod     = 2 * time.Second
)

// rival is the latest series of entries under the id of a target that are earlier than its stored
// one: heartbeats of one start, each later than the one before.
type rival struct {
	latest     Target
	heartbeats int           // without repeats
	since      time.Duration // arrival of the first
}

// compareHeartbeats returns a negative number if the entry a was written before b, a positive one
// if it was written after b, by the start and the heartbeats that they state.
func compareHeartbeats(a, b Target) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.HeartbeatSeq, b.HeartbeatSeq))
}

// noteRival notes an entry that is earlier than the stored one. It reports whether these entries
// have gone on for so long that they are the target's own.
func (d *Directory) noteRival(now time.Duration, t Target) bool {
	r, found := d.rivals[t.ID]
	if follows := found && t.StartedAt == r.latest.StartedAt && t.HeartbeatSeq >= r.latest.HeartbeatSeq; !follows {
		r = rival{latest: t, since: now}
	}
	if r.heartbeats == 0 || t.HeartbeatSeq > r.latest.HeartbeatSeq {
		r.latest, r.heartbeats = t, r.heartbeats+1
	}
	d.rivals[t.ID] = r
	return r.heartbeats >= rivalHeartbeats && now-r.since >= rivalPeriod
}
