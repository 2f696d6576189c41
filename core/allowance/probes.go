package allowance

import "time"

const (
	// probeValidity is how long after a standstill targets are probed: by then the requests that
	// waited have been sent.
	probeValidity = 3 * time.Second
	// probeTimeout is how long a probe keeps further requests away.
	probeTimeout = 250 * time.Millisecond
)

// Probes bounds the requests to targets of which nothing was heard while the instance stood still:
// they may have named a limit since. Until a target has answered a request that was sent after the
// standstill, it gets one at a time. It is not safe for concurrent use.
//
// Load pattern: an instance wakes after seconds, and the requests and tasks that waited fill the
// slots of each target within a millisecond, before the first answer names the limit.
type Probes struct {
	since    time.Duration // end of the latest standstill
	ended    bool          // there was one
	answered map[string]bool
	until    map[string]time.Duration // end of the probe in flight, by target
}

// StoodStill records that the instance stood still until now.
func (p *Probes) StoodStill(now time.Duration) {
	*p = Probes{since: now, ended: true, answered: map[string]bool{}, until: map[string]time.Duration{}}
}

// Active reports whether targets are probed.
func (p *Probes) Active(now time.Duration) bool { return p.ended && now-p.since < probeValidity }

// MaySend reports whether a request may be sent to the target now, or else when to ask again, if
// the target has not answered by then. A request that may be sent must be sent.
func (p *Probes) MaySend(now time.Duration, target string) (may bool, askAgain time.Duration) {
	if !p.Active(now) || p.answered[target] {
		return true, 0
	}
	if until := p.until[target]; now < until {
		return false, until
	}
	p.until[target] = now + probeTimeout
	return true, 0
}

// Answered records that the target has answered a request that was sent at sentAt. It reports
// whether requests to the target may wait for that.
func (p *Probes) Answered(now time.Duration, target string, sentAt time.Duration) bool {
	if !p.Active(now) || sentAt < p.since || p.answered[target] {
		return false
	}
	p.answered[target] = true
	return true
}
