package retry

import "time"

// EjectionLimits bound how failing targets are left out.
type EjectionLimits struct {
	Failures int           // failures in a row that eject a target
	Base     time.Duration // first ejection; each further one lasts twice as long
	Max      time.Duration // longest ejection
	Share    float64       // largest share of a service's targets that may be ejected
}

// OutlierDetector leaves out targets that keep failing and lets one request at a time
// probe them afterwards. It knows only targets that fail, so its memory is
// bounded by their number. It is not safe for concurrent use.
//
// Invariant: of a service with n targets at most n*Share are ejected.
type OutlierDetector struct {
	limits  EjectionLimits
	targets map[string]*targetState
	ejected map[string]int // by service
}

type targetState struct {
	service     string
	failures    int // in a row
	ejections   int // ejections since the last success
	ejected     bool
	until       time.Duration
	probing     bool
	lastFailure time.Duration
}

// NewOutlierDetector returns a record of no failures.
func NewOutlierDetector(l EjectionLimits) *OutlierDetector {
	return &OutlierDetector{limits: l, targets: map[string]*targetState{}, ejected: map[string]int{}}
}

// SetLimits changes the limits for failures from now on.
func (h *OutlierDetector) SetLimits(l EjectionLimits) { h.limits = l }

// AllHealthy reports whether every target is in good health.
func (h *OutlierDetector) AllHealthy() bool { return len(h.targets) == 0 }

// Allow reports whether a request may go to the target at now. After an
// ejection has passed one request may: Succeeded, Failed or Unsent must follow.
func (h *OutlierDetector) Allow(now time.Duration, target string) bool {
	c := h.targets[target]
	switch {
	case c == nil || !c.ejected:
		return true
	case now < c.until || c.probing:
		return false
	default:
		c.probing = true
		return true
	}
}

// CancelProbe takes back an allowed request that did not reach the target.
func (h *OutlierDetector) CancelProbe(target string) {
	if c := h.targets[target]; c != nil {
		c.probing = false
	}
}

// RecordSuccess notes an answer; an ejected target is back. It reports whether the
// target was ejected.
func (h *OutlierDetector) RecordSuccess(target string) bool {
	c := h.targets[target]
	if c == nil {
		return false
	}
	h.remove(target, c)
	return c.ejected
}

// RecordFailure notes a failure of one of the service's size targets, and reports
// whether it ejects the target. jitter, from 0 to 1, spreads the probes of
// instances that saw the same failure.
func (h *OutlierDetector) RecordFailure(now time.Duration, service, target string, size int, jitter float64) bool {
	c := h.targets[target]
	if c == nil {
		c = &targetState{service: service}
		h.targets[target] = c
	}
	c.failures++
	c.lastFailure = now
	switch {
	case c.ejected && c.probing:
		h.startEjection(now, c, jitter)
		return true
	case c.ejected || c.failures < h.limits.Failures:
		return false
	case float64(h.ejected[service]+1) > h.limits.Share*float64(size):
		return false
	}
	c.ejected = true
	h.ejected[service]++
	h.startEjection(now, c, jitter)
	return true
}

// Prune drops targets that have not failed for long, gone ones among them.
func (h *OutlierDetector) Prune(now time.Duration) {
	for id, c := range h.targets {
		if now-c.lastFailure > 2*h.limits.Max && now >= c.until {
			h.remove(id, c)
		}
	}
}

func (h *OutlierDetector) startEjection(now time.Duration, c *targetState, jitter float64) {
	pause := h.limits.Max
	if shifted := h.limits.Base << min(c.ejections, maxDoublings); shifted < pause {
		pause = shifted
	}
	c.ejections++
	c.probing = false
	c.until = now + pause + time.Duration(jitter*float64(pause)/2)
}

// maxDoublings keeps the pause from overflowing.
const maxDoublings = 16

func (h *OutlierDetector) remove(target string, c *targetState) {
	delete(h.targets, target)
	if !c.ejected {
		return
	}
	if h.ejected[c.service]--; h.ejected[c.service] == 0 {
		delete(h.ejected, c.service)
	}
}
