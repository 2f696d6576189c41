// Package route chooses the target of a request from an immutable table.
package route

import "errors"

// Target is a running target as routing sees it.
type Target struct {
	ID         string
	Service    string
	DataCentre string
	URL        string
	Cheap      bool
	Leaving    bool
	Owner      string // instance that owns its admission queue
	Version    int64  // weight version that the engine reported; zero: unknown
	Load       int    // requests granted and waiting, as last reported
	Capacity   int    // concurrency
}

// ErrNoTarget is returned when a service has no target that may serve.
var ErrNoTarget = errors.New("no target available")

// Table holds the targets of every service. It is immutable once published.
type Table struct {
	services map[string][]Target
}

// NewTable groups targets by service.
func NewTable(targets []Target) *Table {
	t := &Table{services: map[string][]Target{}}
	for _, target := range targets {
		t.services[target.Service] = append(t.services[target.Service], target)
	}
	return t
}

// Targets returns the service's targets. The slice must not be changed.
func (t *Table) Targets(service string) []Target { return t.services[service] }

// Query describes what a request needs of its target.
type Query struct {
	Service    string
	DataCentre string          // preferred
	NoCheap    bool            // the work may not be lost
	Exclude    map[string]bool // targets already tried
	Random     uint64          // caller's randomness
}

// Choose returns the better of two random candidates by load, then data centre.
func (t *Table) Choose(q Query) (*Target, error) {
	list := t.services[q.Service]
	n := uint64(len(list))
	if n == 0 {
		return nil, ErrNoTarget
	}
	var best *Target
	start := q.Random % n
	seen := 0
	for i := range n {
		c := &list[(start+i*step(n))%n]
		if c.Leaving || q.NoCheap && c.Cheap || q.Exclude[c.ID] {
			continue
		}
		if best == nil || better(c, best, q.DataCentre) {
			best = c
		}
		if seen++; seen == 2 {
			break
		}
	}
	if best == nil {
		return nil, ErrNoTarget
	}
	return best, nil
}

// step is coprime to n, so that stepping by it visits every candidate.
func step(n uint64) uint64 {
	const prime = 7919
	if n%prime == 0 {
		return 1
	}
	return prime
}

func better(a, b *Target, dataCentre string) bool {
	if a.Load*max(b.Capacity, 1) != b.Load*max(a.Capacity, 1) {
		return a.Load*max(b.Capacity, 1) < b.Load*max(a.Capacity, 1)
	}
	return a.DataCentre == dataCentre && b.DataCentre != dataCentre
}
