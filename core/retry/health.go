package retry

import "time"

// EjectionLimits holds the limits of the ejection of failing targets.
type EjectionLimits struct {
	Failures     int           // consecutive failures that eject a target
	BaseDuration time.Duration // duration of the first ejection; it doubles with each further one, up to MaxDuration
	MaxDuration  time.Duration // longest ejection, without jitter
	Share        float64       // largest share of a service's targets ejected at once
}

// OutlierDetector ejects targets that keep failing. Each ejection lasts twice as long as
// the one before, up to a maximum; afterwards one request at a time may probe the target.
// The detector holds entries for failing targets only, so its memory is bounded by their
// number. It is not safe for concurrent use.
//
// Invariant: no ejection makes more than n*Share of a service's n targets ejected.
type OutlierDetector struct {
	limits  EjectionLimits
	targets map[string]*targetState
	ejected map[string]int // by service
}

type targetState struct {
	service             string
	consecutiveFailures int
	ejections           int // since the last success
	ejected             bool
	ejectedUntil        time.Duration
	probing             bool
	lastFailure         time.Duration
}

// NewOutlierDetector returns a detector without failures.
func NewOutlierDetector(l EjectionLimits) *OutlierDetector {
	return &OutlierDetector{limits: l, targets: map[string]*targetState{}, ejected: map[string]int{}}
}

// SetLimits sets the limits for later failures.
func (d *OutlierDetector) SetLimits(l EjectionLimits) { d.limits = l }

// AllHealthy reports whether no target has a recorded failure since its last success.
func (d *OutlierDetector) AllHealthy() bool { return len(d.targets) == 0 }

// Allow reports whether a request may be sent to the target at now. After an ejection
// has ended it allows one request, the probe. A call of RecordSuccess, RecordFailure or
// CancelProbe must follow, or the target stays blocked until Prune drops it.
func (d *OutlierDetector) Allow(now time.Duration, target string) bool {
	s := d.targets[target]
	switch {
	case s == nil || !s.ejected:
		return true
	case now < s.ejectedUntil || s.probing:
		return false
	default:
		s.probing = true
		return true
	}
}

// CancelProbe releases the probe of an allowed request that was not sent to the target.
func (d *OutlierDetector) CancelProbe(target string) {
	if s := d.targets[target]; s != nil {
		s.probing = false
	}
}

// RecordSuccess records a response of the target, which clears its failures and ends its
// ejection. It reports whether the target was ejected until now.
func (d *OutlierDetector) RecordSuccess(target string) bool {
	s := d.targets[target]
	if s == nil {
		return false
	}
	d.remove(target, s)
	return s.ejected
}

// RecordFailure records a failure of one of the service's numTargets targets, and reports
// whether it ejects the target. During a probe a late failure of an earlier request
// counts as the probe's failure. jitter, from 0 to 1, extends the ejection by up to a
// half, to spread the probes of instances that observed the same failure.
func (d *OutlierDetector) RecordFailure(now time.Duration, service, target string, numTargets int, jitter float64) bool {
	s := d.targets[target]
	if s == nil {
		s = &targetState{service: service}
		d.targets[target] = s
	}
	s.consecutiveFailures++
	s.lastFailure = now
	switch {
	case s.ejected && s.probing:
		d.startEjection(now, s, jitter)
		return true
	case s.ejected || s.consecutiveFailures < d.limits.Failures:
		return false
	case float64(d.ejected[service]+1) > d.limits.Share*float64(numTargets):
		return false
	}
	s.ejected = true
	d.ejected[service]++
	d.startEjection(now, s, jitter)
	return true
}

// Prune drops the entries of targets that have not failed for more than twice the longest
// ejection and whose ejection has ended. Thereby entries of targets that
// no longer exist are dropped too.
func (d *OutlierDetector) Prune(now time.Duration) {
	for id, s := range d.targets {
		if now-s.lastFailure > 2*d.limits.MaxDuration && now >= s.ejectedUntil {
			d.remove(id, s)
		}
	}
}

func (d *OutlierDetector) startEjection(now time.Duration, s *targetState, jitter float64) {
	duration := d.limits.MaxDuration
	if shifted := d.limits.BaseDuration << min(s.ejections, maxDoublings); shifted < duration {
		duration = shifted
	}
	s.ejections++
	s.probing = false
	s.ejectedUntil = now + duration + time.Duration(jitter*float64(duration)/2)
}

// maxDoublings limits the doublings of BaseDuration, so that the duration does not overflow.
const maxDoublings = 16

func (d *OutlierDetector) remove(target string, s *targetState) {
	delete(d.targets, target)
	if !s.ejected {
		return
	}
	if d.ejected[s.service]--; d.ejected[s.service] == 0 {
		delete(d.ejected, s.service)
	}
}
