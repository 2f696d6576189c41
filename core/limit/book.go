// Package limit enforces a client account's rate and concurrency limits over all
// instances. The instance that owns the account allocates the limits by max-min fairness
// (Allocator) to the instances that serve the account; each of these enforces its
// allocation on its own requests (LocalLimiter) and requests a new one each
// RequestInterval.
//
// The sum of what the instances may use stays within the limit, except in the cases
// listed at Allocator and for instances without an allocation, which use an equal share.
//
// The package has no clock, no network and no locks: the caller passes the time,
// determines the owner, carries requests and allocations between the instances, and
// serialises the calls.
package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// AllocationTTL is how long an allocation is valid. The instance counts from before
	// it sent the request, the owner from its reply, so that an allocation expires at the
	// instance first.
	AllocationTTL = 1500 * time.Millisecond
	// RequestInterval is how often an instance requests a new allocation.
	RequestInterval = 250 * time.Millisecond

	// refreshInterval is how often Allocate removes expired allocations and recomputes
	// the sums.
	refreshInterval = 100 * time.Millisecond
)

// Limits holds an account's limits over all instances. Zero: unlimited.
type Limits struct {
	Rate        float64 // requests per second
	Concurrency int     // requests in flight
}

// Allocation is the part of an account's limits that one instance may use.
type Allocation struct {
	Rate        float64 `cbor:"1,keyasint"` // requests per second
	Concurrency int     `cbor:"2,keyasint"` // requests in flight

	// Whether some of the limit is not allocated, so that a request for more may be met.
	MoreRate        bool `cbor:"3,keyasint"`
	MoreConcurrency bool `cbor:"4,keyasint"`
}

// AllocationRequest holds an instance's demand and its current allocation.
type AllocationRequest struct {
	Rate         float64    `cbor:"1,keyasint"` // requests per second, refused ones included
	PeakInFlight int        `cbor:"2,keyasint"` // most requests wanted in flight at once
	InFlight     int        `cbor:"3,keyasint"`
	Current      Allocation `cbor:"4,keyasint"` // in effect; without one: what the instance may be using
}

// Allocator allocates one account's rate and concurrency to instances, at the instance
// that owns the account. It is not safe for concurrent use.
//
// Invariant: the sum over the holders of what each may use is at most the limit. A holder
// may use its last allocation or, since the reply with that one may be lost, what its
// request reported as its current allocation or its use; the largest of these counts.
// For up to one AllocationTTL the sum can exceed the limit after a change of owner, after
// a limit was lowered, and if a holder reports more than it was allocated.
type Allocator struct {
	ownedSince time.Duration // when this instance became the owner
	holders    map[string]*holder
	refreshed  time.Duration
	rate       pool
	inFlight   pool
}

// holder is an instance that holds an allocation.
type holder struct {
	expiresAt      time.Duration
	rate, inFlight poolEntry
}

// poolEntry is a holder's demand for one limit, and the most of it that the holder may
// use until its allocation expires (committed).
type poolEntry struct{ demand, committed float64 }

// pool is the state of one limit, the rate or the concurrency.
type pool struct {
	limit     float64 // zero: unlimited
	integral  bool    // allocations are whole numbers
	demand    float64 // sum over the holders
	committed float64 // sum over the holders
	fairShare float64 // largest demand that is met in full; zero: not computed
}

// NewAllocator returns an allocator without allocations for an account that the instance
// has owned since ownedSince.
func NewAllocator(ownedSince time.Duration, limits Limits) *Allocator {
	a := &Allocator{ownedSince: ownedSince, refreshed: ownedSince, holders: map[string]*holder{}, inFlight: pool{integral: true}}
	a.SetLimits(limits)
	return a
}

// SetLimits sets the limits for later allocations.
func (a *Allocator) SetLimits(limits Limits) {
	a.rate.limit, a.inFlight.limit = limits.Rate, float64(limits.Concurrency)
}

// Idle reports whether no allocation is in effect at now.
func (a *Allocator) Idle(now time.Duration) bool {
	a.expireAndSum(now)
	return len(a.holders) == 0
}

// Allocate returns the new allocation of an instance, which is one of the given number
// of instances. A new owner has no record of the allocations of an earlier owner: for its
// first AllocationTTL no allocation grows beyond the larger of the instance's current
// allocation and limit/instances.
func (a *Allocator) Allocate(now time.Duration, instance string, instances int, r AllocationRequest) Allocation {
	if now-a.refreshed >= refreshInterval {
		a.expireAndSum(now)
	}
	h := a.holders[instance]
	if h == nil {
		h = &holder{}
		a.holders[instance] = h
	}
	h.expiresAt = now + AllocationTTL
	growthLimit := math.Inf(1)
	if now-a.ownedSince < AllocationTTL {
		growthLimit = 1 / float64(max(instances, 1))
	}
	currentConcurrency := float64(r.Current.Concurrency)
	rate := a.allocate(&a.rate, &h.rate, r.Rate, r.Current.Rate, r.Current.Rate, growthLimit)
	inFlight := a.allocate(&a.inFlight, &h.inFlight, float64(r.PeakInFlight), currentConcurrency, max(currentConcurrency, float64(r.InFlight)), growthLimit)
	return Allocation{Rate: rate, Concurrency: int(inFlight), MoreRate: a.rate.hasSpare(), MoreConcurrency: a.inFlight.hasSpare()}
}

// hasSpare reports whether less than the limit is committed.
func (p *pool) hasSpare() bool { return p.committed < p.limit }

// allocate returns the holder's allocation: its demand plus an equal share of what the
// demands leave of the limit. One more such share stays unallocated for a new instance.
// While the sum of the demands exceeds the limit, the allocations are max-min fair. inUse
// is what the holder may be using now; growthLimit is the fraction of the limit beyond
// which an allocation does not grow. The result is zero for an unlimited pool.
func (a *Allocator) allocate(p *pool, e *poolEntry, demand, current, inUse, growthLimit float64) float64 {
	if p.limit == 0 {
		return 0
	}
	p.demand += demand - e.demand
	e.demand = demand
	want := demand + (p.limit-p.demand)/float64(len(a.holders)+1)
	if p.demand > p.limit {
		want = min(demand, a.fairShareOf(p))
	}
	want = min(want, max(current, p.limit*growthLimit))
	committedToOthers := p.committed - e.committed
	if p.integral {
		want = math.Ceil(want)
		committedToOthers = math.Round(committedToOthers)
	}
	allocation := max(min(want, p.limit-committedToOthers), 0)
	e.committed = max(allocation, inUse)
	p.committed = committedToOthers + e.committed
	return allocation
}

// fairShareOf returns the max-min fair share, up to which each demand is met. It is
// computed by water-filling over the holders' demands and cached until the next refresh.
func (a *Allocator) fairShareOf(p *pool) float64 {
	if p.fairShare > 0 {
		return p.fairShare
	}
	demands := make([]float64, 0, len(a.holders))
	for _, h := range a.holders {
		if p == &a.rate {
			demands = append(demands, h.rate.demand)
		} else {
			demands = append(demands, h.inFlight.demand)
		}
	}
	slices.Sort(demands)
	remaining := p.limit
	for i, d := range demands {
		p.fairShare = remaining / float64(len(demands)-i)
		if d >= p.fairShare {
			break
		}
		remaining -= d
	}
	return p.fairShare
}

// expireAndSum removes expired holders and recomputes the sums over the others.
func (a *Allocator) expireAndSum(now time.Duration) {
	a.refreshed = now
	for _, p := range []*pool{&a.rate, &a.inFlight} {
		p.demand, p.committed, p.fairShare = 0, 0, 0
	}
	for id, h := range a.holders {
		if now >= h.expiresAt {
			delete(a.holders, id)
			continue
		}
		a.rate.demand += h.rate.demand
		a.rate.committed += h.rate.committed
		a.inFlight.demand += h.inFlight.demand
		a.inFlight.committed += h.inFlight.committed
	}
}
