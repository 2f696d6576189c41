// Package allowance keeps the requests of all instances to a target within the rate that the
// target names in its responses.
//
// One instance, the target's owner, grants requests to all instances, spaced by the rate.
// Rates are often lower than one request a second and an instance, so the instances cannot
// divide them among themselves: most would never get to send. The owner is the first in the
// order of rendezvous hashes that answers. An instance that cannot reach it asks the next
// one, which grants a smaller share of the rate, because others may still reach the first.
//
// Load pattern: a service's callers arrive at some hundred instances, each of which sends
// less than one request a second, and a job's tasks start at once at one instance, while the
// targets take a fraction of what they usually get.
//
// The package has no clock and no I/O. The caller passes in the time and makes the calls
// between the instances.
package allowance

import "time"

const (
	// burst is how far the requests to a target may run ahead of its rate, as time at the
	// rate: the requests of one second may arrive at once.
	burst = time.Second
	// minPerSecond is the lowest rate: one request in ten seconds finds out whether the
	// limit still holds.
	minPerSecond = 0.1
	// idleTimeout is how long the schedule of a target is kept without requests. A target
	// asked for again starts without a burst.
	idleTimeout = time.Minute
)

// Request asks for requests to a target.
type Request struct {
	Target    string
	PerSecond float64       // the target's limit, for all instances together
	Share     float64       // of PerSecond that the asked instance may grant, from 0 to 1
	Count     int           // requests wanted
	MaxDelay  time.Duration // the longest wait from now to a granted request
	// Burst is how far the requests may run ahead of the rate, as time at the rate; zero: the
	// default. See BurstFor.
	Burst time.Duration
	// Must is set for requests that are sent in any case: they are counted, and later ones
	// wait longer.
	Must bool
}

// Grant is the reply to a Request.
type Grant struct {
	Count int           // requests granted, at most those wanted
	Delay time.Duration // wait before they are sent
	// RetryAfter is the time until a further request can be granted, if fewer were granted
	// than wanted.
	RetryAfter time.Duration
}

// schedule spaces the requests to one target (generic cell rate algorithm).
type schedule struct {
	next    time.Duration // time of the next request at exactly the rate
	askedAt time.Duration
}

// Granter grants the requests to the targets that one instance owns. It is not safe for
// concurrent use.
//
// Invariant: of the granted requests to a target whose rate stays the same, at most rate x
// (t + burst) + 1 are due in any time t.
type Granter struct {
	schedules map[string]*schedule
	prunedAt  time.Duration
}

// NewGranter returns a granter that has granted nothing.
func NewGranter() *Granter { return &Granter{schedules: map[string]*schedule{}} }

// Take grants as many of the wanted requests as the target's rate allows.
func (g *Granter) Take(now time.Duration, r Request) Grant {
	g.prune(now)
	interval := time.Duration(float64(time.Second) / max(minPerSecond, r.PerSecond*r.Share))
	burst := burst
	if r.Burst > 0 {
		burst = r.Burst
	}
	s := g.schedules[r.Target]
	if s == nil {
		// Another instance may have granted requests until now.
		s = &schedule{next: now + burst + interval}
		g.schedules[r.Target] = s
	}
	s.askedAt = now
	var grant Grant
	for grant.Count < r.Count {
		due := max(now, s.next-burst)
		if due > now+r.MaxDelay && !r.Must {
			grant.RetryAfter = due - now - r.MaxDelay
			return grant
		}
		s.next = max(now, s.next) + interval
		grant.Count++
		grant.Delay = due - now
	}
	return grant
}

func (g *Granter) prune(now time.Duration) {
	if now-g.prunedAt < idleTimeout {
		return
	}
	g.prunedAt = now
	for id, s := range g.schedules {
		if now-s.askedAt > idleTimeout && now > s.next {
			delete(g.schedules, id)
		}
	}
}
