// Package drain decides when no instance has a request left at a drained target, so that the
// target may be stopped without interrupting a request.
//
// The caller passes in the drains, the instances that may still send requests, and their
// reports. An instance that does not report keeps the target from being idle. MayStop adds a
// settle time to the idle time.
package drain

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// InFlight is the number of requests that an instance has at a drained target, from before
// they are admitted until their response has been read.
type InFlight struct {
	Target   string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// Report contains an instance's own requests at drained targets.
type Report struct {
	RoutingOffset record.Offset // the instance routes by the log up to this offset
	InFlight      []InFlight
	ReceivedAt    time.Duration // when it was read, by the local clock
}

// Tracker tracks drained targets by the reports of all instances. The zero value is not
// usable; see New.
//
// Invariant: a target is idle only while the latest report of every instance shows that the
// instance has read the drain and has no request there.
type Tracker struct {
	reports map[string]Report        // by instance
	idle    map[string]time.Duration // by target: since when it has been idle
}

// New returns a tracker without reports.
func New() *Tracker {
	return &Tracker{reports: map[string]Report{}, idle: map[string]time.Duration{}}
}

// SetReport replaces an instance's report.
func (w *Tracker) SetReport(instance string, r Report) { w.reports[instance] = r }

// Update applies a change of drains, instances or reports at now. drains holds the offset of
// each target's drain record; instances lists every instance that may still send requests.
func (w *Tracker) Update(now time.Duration, drains map[string]record.Offset, instances []string) {
	current := make(map[string]bool, len(instances))
	for _, id := range instances {
		current[id] = true
	}
	for id := range w.reports {
		if !current[id] {
			delete(w.reports, id)
		}
	}
	for target := range w.idle {
		if drains[target] == 0 {
			delete(w.idle, target)
		}
	}
	for target, drainOffset := range drains {
		if !w.isIdle(target, drainOffset, instances) {
			delete(w.idle, target)
		} else if _, already := w.idle[target]; !already {
			w.idle[target] = now
		}
	}
}

// isIdle reports whether all instances have read the drain and have no request at the target.
func (w *Tracker) isIdle(target string, drainOffset record.Offset, instances []string) bool {
	for _, id := range instances {
		r, reported := w.reports[id]
		if !reported || r.RoutingOffset < drainOffset || r.inFlight(target) > 0 {
			return false
		}
	}
	return len(instances) > 0
}

// inFlight returns the number of requests at the target.
func (r Report) inFlight(target string) int {
	for _, u := range r.InFlight {
		if u.Target == target {
			return u.Requests
		}
	}
	return 0
}

// Idle returns the idle drained targets and since when each has been idle.
func (w *Tracker) Idle() map[string]time.Duration {
	out := make(map[string]time.Duration, len(w.idle))
	for target, since := range w.idle {
		out[target] = since
	}
	return out
}

// MayStop reports whether a target that has been idle since the time since may be stopped at
// now. settle covers a request that its instance routed to the target by a snapshot from
// before the drain and that became in flight after the first report without requests.
func MayStop(now, since, settle time.Duration) bool { return now-since >= settle }
