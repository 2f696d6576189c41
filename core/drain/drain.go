// Package drain decides when no instance has a request left at a drained target, so that the
// target may be stopped without interrupting a request. It relies on instances to send a
// target no further requests once they have read its drain record in the log.
//
// The caller passes in the drains, the instances that may still send requests, and the
// reports of the instances. While one of them has not reported, the target does not count as
// idle. The caller may stop a target once it has been idle for a settle time; see MayStop.
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

// Report contains the requests that an instance itself has at drained targets.
type Report struct {
	RoutingOffset record.Offset // the instance's routing has applied the log up to this offset
	InFlight      []InFlight
	ReceivedAt    time.Duration // when the report was received, by the local clock
}

// Tracker tracks which drained targets are idle by the reports of all instances. The zero value
// is not usable; see New.
//
// Invariant: a target is idle only while the latest report of every instance shows that the
// instance has read the drain and has no request there.
type Tracker struct {
	reports map[string]Report        // by instance
	idle    map[string]time.Duration // when the target became idle, by target
}

// New returns a tracker without reports.
func New() *Tracker {
	return &Tracker{reports: map[string]Report{}, idle: map[string]time.Duration{}}
}

// SetReport replaces an instance's report. Update applies it.
func (t *Tracker) SetReport(instance string, r Report) { t.reports[instance] = r }

// Update recomputes at now which targets are idle. drains holds the offset of the drain record
// of each drained target; instances lists every instance that may still send requests.
func (t *Tracker) Update(now time.Duration, drains map[string]record.Offset, instances []string) {
	current := make(map[string]bool, len(instances))
	for _, id := range instances {
		current[id] = true
	}
	for id := range t.reports {
		if !current[id] {
			delete(t.reports, id)
		}
	}
	for target := range t.idle {
		if drains[target] == 0 {
			delete(t.idle, target)
		}
	}
	for target, drainOffset := range drains {
		if !t.isIdle(target, drainOffset, instances) {
			delete(t.idle, target)
		} else if _, wasIdle := t.idle[target]; !wasIdle {
			t.idle[target] = now
		}
	}
}

// isIdle reports whether all instances have read the drain and have no request at the target.
func (t *Tracker) isIdle(target string, drainOffset record.Offset, instances []string) bool {
	for _, id := range instances {
		r, reported := t.reports[id]
		if !reported || r.RoutingOffset < drainOffset || r.inFlight(target) > 0 {
			return false
		}
	}
	return len(instances) > 0
}

// inFlight returns the number of the instance's requests at the target.
func (r Report) inFlight(target string) int {
	for _, f := range r.InFlight {
		if f.Target == target {
			return f.Requests
		}
	}
	return 0
}

// Idle returns the idle targets and when each became idle.
func (t *Tracker) Idle() map[string]time.Duration {
	out := make(map[string]time.Duration, len(t.idle))
	for target, since := range t.idle {
		out[target] = since
	}
	return out
}

// MayStop reports whether a target that became idle at since may be stopped at now. The settle
// time covers a request that an instance routed to the target just before it read the drain
// and that the instance's report does not count yet.
func MayStop(now, since, settle time.Duration) bool { return now-since >= settle }
