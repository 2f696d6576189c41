// Package route chooses the target of a request from an immutable table.
//
// A request without a prompt prefix is sent to the less loaded of two random targets. A
// request with a prefix prefers the target that the prefix maps to by multi-probe
// consistent hashing. All instances therefore send the requests of a session to the
// target that has its prefix cached, without coordination. The preferred target is
// overloaded if its load exceeds that of the less loaded of two random targets by more
// than a fraction of its capacity. Then the next target on the ring is tried, and after
// that the random one is used.
//
// The caller supplies the targets with their last reported loads, and the randomness.
package route

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// Target holds the properties of a target that routing uses.
type Target struct {
	ID         string
	Service    string
	DataCentre string
	URL        string
	// Cheap: spot or preemptible, can be reclaimed with its whole data centre at short
	// notice.
	Cheap       bool
	Unavailable bool   // not running, drained, leaving or out of service; never chosen
	Owner       string // instance that holds its admission queue
	Version     int64  // weight version reported by the engine; zero: unknown
	Load        int    // requests granted and waiting, as last reported
	Capacity    int    // concurrency
}

// ErrNoTarget is returned if a service has no eligible target.
var ErrNoTarget = errors.New("no target available")

// Table holds the targets of every service. It is immutable.
type Table struct {
	services map[string]*service
}

// service holds a service's targets and a consistent-hash ring with one point per
// target.
type service struct {
	targets []Target
	ring    []ringPoint // sorted by hash
}

type ringPoint struct {
	hash  uint64
	index int // in service.targets
}

// NewTable groups targets by service.
func NewTable(targets []Target) *Table { return (&Table{}).Rebuild(targets) }

// Rebuild returns a table of the given targets. A service whose target ids are the same
// as in t, in the same order, shares its ring with t. The targets should therefore be
// passed in the same order each time.
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

// Targets returns the service's targets, nil for an unknown service. The caller must
// not modify the slice.
func (t *Table) Targets(name string) []Target {
	s := t.services[name]
	if s == nil {
		return nil
	}
	return s.targets
}

// Query holds a request's requirements and preferences.
type Query struct {
	Service    string
	DataCentre string          // preferred on equal load
	AvoidCheap bool            // no cheap targets, for work that must not be lost
	MinVersion int64           // oldest acceptable weight version; zero: any, also unknown
	Exclude    map[string]bool // targets already tried
	Prefix     uint64          // hash of the prompt's prefix; zero: no preference
	Random     uint64          // random bits
}

// ExtendPrefix returns the hash of a prefix extended by text. prefix is the hash of the
// prefix, zero for an empty one. The result is never zero.
func ExtendPrefix(prefix uint64, text string) uint64 {
	return max(hash.Mix(prefix^xxhash.Sum64String(text)), 1)
}

// Choose returns the target for the query, or ErrNoTarget if none is eligible.
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
	position := s.preferredIndex(q.Prefix)
	for range affinityChoices {
		c := &s.targets[s.ring[position].index]
		if eligible(c, &q) && !overloaded(c, best) {
			return c, nil
		}
		position = (position + 1) % len(s.ring)
	}
	return best, nil
}

const (
	// affinityChoices is the number of successive ring points tried for a prefix.
	affinityChoices = 2
	// affinityProbes is the number of hashes of a prefix that are looked up on the ring;
	// more probes spread prefixes more evenly.
	affinityProbes = 4
	// affinitySlackDivisor sets the slack: the load of a preferred target may exceed that
	// of the random one by its capacity divided by this, a quarter.
	affinitySlackDivisor = 4
)

// overloaded reports whether the load of c, relative to its capacity, exceeds that of
// other by more than the slack.
func overloaded(c, other *Target) bool {
	a, b := max(c.Capacity, 1), max(other.Capacity, 1)
	return c.Load*b > other.Load*a+a*b/affinitySlackDivisor
}

// preferredIndex returns the index of the ring point for the prefix by multi-probe
// consistent hashing: affinityProbes hashes of the prefix are looked up on the ring, and
// the ring point that follows its hash most closely is the result. Adding or removing a
// target remaps only the prefixes that map to that target.
func (s *service) preferredIndex(prefix uint64) int {
	nearest, minDistance := 0, ^uint64(0)
	for i := range uint64(affinityProbes) {
		h := hash.Mix(prefix + i*goldenRatio)
		position := s.successor(h)
		if distance := s.ring[position].hash - h; distance < minDistance {
			nearest, minDistance = position, distance
		}
	}
	return nearest
}

// successor returns the index of the first ring point at or after h; after the last
// point it wraps around to the first.
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

// lessLoadedOfTwo returns the less loaded of two random targets. If they are the same or
// one is not eligible, it compares the first two eligible targets from a random index.
// It returns nil if no target is eligible.
func (s *service) lessLoadedOfTwo(q *Query) *Target {
	n := uint64(len(s.targets))
	first := (q.Random >> 32) * n >> 32
	second := (q.Random & (1<<32 - 1)) * n >> 32
	a, b := &s.targets[first], &s.targets[second]
	if first != second && eligible(a, q) && eligible(b, q) {
		return lessLoaded(a, b, q.DataCentre)
	}
	var best *Target
	found := 0
	for i := range n {
		c := &s.targets[(first+i)%n]
		if !eligible(c, q) {
			continue
		}
		best = lessLoaded(c, best, q.DataCentre)
		if found++; found == 2 {
			break
		}
	}
	return best
}

func eligible(c *Target, q *Query) bool {
	return !c.Unavailable && (!q.AvoidCheap || !c.Cheap) && c.Version >= q.MinVersion && (len(q.Exclude) == 0 || !q.Exclude[c.ID])
}

// lessLoaded returns the target with the lower load relative to its capacity, on equal
// load the one in dataCentre. b may be nil.
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

// goldenRatio is 2^64 divided by the golden ratio; its multiples spread the probes of a
// prefix.
const goldenRatio = 0x9e3779b97f4a7c15
