package limit

import "time"

const (
	burstDuration = time.Second     // size of the token bucket, as time at the allocated rate
	idleTimeout   = 5 * time.Second // time without requests after which a limiter is idle
	// demandDecay is the fraction of the previous demand below which a new measurement
	// does not fall.
	demandDecay = 0.5
)

// Decision is the result of TryAcquire.
type Decision uint8

// The decisions.
const (
	Admitted        Decision = iota + 1
	OverRate                 // refused by the rate limit
	OverConcurrency          // refused by the concurrency limit
)

// LocalLimiter enforces one instance's allocation of an account's limits. Without an
// allocation in effect it allows an equal share of the limits among the instances, so
// that an instance that cannot reach the owner continues to serve within that share. It is
// not safe for concurrent use.
type LocalLimiter struct {
	limits     Limits
	instances  int
	allocation Allocation
	expiresAt  time.Duration // of the allocation; zero: none yet

	tokens     float64 // of the rate's token bucket
	refilledAt time.Duration
	inFlight   int

	measuringSince  time.Duration     // start of the current measurement
	attempts        int               // calls of TryAcquire since then
	peak            int               // most requests in flight, the attempted one included
	overConcurrency int               // refused for concurrency
	demand          AllocationRequest // latest measurement
	lastRequestAt   time.Duration     // latest attempt
}

// NewLocalLimiter returns a limiter without an allocation and without requests.
func NewLocalLimiter(now time.Duration, limits Limits, instances int) *LocalLimiter {
	l := &LocalLimiter{refilledAt: now, measuringSince: now, lastRequestAt: now}
	l.SetLimits(limits, instances)
	l.tokens = l.burst(l.effectiveAllocation(now).Rate)
	return l
}

// SetLimits changes the account's limits and the number of instances.
func (l *LocalLimiter) SetLimits(limits Limits, instances int) {
	l.limits, l.instances = limits, max(instances, 1)
}

// Limited reports whether the account has any limit.
func (l *LocalLimiter) Limited() bool { return l.limits != Limits{} }

// HasAllocation reports whether an allocation is in effect.
func (l *LocalLimiter) HasAllocation(now time.Duration) bool { return now < l.expiresAt }

// MoreAvailable reports whether the owner may have more to allocate of the limit that
// caused the refusal.
func (l *LocalLimiter) MoreAvailable(now time.Duration, refusal Decision) bool {
	return l.HasAllocation(now) && (refusal == OverRate && l.allocation.MoreRate || refusal == OverConcurrency && l.allocation.MoreConcurrency)
}

// Idle reports whether no request is in flight and none was attempted for idleTimeout.
func (l *LocalLimiter) Idle(now time.Duration) bool {
	return l.inFlight == 0 && now-l.lastRequestAt > idleTimeout
}

// TryAcquire decides on one request. For OverRate, retryAfter is the time until the rate
// allows one more request; zero: unknown. Release must follow for an admitted request.
func (l *LocalLimiter) TryAcquire(now time.Duration) (decision Decision, retryAfter time.Duration) {
	allocation := l.effectiveAllocation(now)
	l.lastRequestAt = now
	l.attempts++
	l.peak = max(l.peak, l.inFlight+1)
	if l.limits.Concurrency > 0 && l.inFlight >= allocation.Concurrency {
		l.overConcurrency++
		return OverConcurrency, 0
	}
	if l.limits.Rate > 0 {
		l.refill(now, allocation.Rate)
		if l.tokens < 1 {
			return OverRate, refillTime(1-l.tokens, allocation.Rate)
		}
		l.tokens--
	}
	l.inFlight++
	return Admitted, 0
}

// Release ends an admitted request.
func (l *LocalLimiter) Release() { l.inFlight-- }

// Demand returns the allocation request to send to the owner. It measures demand over at
// least RequestInterval; before that it reports the previous measurement or, if larger,
// the current one.
func (l *LocalLimiter) Demand(now time.Duration) AllocationRequest {
	elapsed := now - l.measuringSince
	r := AllocationRequest{
		Rate:         max(float64(l.attempts)/max(elapsed, RequestInterval).Seconds(), l.demand.Rate),
		PeakInFlight: max(l.peak+l.overConcurrency, l.demand.PeakInFlight),
		InFlight:     l.inFlight,
		Current:      l.currentAllocation(now),
	}
	if elapsed >= RequestInterval {
		l.demand.Rate = max(float64(l.attempts)/elapsed.Seconds(), l.demand.Rate*demandDecay)
		l.demand.PeakInFlight = max(l.peak+l.overConcurrency, int(float64(l.demand.PeakInFlight)*demandDecay))
		l.measuringSince, l.attempts, l.peak, l.overConcurrency = now, 0, l.inFlight, 0
		r.Rate, r.PeakInFlight = l.demand.Rate, l.demand.PeakInFlight
	}
	return r
}

// currentAllocation returns what the instance may be using: its allocation or, without
// one, the requests in flight and, if there were attempts, the rate of the equal share.
func (l *LocalLimiter) currentAllocation(now time.Duration) Allocation {
	a := l.effectiveAllocation(now)
	if l.HasAllocation(now) {
		return a
	}
	a.Concurrency = l.inFlight
	if l.attempts == 0 {
		a.Rate = 0
	}
	return a
}

// SetAllocation applies the owner's reply to an allocation request sent at sentAt. The
// first reply fills the token bucket.
func (l *LocalLimiter) SetAllocation(sentAt, now time.Duration, a Allocation) {
	l.refill(now, l.effectiveAllocation(now).Rate)
	first := l.expiresAt == 0
	l.allocation, l.expiresAt = a, sentAt+AllocationTTL
	if first {
		l.tokens = l.burst(a.Rate)
	}
	l.tokens = min(l.tokens, l.burst(a.Rate))
}

// effectiveAllocation returns the allocation in effect, or an equal share of the limits.
func (l *LocalLimiter) effectiveAllocation(now time.Duration) Allocation {
	if l.HasAllocation(now) {
		return l.allocation
	}
	a := Allocation{Rate: l.limits.Rate / float64(l.instances)}
	if l.limits.Concurrency > 0 {
		a.Concurrency = max(l.limits.Concurrency/l.instances, 1)
	}
	return a
}

func (l *LocalLimiter) refill(now time.Duration, rate float64) {
	l.tokens = min(l.tokens+rate*(now-l.refilledAt).Seconds(), l.burst(rate))
	l.refilledAt = now
}

func (l *LocalLimiter) burst(rate float64) float64 { return max(rate*burstDuration.Seconds(), 1) }

// refillTime returns how long the rate takes to add the tokens. It returns zero if the
// rate is zero and the time therefore unknown.
func refillTime(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
