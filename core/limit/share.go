package limit

import "time"

const (
	burstTime = time.Second     // requests that may come at once, in seconds of the rate
	idleAfter = 5 * time.Second // without a request an account's share is dropped
	// demandDecay is what a measured demand keeps of the one before.
	demandDecay = 0.5
)

// Decision is a decision on one request.
type Decision uint8

// The verdicts.
const (
	Admitted Decision = iota + 1
	OverRate
	OverConcurrency
)

// LocalLimiter keeps one instance to its part of an account's limits. Without an
// allotment in force the part is an equal share among the instances, so that an
// instance that has lost the owner goes on within it.
type LocalLimiter struct {
	limits     Limits
	instances  int
	allocation Allocation
	expires    time.Duration // end of the allotment; zero: none yet

	tokens   float64
	filledAt time.Duration
	inFlight int

	measured time.Duration // start of the running measurement
	attempts int
	peak     int
	refused  int               // over concurrency
	demand   AllocationRequest // latest measurement
	usedAt   time.Duration
}

// NewLocalLimiter returns a share that has admitted nothing.
func NewLocalLimiter(now time.Duration, limits Limits, instances int) *LocalLimiter {
	s := &LocalLimiter{filledAt: now, measured: now, usedAt: now}
	s.SetLimits(limits, instances)
	s.tokens = s.burst(s.effectiveAllocation(now).Rate)
	return s
}

// SetLimits changes the account's limits and the number of instances.
func (s *LocalLimiter) SetLimits(limits Limits, instances int) {
	s.limits, s.instances = limits, max(instances, 1)
}

// Limited reports whether there is anything to allot.
func (s *LocalLimiter) Limited() bool { return s.limits != Limits{} }

// HasAllocation reports whether an allotment is in force.
func (s *LocalLimiter) HasAllocation(now time.Duration) bool { return now < s.expires }

// MoreAvailable reports whether the owner may allot more of what the refusal names.
func (s *LocalLimiter) MoreAvailable(now time.Duration, refusal Decision) bool {
	return s.HasAllocation(now) && (refusal == OverRate && s.allocation.MoreRate || refusal == OverConcurrency && s.allocation.MoreConcurrency)
}

// Idle reports whether nothing runs and nothing has come for a while.
func (s *LocalLimiter) Idle(now time.Duration) bool {
	return s.inFlight == 0 && now-s.usedAt > idleAfter
}

// TryAcquire decides on one request. retryAfter, of a refusal, is when the rate
// allows one more; zero: not known. An admitted request must Leave.
func (s *LocalLimiter) TryAcquire(now time.Duration) (v Decision, retryAfter time.Duration) {
	part := s.effectiveAllocation(now)
	s.usedAt = now
	s.attempts++
	s.peak = max(s.peak, s.inFlight+1)
	if s.limits.Concurrency > 0 && s.inFlight >= part.Concurrency {
		s.refused++
		return OverConcurrency, 0
	}
	if s.limits.Rate > 0 {
		s.refill(now, part.Rate)
		if s.tokens < 1 {
			return OverRate, refillTime(1-s.tokens, part.Rate)
		}
		s.tokens--
	}
	s.inFlight++
	return Admitted, 0
}

// Release ends an admitted request.
func (s *LocalLimiter) Release() { s.inFlight-- }

// Demand returns what to ask the owner. It measures demand over at least AskInterval.
func (s *LocalLimiter) Demand(now time.Duration) AllocationRequest {
	elapsed := now - s.measured
	a := AllocationRequest{
		Rate:         max(float64(s.attempts)/max(elapsed, RequestInterval).Seconds(), s.demand.Rate),
		PeakInFlight: max(s.peak+s.refused, s.demand.PeakInFlight),
		InFlight:     s.inFlight,
		Current:      s.held(now),
	}
	if elapsed >= RequestInterval {
		s.demand.Rate = max(float64(s.attempts)/elapsed.Seconds(), s.demand.Rate*demandDecay)
		s.demand.PeakInFlight = max(s.peak+s.refused, int(float64(s.demand.PeakInFlight)*demandDecay))
		s.measured, s.attempts, s.peak, s.refused = now, 0, s.inFlight, 0
		a.Rate, a.PeakInFlight = s.demand.Rate, s.demand.PeakInFlight
	}
	return a
}

// held is what the instance may be using: its allotment or, without one, what
// it has taken of the equal share.
func (s *LocalLimiter) held(now time.Duration) Allocation {
	p := s.effectiveAllocation(now)
	if s.HasAllocation(now) {
		return p
	}
	p.Concurrency = s.inFlight
	if s.attempts == 0 {
		p.Rate = 0
	}
	return p
}

// SetAllocation puts the owner's answer to an ask sent at sentAt into force.
func (s *LocalLimiter) SetAllocation(sentAt, now time.Duration, p Allocation) {
	s.refill(now, s.effectiveAllocation(now).Rate)
	first := s.expires == 0
	s.allocation, s.expires = p, sentAt+AllocationTTL
	if first {
		s.tokens = s.burst(p.Rate)
	}
	s.tokens = min(s.tokens, s.burst(p.Rate))
}

// effectiveAllocation is the part in force.
func (s *LocalLimiter) effectiveAllocation(now time.Duration) Allocation {
	if s.HasAllocation(now) {
		return s.allocation
	}
	p := Allocation{Rate: s.limits.Rate / float64(s.instances)}
	if s.limits.Concurrency > 0 {
		p.Concurrency = max(s.limits.Concurrency/s.instances, 1)
	}
	return p
}

func (s *LocalLimiter) refill(now time.Duration, rate float64) {
	s.tokens = min(s.tokens+rate*(now-s.filledAt).Seconds(), s.burst(rate))
	s.filledAt = now
}

func (s *LocalLimiter) burst(rate float64) float64 { return max(rate*burstTime.Seconds(), 1) }

// refillTime is how long a rate takes for the tokens.
func refillTime(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
