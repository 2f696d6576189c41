// Package member keeps an instance's view of its peers and determines which instance
// owns each target's admission queue, by rendezvous hashing.
//
// The view is built from the platform's list of instances, heartbeats and summaries of
// other data centres, which the caller passes in with the time. Ownership serves
// performance only: no guarantee depends on a target having a single owner. While the
// views of two instances differ, both may act as its owner and together exceed its
// concurrency. The package performs no I/O and is not safe for concurrent use.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

const (
	// missedBeforeSuspect is the number of heartbeat intervals without a heartbeat after
	// which a peer is suspect and gets no new work.
	missedBeforeSuspect = 3
	// heartbeatsBeforeTrust is the number of heartbeats after which a suspect peer gets
	// work again. With a single one, a peer on a bad link would acquire and lose its
	// queues repeatedly.
	heartbeatsBeforeTrust = 3
)

// Peer describes an instance, as in the platform's list and in its heartbeats.
type Peer struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"` // start of the process, Unix nanoseconds
	DataCentre  string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`           // drpc listener, IP and port
	Operator    string `cbor:"5,keyasint"`           // URL of the operator listener
	Leaving     bool   `cbor:"6,keyasint,omitempty"` // is about to stop; owns no queues
}

// Status is a peer with its health as observed by this instance.
type Status struct {
	Peer
	LastHeartbeat time.Duration // when received, by the local clock; none yet: when first listed
	Offset        int64         // highest log offset that its heartbeats reported
	Suspect       bool

	listed                 bool // contained in some list of the platform so far
	heartbeatsSinceSuspect int  // heartbeats received since it became suspect
}

// Table is the membership view of one instance.
type Table struct {
	self          Peer
	heartbeat     time.Duration
	peers         map[string]*Status
	version       uint64            // changes with everything but LastHeartbeat and Offset
	remoteMembers map[string][]Peer // by data centre: members of the last summary with any
}

// NewTable returns a view without peers. heartbeat is the interval between the heartbeats
// of a peer.
func NewTable(self Peer, heartbeat time.Duration) *Table {
	return &Table{self: self, heartbeat: heartbeat, peers: map[string]*Status{}, remoteMembers: map[string][]Peer{}}
}

// SetHeartbeat changes the heartbeat interval.
func (t *Table) SetHeartbeat(d time.Duration) { t.heartbeat = d }

// SetLeaving marks this instance as leaving in its heartbeats and summaries.
func (t *Table) SetLeaving() {
	t.self.Leaving = true
	t.version++
}

// Self returns this instance.
func (t *Table) Self() Peer { return t.self }

// ApplyList applies the platform's list, read at now. The first listing of a new peer
// counts as a heartbeat, so the peer becomes suspect only after the full timeout. An
// unlisted peer is removed if it was listed before or is suspect; one that was never
// listed stays while it sends heartbeats.
func (t *Table) ApplyList(now time.Duration, listed []Peer) {
	inList := make(map[string]bool, len(listed))
	for _, p := range listed {
		if p.ID == t.self.ID {
			continue
		}
		inList[p.ID] = true
		t.applyListed(now, p)
	}
	for id, s := range t.peers {
		if !inList[id] && (s.listed || t.isSuspect(now, s)) {
			delete(t.peers, id)
			t.version++
		}
	}
}

// applyListed adds or updates a listed peer.
func (t *Table) applyListed(now time.Duration, p Peer) {
	cur, exists := t.peers[p.ID]
	if !exists {
		t.peers[p.ID] = &Status{Peer: p, LastHeartbeat: now, listed: true}
		t.version++
		return
	}
	cur.listed = true
	if p.Incarnation < cur.Incarnation {
		return // the list is older than a restart that was observed
	}
	// The list may lag: leaving, as reported by a heartbeat of the same incarnation,
	// overrides it.
	p.Leaving = p.Leaving || cur.Leaving && p.Incarnation == cur.Incarnation
	t.setPeer(cur, p)
}

// setPeer replaces the description of a peer if it differs.
func (t *Table) setPeer(cur *Status, p Peer) {
	if cur.Peer == p {
		return
	}
	cur.Peer = p
	t.version++
}

// ApplyHeartbeat applies a heartbeat received at now, and adds its sender if it is new.
// A heartbeat of an earlier incarnation is ignored.
func (t *Table) ApplyHeartbeat(now time.Duration, p Peer, offset int64) {
	if p.ID == t.self.ID {
		return
	}
	cur, exists := t.peers[p.ID]
	if !exists {
		t.peers[p.ID] = &Status{Peer: p, LastHeartbeat: now, Offset: offset}
		t.version++
		return
	}
	if p.Incarnation < cur.Incarnation {
		return
	}
	t.setPeer(cur, p)
	t.refresh(now, cur, offset)
}

// RefreshHeartbeat applies a heartbeat that describes its sender by id and incarnation
// only. It returns false and changes nothing if the view doesn't hold this incarnation.
func (t *Table) RefreshHeartbeat(now time.Duration, id string, incarnation, offset int64) bool {
	cur, exists := t.peers[id]
	if !exists || cur.Incarnation != incarnation {
		return false
	}
	t.refresh(now, cur, offset)
	return true
}

// refresh records a heartbeat of a peer received at now. After heartbeatsBeforeTrust of
// them a suspect peer is trusted again.
func (t *Table) refresh(now time.Duration, cur *Status, offset int64) {
	if t.isSuspect(now, cur) {
		t.setSuspect(cur, true)
		cur.heartbeatsSinceSuspect++
	}
	cur.LastHeartbeat, cur.Offset = now, max(cur.Offset, offset)
	if cur.Suspect && cur.heartbeatsSinceSuspect >= heartbeatsBeforeTrust {
		t.setSuspect(cur, false)
	}
}

// isSuspect reports whether the peer has sent no heartbeat for more than
// missedBeforeSuspect intervals, or has become suspect and sent fewer than
// heartbeatsBeforeTrust since.
func (t *Table) isSuspect(now time.Duration, s *Status) bool {
	return s.Suspect || now-s.LastHeartbeat > missedBeforeSuspect*t.heartbeat
}

// setSuspect changes whether the peer is suspect, and then restarts the count of its
// heartbeats.
func (t *Table) setSuspect(s *Status, suspect bool) {
	if s.Suspect == suspect {
		return
	}
	s.Suspect, s.heartbeatsSinceSuspect = suspect, 0
	t.version++
}

// Version updates which peers are suspect and returns the version of the view. A peer
// without a heartbeat for more than missedBeforeSuspect intervals becomes suspect, and
// its earlier heartbeats no longer count towards heartbeatsBeforeTrust. The version
// changes with the set of peers and with every exported field of their statuses but
// LastHeartbeat and Offset.
func (t *Table) Version(now time.Duration) uint64 {
	for _, s := range t.peers {
		if !s.Suspect && t.isSuspect(now, s) {
			t.setSuspect(s, true)
		}
		if s.Suspect && now-s.LastHeartbeat > missedBeforeSuspect*t.heartbeat {
			s.heartbeatsSinceSuspect = 0
		}
	}
	return t.version
}

// Peers returns all peers, sorted by id, with Suspect as of now.
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

// Owners returns the sorted ids of the instances that may own queues: this one, unless
// it is leaving, and all peers that are neither suspect nor leaving.
func (t *Table) Owners(now time.Duration) []string { return OwnersOf(t.self, t.Peers(now)) }

// OwnersOf returns the sorted ids of those among self and peers that may own queues.
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

// Owner returns the id among owners with the highest rendezvous hash for key, or "" without
// owners. If an instance is removed, only the keys that it owned change their owner, and
// they are spread over the others.
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

// HashID returns a hash of the id, uniform over the whole range of uint64.
func HashID(id string) uint64 { return hash.Mix(xxhash.Sum64String(id)) }

// Rank returns up to n ids with the highest rendezvous hash for key, highest first. The
// first one is the result of Owner.
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
	ownScore := hash.Mix(keyHash ^ xxhash.Sum64String(id))
	position := 0
	for _, other := range ids {
		if hash.Mix(keyHash^xxhash.Sum64String(other)) > ownScore {
			position++
		}
	}
	return position
}
