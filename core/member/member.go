// Package member keeps an instance's view of its peers and decides which
// instance owns each target's admission queue.
//
// Ownership serves performance only. Two owners of one target for a moment
// overcommit it and break no promise.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

const (
	// suspectAfter missed heartbeats a peer is no longer asked for new work.
	suspectAfter = 3
	// trustAfter heartbeats a suspect peer is asked again, so that a peer on a bad
	// link does not take and lose its queues by turns.
	trustAfter = 3
)

// Peer is an instance as the list and its heartbeats describe it.
type Peer struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"` // start of the process, Unix nanoseconds
	DataCentre  string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"` // drpc listener, IP and port
	Operator    string `cbor:"5,keyasint"` // operator listener's URL
	Leaving     bool   `cbor:"6,keyasint,omitempty"`
}

// Status is a peer with what this instance knows of its health.
type Status struct {
	Peer
	LastHeartbeat time.Duration // reading of the local clock; zero: never
	Offset        int64         // log offset that its last heartbeat named
	Suspect       bool

	listed                 bool // the platform's list has named it
	heartbeatsSinceSuspect int  // heartbeats since it became suspect
}

// Table is the membership view of one instance.
type Table struct {
	self          Peer
	heartbeat     time.Duration
	peers         map[string]*Status
	version       uint64            // changes with all but LastHeard and Offset
	remoteMembers map[string][]Peer // members that the last summaries named, by data centre
}

// NewTable returns a view that holds self alone.
func NewTable(self Peer, heartbeat time.Duration) *Table {
	return &Table{self: self, heartbeat: heartbeat, peers: map[string]*Status{}, remoteMembers: map[string][]Peer{}}
}

// SetHeartbeat changes the interval that suspicion counts in.
func (t *Table) SetHeartbeat(d time.Duration) { t.heartbeat = d }

// SetLeaving marks this instance as leaving in what others are told.
func (t *Table) SetLeaving() {
	t.self.Leaving = true
	t.version++
}

// Self returns this instance.
func (t *Table) Self() Peer { return t.self }

// ApplyList takes the platform's list, read at now. A newly listed peer gets the full
// grace period before it is suspected. A peer that the list names no more is
// gone; one that it does not name yet stays while it is heard.
func (t *Table) ApplyList(now time.Duration, listed []Peer) {
	seen := make(map[string]bool, len(listed))
	for _, p := range listed {
		if p.ID == t.self.ID {
			continue
		}
		seen[p.ID] = true
		t.merge(now, p)
	}
	for id, s := range t.peers {
		if !seen[id] && (s.listed || t.isSuspect(now, s)) {
			delete(t.peers, id)
			t.version++
		}
	}
}

func (t *Table) merge(now time.Duration, p Peer) {
	cur, known := t.peers[p.ID]
	if !known {
		t.peers[p.ID] = &Status{Peer: p, LastHeartbeat: now, listed: true}
		t.version++
		return
	}
	cur.listed = true
	if p.Incarnation < cur.Incarnation {
		return // the list lags behind a restart that was heard of
	}
	// The list lags: a heartbeat's news of leaving stands.
	p.Leaving = p.Leaving || cur.Leaving && p.Incarnation == cur.Incarnation
	t.replace(cur, p)
}

func (t *Table) replace(cur *Status, p Peer) {
	if cur.Peer == p {
		return
	}
	cur.Peer = p
	t.version++
}

// ApplyHeartbeat notes a heartbeat read at now. A message of an earlier incarnation
// changes nothing.
func (t *Table) ApplyHeartbeat(now time.Duration, p Peer, offset int64) {
	if p.ID == t.self.ID {
		return
	}
	cur, known := t.peers[p.ID]
	if !known {
		t.peers[p.ID] = &Status{Peer: p, LastHeartbeat: now, Offset: offset}
		t.version++
		return
	}
	if p.Incarnation < cur.Incarnation {
		return
	}
	t.replace(cur, p)
	t.refresh(now, cur, offset)
}

// RefreshHeartbeat notes a heartbeat that names its sender only. It reports whether the
// sender's incarnation is known.
func (t *Table) RefreshHeartbeat(now time.Duration, id string, incarnation, offset int64) bool {
	cur, known := t.peers[id]
	if !known || cur.Incarnation != incarnation {
		return false
	}
	t.refresh(now, cur, offset)
	return true
}

func (t *Table) refresh(now time.Duration, cur *Status, offset int64) {
	if t.isSuspect(now, cur) {
		t.setSuspect(cur, true)
		cur.heartbeatsSinceSuspect++
	}
	cur.LastHeartbeat, cur.Offset = now, max(cur.Offset, offset)
	if cur.Suspect && cur.heartbeatsSinceSuspect >= trustAfter {
		t.setSuspect(cur, false)
	}
}

// isSuspect reports whether the peer has been silent for too long, or has not
// been heard often enough since.
func (t *Table) isSuspect(now time.Duration, s *Status) bool {
	return s.Suspect || now-s.LastHeartbeat > suspectAfter*t.heartbeat
}

func (t *Table) setSuspect(s *Status, suspect bool) {
	if s.Suspect == suspect {
		return
	}
	s.Suspect, s.heartbeatsSinceSuspect = suspect, 0
	t.version++
}

// Version notes the peers that have been silent for too long and returns a
// number that changes whenever the peers, or what is said of them besides
// LastHeard and Offset, have changed.
func (t *Table) Version(now time.Duration) uint64 {
	for _, s := range t.peers {
		if !s.Suspect && t.isSuspect(now, s) {
			t.setSuspect(s, true)
		}
		if s.Suspect && now-s.LastHeartbeat > suspectAfter*t.heartbeat {
			s.heartbeatsSinceSuspect = 0
		}
	}
	return t.version
}

// Peers returns all known peers by id, with suspicion as of now.
func (t *Table) Peers(now time.Duration) []Status {
	out := make([]Status, 0, len(t.peers))
	for _, s := range t.peers {
		status := *s
		status.Suspect = t.isSuspect(now, s)
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Owners returns the ids of the instances that may own queues, sorted: this
// one and all peers that are neither suspect nor leaving.
func (t *Table) Owners(now time.Duration) []string { return OwnersOf(t.self, t.Peers(now)) }

// OwnersOf returns the ids of those among self and peers that may own queues,
// sorted.
func OwnersOf(self Peer, peers []Status) []string {
	ids := make([]string, 0, len(peers)+1)
	if !self.Leaving {
		ids = append(ids, self.ID)
	}
	for i := range peers {
		if !peers[i].Suspect && !peers[i].Leaving {
			ids = append(ids, peers[i].ID)
		}
	}
	sort.Strings(ids)
	return ids
}

// Owner returns the instance that owns key: the highest rendezvous hash. When
// an instance leaves, only the keys that it owned move, spread over the others.
func Owner(key string, owners []string) string {
	var best string
	var bestScore uint64
	keyHash := xxhash.Sum64String(key)
	for _, id := range owners {
		score := hash.Mix(keyHash ^ xxhash.Sum64String(id))
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// HashID spreads an id over the whole range.
func HashID(id string) uint64 { return hash.Mix(xxhash.Sum64String(id)) }

// Rank returns the n ids with the highest rendezvous hash for key, highest
// first. Its first is Owner's choice.
func Rank(key string, ids []string, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	keyHash := xxhash.Sum64String(key)
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, hash.Mix(keyHash ^ xxhash.Sum64String(id))}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].score > all[j].score })
	out := make([]string, min(n, len(all)))
	for i := range out {
		out[i] = all[i].id
	}
	return out
}

// Position returns how many of ids have a higher rendezvous hash for key than id.
func Position(key, id string, ids []string) int {
	keyHash := xxhash.Sum64String(key)
	own := hash.Mix(keyHash ^ xxhash.Sum64String(id))
	place := 0
	for _, other := range ids {
		if hash.Mix(keyHash^xxhash.Sum64String(other)) > own {
			place++
		}
	}
	return place
}
