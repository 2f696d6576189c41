// Package limit holds a client account's limits over all instances. One
// instance owns the account's Book and allots parts of the limits to the
// instances that serve the account; each of these keeps to its part in a Share.
package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// AllocationTTL is how long an allotment holds. The holder counts from before it
	// asked, the owner from when it answered, so the holder's ends first.
	AllocationTTL = 1500 * time.Millisecond
	// RequestInterval is how often a holder asks again.
	RequestInterval = 250 * time.Millisecond

	expiryInterval = 100 * time.Millisecond
)

// Limits bound an account over all instances. Zero: unlimited.
type Limits struct {
	Rate        float64 // requests a second
	Concurrency int     // requests in flight
}

// Allocation is one instance's allotment.
type Allocation struct {
	Rate        float64 `cbor:"1,keyasint"` // requests a second
	Concurrency int     `cbor:"2,keyasint"` // requests in flight

	// Whether an ask for more may be met.
	MoreRate        bool `cbor:"3,keyasint"`
	MoreConcurrency bool `cbor:"4,keyasint"`
}

// AllocationRequest tells what an instance needs and holds.
type AllocationRequest struct {
	Rate         float64    `cbor:"1,keyasint"` // requests a second that came, refused ones included
	PeakInFlight int        `cbor:"2,keyasint"` // most that were wanted in flight at once
	InFlight     int        `cbor:"3,keyasint"`
	Current      Allocation `cbor:"4,keyasint"` // allotment in force
}

// Allocator allots one account's limits at the instance that owns them.
//
// Invariant: the sum over the holders of what each may use is at most the limit.
// A holder may use the larger of its last allotment and the one it held before,
// as the last may not have reached it. Three things can exceed it for a term: a
// change of owner, a lowered limit, and a holder that reports more than it was
// allotted.
type Allocator struct {
	since     time.Duration // start of the ownership
	holders   map[string]*holder
	refreshed time.Duration
	rate      pool
	inFlight  pool
}

type holder struct {
	expires        time.Duration
	rate, inFlight claim
}

// claim is what a holder wants and may use of one limit.
type claim struct{ demand, committed float64 }

// pool divides one limit.
type pool struct {
	limit     float64 // zero: unlimited
	integral  bool    // parts are whole numbers
	demand    float64 // sum over the holders
	committed float64 // sum over the holders
	fairShare float64 // largest demand that is met whole; zero: not known
}

// NewAllocator returns a book that has allotted nothing, of an account that the
// instance has owned since then.
func NewAllocator(since time.Duration, limits Limits) *Allocator {
	b := &Allocator{since: since, refreshed: since, holders: map[string]*holder{}, inFlight: pool{integral: true}}
	b.SetLimits(limits)
	return b
}

// SetLimits changes the limits for allotments from now on.
func (b *Allocator) SetLimits(limits Limits) {
	b.rate.limit, b.inFlight.limit = limits.Rate, float64(limits.Concurrency)
}

// Idle reports whether nothing is allotted at now.
func (b *Allocator) Idle(now time.Duration) bool {
	b.expireAndSum(now)
	return len(b.holders) == 0
}

// Allocate allots a part to one of the instances. A new owner may not know of parts
// that an earlier one allotted: in its first term no holder's part grows beyond
// an equal share among the instances.
func (b *Allocator) Allocate(now time.Duration, instance string, instances int, a AllocationRequest) Allocation {
	if now-b.refreshed >= expiryInterval {
		b.expireAndSum(now)
	}
	h := b.holders[instance]
	if h == nil {
		h = &holder{}
		b.holders[instance] = h
	}
	h.expires = now + AllocationTTL
	growth := math.Inf(1)
	if now-b.since < AllocationTTL {
		growth = 1 / float64(max(instances, 1))
	}
	heldInFlight := float64(a.Current.Concurrency)
	rate := b.allocate(&b.rate, &h.rate, a.Rate, a.Current.Rate, a.Current.Rate, growth)
	inFlight := b.allocate(&b.inFlight, &h.inFlight, float64(a.PeakInFlight), heldInFlight, max(heldInFlight, float64(a.InFlight)), growth)
	return Allocation{Rate: rate, Concurrency: int(inFlight), MoreRate: b.rate.hasSpare(), MoreConcurrency: b.inFlight.hasSpare()}
}

// hasSpare reports whether less is committed than the limit.
func (p *pool) hasSpare() bool { return p.committed < p.limit }

// allocate returns the holder's part of the pool: its demand and one share of what
// nobody wants, of which one more is left for newcomers. While demand exceeds
// the limit, the parts are max-min fair.
func (b *Allocator) allocate(p *pool, c *claim, demand, held, used, growth float64) float64 {
	if p.limit == 0 {
		return 0
	}
	p.demand += demand - c.demand
	c.demand = demand
	want := demand + (p.limit-p.demand)/float64(len(b.holders)+1)
	if p.demand > p.limit {
		want = min(demand, b.fairShareOf(p))
	}
	want = min(want, max(held, p.limit*growth))
	others := p.committed - c.committed
	if p.integral {
		want = math.Ceil(want)
		others = math.Round(others)
	}
	part := max(min(want, p.limit-others), 0)
	c.committed = max(part, used)
	p.committed = others + c.committed
	return part
}

// fairShareOf returns the level up to which demands are met.
func (b *Allocator) fairShareOf(p *pool) float64 {
	if p.fairShare > 0 {
		return p.fairShare
	}
	demands := make([]float64, 0, len(b.holders))
	for _, h := range b.holders {
		if p == &b.rate {
			demands = append(demands, h.rate.demand)
		} else {
			demands = append(demands, h.inFlight.demand)
		}
	}
	slices.Sort(demands)
	left := p.limit
	for i, d := range demands {
		p.fairShare = left / float64(len(demands)-i)
		if d >= p.fairShare {
			break
		}
		left -= d
	}
	return p.fairShare
}

// expireAndSum drops what has expired and adds up the rest.
func (b *Allocator) expireAndSum(now time.Duration) {
	b.refreshed = now
	for _, p := range []*pool{&b.rate, &b.inFlight} {
		p.demand, p.committed, p.fairShare = 0, 0, 0
	}
	for id, h := range b.holders {
		if now >= h.expires {
			delete(b.holders, id)
			continue
		}
		b.rate.demand += h.rate.demand
		b.rate.committed += h.rate.committed
		b.inFlight.demand += h.inFlight.demand
		b.inFlight.committed += h.inFlight.committed
	}
}
