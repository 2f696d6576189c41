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
)

// suspectAfter missed heartbeats a peer is no longer asked for new work.
const suspectAfter = 3

// Peer is an instance as the list and its heartbeats describe it.
type Peer struct {
	ID          string
	Incarnation int64 // start of the process, Unix nanoseconds
	DataCentre  string
	Address     string // drpc listener, IP and port
	Operator    string // operator listener's URL
	Leaving     bool
}

// Status is a peer with what this instance knows of its health.
type Status struct {
	Peer
	LastHeard time.Duration // reading of the local clock; zero: never
	Offset    int64         // log offset that its last heartbeat named
	Suspect   bool
}

// Table is the membership view of one instance.
type Table struct {
	self      Peer
	heartbeat time.Duration
	peers     map[string]*Status
}

// NewTable returns a view that holds self alone.
func NewTable(self Peer, heartbeat time.Duration) *Table {
	return &Table{self: self, heartbeat: heartbeat, peers: map[string]*Status{}}
}

// SetHeartbeat changes the interval that suspicion counts in.
func (t *Table) SetHeartbeat(d time.Duration) { t.heartbeat = d }

// SetLeaving marks this instance as leaving in what others are told.
func (t *Table) SetLeaving() { t.self.Leaving = true }

// Self returns this instance.
func (t *Table) Self() Peer { return t.self }

// List replaces the set of known peers by the platform's list, read at now. A
// newly listed peer gets the full grace period before it is suspected.
func (t *Table) List(now time.Duration, listed []Peer) {
	seen := make(map[string]bool, len(listed))
	for _, p := range listed {
		if p.ID == t.self.ID {
			continue
		}
		seen[p.ID] = true
		t.merge(now, p)
	}
	for id := range t.peers {
		if !seen[id] {
			delete(t.peers, id)
		}
	}
}

func (t *Table) merge(now time.Duration, p Peer) {
	cur, known := t.peers[p.ID]
	if !known {
		t.peers[p.ID] = &Status{Peer: p, LastHeard: now}
		return
	}
	// The list lags: a heartbeat's news of leaving and incarnation stands.
	leaving := cur.Leaving || p.Leaving
	incarnation := max(cur.Incarnation, p.Incarnation)
	cur.Peer = p
	cur.Leaving, cur.Incarnation = leaving, incarnation
}

// Heard notes a heartbeat read at now.
func (t *Table) Heard(now time.Duration, p Peer, offset int64) {
	if p.ID == t.self.ID {
		return
	}
	cur, known := t.peers[p.ID]
	if known && p.Incarnation < cur.Incarnation {
		return
	}
	t.peers[p.ID] = &Status{Peer: p, LastHeard: now, Offset: offset}
}

// Peers returns all known peers by id, with suspicion as of now.
func (t *Table) Peers(now time.Duration) []Status {
	out := make([]Status, 0, len(t.peers))
	for _, s := range t.peers {
		status := *s
		status.Suspect = now-s.LastHeard > suspectAfter*t.heartbeat
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Owners returns the ids of the instances that may own queues, sorted: this
// one and all peers that are neither suspect nor leaving.
func (t *Table) Owners(now time.Duration) []string {
	var ids []string
	if !t.self.Leaving {
		ids = append(ids, t.self.ID)
	}
	for _, s := range t.Peers(now) {
		if !s.Suspect && !s.Leaving {
			ids = append(ids, s.ID)
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
		score := mix(keyHash ^ xxhash.Sum64String(id))
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// mix is the finalizer of splitmix64; it spreads the combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Hash spreads an id over the whole range.
func Hash(id string) uint64 { return mix(xxhash.Sum64String(id)) }

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
		all[i] = scored{id, mix(keyHash ^ xxhash.Sum64String(id))}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].score > all[j].score })
	out := make([]string, min(n, len(all)))
	for i := range out {
		out[i] = all[i].id
	}
	return out
}

// Place returns how many of ids have a higher rendezvous hash for key than id.
func Place(key, id string, ids []string) int {
	keyHash := xxhash.Sum64String(key)
	own := mix(keyHash ^ xxhash.Sum64String(id))
	place := 0
	for _, other := range ids {
		if mix(keyHash^xxhash.Sum64String(other)) > own {
			place++
		}
	}
	return place
}
