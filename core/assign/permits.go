package assign

import "time"

// PermitValidity is how long a permit may be used: the rate of an engine's limit counts from
// the time of the grant.
const PermitValidity = 250 * time.Millisecond

// PermitRequest asks the caller to obtain permits to start runs on an engine.
type PermitRequest struct {
	Engine string
	Count  int
}

// permits are the runs that may start on an engine that limits its requests.
type permits struct {
	left      int
	expiresAt time.Duration
	wanted    int           // tasks that wait for a permit for the engine since the latest Assign
	asked     int           // permits that the caller is obtaining
	askAgain  time.Duration // earliest next request for permits
}

// permitted reports whether a run may start on the engine by its limit.
func (e *engine) permitted(now time.Duration) bool {
	return !e.Limited || e.permits.left > 0 && now < e.permits.expiresAt
}

// mayPermit reports whether a task may wait for a permit for the engine: one is being
// obtained, or may be asked for.
func (e *engine) mayPermit(now time.Duration) bool {
	p := &e.permits
	if !e.Limited || e.occupied()+p.wanted >= e.Slots {
		return false
	}
	return p.wanted < p.asked || p.asked == 0 && now >= p.askAgain
}

// usePermit uses up a permit for a run that starts.
func (e *engine) usePermit() {
	if e.Limited {
		e.permits.left--
	}
}

// PermitsWanted returns the permits to obtain for the tasks that the latest Assign left
// waiting for them. SetPermits must follow for each.
func (s *Scheduler) PermitsWanted() []PermitRequest {
	var out []PermitRequest
	for _, e := range s.preferred("") {
		if e.permits.asked == 0 && e.permits.wanted > 0 {
			e.permits.asked = e.permits.wanted
			out = append(out, PermitRequest{e.ID, e.permits.wanted})
		}
	}
	return out
}

// SetPermits answers a PermitRequest with the permits obtained, which replace unused ones.
// No further ones are asked for until retryAfter has passed.
func (s *Scheduler) SetPermits(now time.Duration, engineID string, count int, retryAfter time.Duration) {
	if e := s.engines[engineID]; e != nil {
		e.permits = permits{left: count, expiresAt: now + PermitValidity, askAgain: now + retryAfter}
	}
}
