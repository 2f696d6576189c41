// Package route chooses the target of a request from an immutable table.
//
// A request with a prompt prefix prefers the target that its prefix hashes to, so
// that all instances send a session where its prefix is cached without telling
// each other. It goes to the less loaded of two random targets instead where the
// preferred one is loaded more, by a part of its capacity.
package route

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// Target is a running target as routing sees it.
type Target struct {
	ID          string
	Service     string
	DataCentre  string
	URL         string
	Cheap       bool
	Unavailable bool
	Owner       string // instance that owns its admission queue
	Version     int64  // weight version that the engine reported; zero: unknown
	Load        int    // requests granted and waiting, as last reported
	Capacity    int    // concurrency
}

// ErrNoTarget is returned when a service has no target that may serve.
var ErrNoTarget = errors.New("no target available")

// Table holds the targets of every service. It is immutable once published.
type Table struct {
	services map[string]*service
}

// service holds a service's targets and a ring of the hashes of their ids.
type service struct {
	targets []Target
	ring    []ringPoint // sorted by hash
}

type ringPoint struct {
	hash  uint64
	index int // of the target
}

// NewTable groups targets by service.
func NewTable(targets []Target) *Table { return (&Table{}).Rebuild(targets) }

// Rebuild returns a table of the targets that shares what t has of them already.
// The targets should come in the same order each time.
func (t *Table) Rebuild(targets []Target) *Table {
	counts := map[string]int{}
	for i := range targets {
		counts[targets[i].Service]++
	}
	next := &Table{services: make(map[string]*service, len(counts))}
	for name, n := range counts {
		next.services[name] = &service{targets: make([]Target, 0, n)}
	}
	for i := range targets {
		s := next.services[targets[i].Service]
		s.targets = append(s.targets, targets[i])
	}
	for name, s := range next.services {
		if old := t.services[name]; old != nil && sameIDs(old.targets, s.targets) {
			s.ring = old.ring
			continue
		}
		s.ring = newRing(s.targets)
	}
	return next
}

func sameIDs(a, b []Target) bool {
	return slices.EqualFunc(a, b, func(x, y Target) bool { return x.ID == y.ID })
}

func newRing(targets []Target) []ringPoint {
	ring := make([]ringPoint, len(targets))
	for i := range targets {
		ring[i] = ringPoint{hash.Mix(xxhash.Sum64String(targets[i].ID)), i}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// Targets returns the service's targets. The slice must not be changed.
func (t *Table) Targets(name string) []Target {
	s := t.services[name]
	if s == nil {
		return nil
	}
	return s.targets
}

// Query describes what a request needs of its target.
type Query struct {
	Service    string
	DataCentre string          // preferred
	AvoidCheap bool            // the work may not be lost
	MinVersion int64           // oldest weight version that will do; zero: any, known or not
	Exclude    map[string]bool // targets already tried
	Prefix     uint64          // hash of the prompt's prefix; zero: no preference
	Random     uint64          // caller's randomness
}

// ExtendPrefix returns the hash of a prefix that goes on with text. Zero starts one.
func ExtendPrefix(prefix uint64, text string) uint64 {
	return max(hash.Mix(prefix^xxhash.Sum64String(text)), 1)
}

// Choose returns the target for the query.
func (t *Table) Choose(q Query) (*Target, error) {
	s := t.services[q.Service]
	if s == nil {
		return nil, ErrNoTarget
	}
	best := s.lessLoadedOfTwo(&q)
	if best == nil {
		return nil, ErrNoTarget
	}
	if q.Prefix == 0 {
		return best, nil
	}
	at := s.preferredIndex(q.Prefix)
	for range affinityChoices {
		c := &s.targets[s.ring[at].index]
		if eligible(c, &q) && !overloaded(c, best) {
			return c, nil
		}
		at = (at + 1) % len(s.ring)
	}
	return best, nil
}

const (
	// affinityChoices is how many targets of the ring a prefix may go to.
	affinityChoices = 2
	// affinityProbes is how many places of the ring are tried for a prefix; more
	// spread prefixes more evenly.
	affinityProbes = 4
	// affinitySlackDivisor is the part of its capacity, as a divisor, by which a
	// preferred target may be loaded more than a random one.
	affinitySlackDivisor = 4
)

// overloaded reports whether c is loaded too much more than other.
func overloaded(c, other *Target) bool {
	a, b := max(c.Capacity, 1), max(other.Capacity, 1)
	return c.Load*b > other.Load*a+a*b/affinitySlackDivisor
}

// preferredIndex returns the ring's place for the prefix: of the points that follow
// some hashes of it, the one at the least distance. A change of the targets moves
// only the prefixes of those that came or went.
func (s *service) preferredIndex(prefix uint64) int {
	best, least := 0, ^uint64(0)
	for i := range uint64(affinityProbes) {
		h := hash.Mix(prefix + i*goldenRatio)
		at := s.successor(h)
		if distance := s.ring[at].hash - h; distance < least {
			best, least = at, distance
		}
	}
	return best
}

// successor returns the first point at or after h, around the ring.
func (s *service) successor(h uint64) int {
	lo, hi := 0, len(s.ring)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if s.ring[mid].hash < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo % len(s.ring)
}

// lessLoadedOfTwo returns the better of two random targets, or of the first two that may
// serve after the first.
func (s *service) lessLoadedOfTwo(q *Query) *Target {
	n := uint64(len(s.targets))
	first := (q.Random >> 32) * n >> 32
	second := (q.Random & (1<<32 - 1)) * n >> 32
	a, b := &s.targets[first], &s.targets[second]
	if first != second && eligible(a, q) && eligible(b, q) {
		return lessLoaded(a, b, q.DataCentre)
	}
	var best *Target
	seen := 0
	for i := range n {
		c := &s.targets[(first+i)%n]
		if !eligible(c, q) {
			continue
		}
		best = lessLoaded(c, best, q.DataCentre)
		if seen++; seen == 2 {
			break
		}
	}
	return best
}

func eligible(c *Target, q *Query) bool {
	return !c.Unavailable && (!q.AvoidCheap || !c.Cheap) && c.Version >= q.MinVersion && (len(q.Exclude) == 0 || !q.Exclude[c.ID])
}

// lessLoaded returns the target with less load for its capacity, then the one in the
// data centre. b may be nil.
func lessLoaded(a, b *Target, dataCentre string) *Target {
	if b == nil {
		return a
	}
	loadA, loadB := a.Load*max(b.Capacity, 1), b.Load*max(a.Capacity, 1)
	if loadA < loadB || loadA == loadB && (a.DataCentre == dataCentre || b.DataCentre != dataCentre) {
		return a
	}
	return b
}

const goldenRatio = 0x9e3779b97f4a7c15
