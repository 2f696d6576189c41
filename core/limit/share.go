package limit

import "time"

const (
	burstTime = time.Second     // requests that may come at once, in seconds of the rate
	idleAfter = 5 * time.Second // without a request an account's share is dropped
	// demandDecay is what a measured demand keeps of the one before.
	demandDecay = 0.5
)

// Verdict is a decision on one request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota + 1
	OverRate
	OverConcurrency
)

// Share keeps one instance to its part of an account's limits. Without an
// allotment in force the part is an equal share among the instances, so that an
// instance that has lost the owner goes on within it.
type Share struct {
	limits    Limits
	instances int
	part      Part
	till      time.Duration // end of the allotment; zero: none yet

	tokens   float64
	filledAt time.Duration
	inFlight int

	measured time.Duration // start of the running measurement
	attempts int
	peak     int
	refused  int // over concurrency
	demand   Ask // latest measurement
	usedAt   time.Duration
}

// NewShare returns a share that has admitted nothing.
func NewShare(now time.Duration, limits Limits, instances int) *Share {
	s := &Share{filledAt: now, measured: now, usedAt: now}
	s.SetLimits(limits, instances)
	s.tokens = s.burst(s.current(now).Rate)
	return s
}

// SetLimits changes the account's limits and the number of instances.
func (s *Share) SetLimits(limits Limits, instances int) {
	s.limits, s.instances = limits, max(instances, 1)
}

// Limited reports whether there is anything to allot.
func (s *Share) Limited() bool { return s.limits != Limits{} }

// Allotted reports whether an allotment is in force.
func (s *Share) Allotted(now time.Duration) bool { return now < s.till }

// More reports whether the owner may allot more of what the refusal names.
func (s *Share) More(now time.Duration, refusal Verdict) bool {
	return s.Allotted(now) && (refusal == OverRate && s.part.MoreRate || refusal == OverConcurrency && s.part.MoreConcurrency)
}

// Idle reports whether nothing runs and nothing has come for a while.
func (s *Share) Idle(now time.Duration) bool { return s.inFlight == 0 && now-s.usedAt > idleAfter }

// Enter decides on one request. retryAfter, of a refusal, is when the rate
// allows one more; zero: not known. An admitted request must Leave.
func (s *Share) Enter(now time.Duration) (v Verdict, retryAfter time.Duration) {
	part := s.current(now)
	s.usedAt = now
	s.attempts++
	s.peak = max(s.peak, s.inFlight+1)
	if s.limits.Concurrency > 0 && s.inFlight >= part.Concurrency {
		s.refused++
		return OverConcurrency, 0
	}
	if s.limits.Rate > 0 {
		s.fill(now, part.Rate)
		if s.tokens < 1 {
			return OverRate, until(1-s.tokens, part.Rate)
		}
		s.tokens--
	}
	s.inFlight++
	return Admitted, 0
}

// Leave ends an admitted request.
func (s *Share) Leave() { s.inFlight-- }

// Ask returns what to ask the owner. It measures demand over at least AskInterval.
func (s *Share) Ask(now time.Duration) Ask {
	elapsed := now - s.measured
	a := Ask{
		Rate:     max(float64(s.attempts)/max(elapsed, AskInterval).Seconds(), s.demand.Rate),
		Peak:     max(s.peak+s.refused, s.demand.Peak),
		InFlight: s.inFlight,
		Held:     s.held(now),
	}
	if elapsed >= AskInterval {
		s.demand.Rate = max(float64(s.attempts)/elapsed.Seconds(), s.demand.Rate*demandDecay)
		s.demand.Peak = max(s.peak+s.refused, int(float64(s.demand.Peak)*demandDecay))
		s.measured, s.attempts, s.peak, s.refused = now, 0, s.inFlight, 0
		a.Rate, a.Peak = s.demand.Rate, s.demand.Peak
	}
	return a
}

// held is what the instance may be using: its allotment or, without one, what
// it has taken of the equal share.
func (s *Share) held(now time.Duration) Part {
	p := s.current(now)
	if s.Allotted(now) {
		return p
	}
	p.Concurrency = s.inFlight
	if s.attempts == 0 {
		p.Rate = 0
	}
	return p
}

// Take puts the owner's answer to an ask sent at sentAt into force.
func (s *Share) Take(sentAt, now time.Duration, p Part) {
	s.fill(now, s.current(now).Rate)
	first := s.till == 0
	s.part, s.till = p, sentAt+Term
	if first {
		s.tokens = s.burst(p.Rate)
	}
	s.tokens = min(s.tokens, s.burst(p.Rate))
}

// current is the part in force.
func (s *Share) current(now time.Duration) Part {
	if s.Allotted(now) {
		return s.part
	}
	p := Part{Rate: s.limits.Rate / float64(s.instances)}
	if s.limits.Concurrency > 0 {
		p.Concurrency = max(s.limits.Concurrency/s.instances, 1)
	}
	return p
}

func (s *Share) fill(now time.Duration, rate float64) {
	s.tokens = min(s.tokens+rate*(now-s.filledAt).Seconds(), s.burst(rate))
	s.filledAt = now
}

func (s *Share) burst(rate float64) float64 { return max(rate*burstTime.Seconds(), 1) }

// until is how long a rate takes for the tokens.
func until(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
