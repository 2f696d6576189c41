// Package drain decides when a drained target has no work left on any instance,
// so that it may be stopped without cutting a request.
package drain

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// InFlight is the number of requests that an instance has at a drained target, from
// before they are admitted until their answer has been read.
type InFlight struct {
	Target   string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// Report is what an instance says of its own requests.
type Report struct {
	RoutingOffset record.Offset // log offset that the instance routes by
	InFlight      []InFlight
	ReceivedAt    time.Duration // when it was read; reading of the local clock
}

// Tracker follows drained targets over the reports of all instances. The zero
// value is not usable; see New.
//
// Invariant: a target is idle only while every known instance has said that it
// has read the drain and has no request there.
type Tracker struct {
	reports map[string]Report        // by instance
	idle    map[string]time.Duration // by target, since when
}

// New returns a watch that has heard nothing.
func New() *Tracker {
	return &Tracker{reports: map[string]Report{}, idle: map[string]time.Duration{}}
}

// SetReport notes an instance's report.
func (w *Tracker) SetReport(instance string, r Report) { w.reports[instance] = r }

// Update follows a change of drains, instances or reports. instances names
// every instance that may still send requests.
func (w *Tracker) Update(now time.Duration, drains map[string]record.Offset, instances []string) {
	known := make(map[string]bool, len(instances))
	for _, id := range instances {
		known[id] = true
	}
	for id := range w.reports {
		if !known[id] {
			delete(w.reports, id)
		}
	}
	for target := range w.idle {
		if drains[target] == 0 {
			delete(w.idle, target)
		}
	}
	for target, since := range drains {
		if !w.isIdle(target, since, instances) {
			delete(w.idle, target)
		} else if _, already := w.idle[target]; !already {
			w.idle[target] = now
		}
	}
}

func (w *Tracker) isIdle(target string, since record.Offset, instances []string) bool {
	for _, id := range instances {
		r, heard := w.reports[id]
		if !heard || r.RoutingOffset < since || r.inFlight(target) > 0 {
			return false
		}
	}
	return len(instances) > 0
}

func (r Report) inFlight(target string) int {
	for _, u := range r.InFlight {
		if u.Target == target {
			return u.Requests
		}
	}
	return 0
}

// Idle returns since when each idle drained target has been idle.
func (w *Tracker) Idle() map[string]time.Duration {
	out := make(map[string]time.Duration, len(w.idle))
	for target, since := range w.idle {
		out[target] = since
	}
	return out
}

// MayStop reports whether a target that has been idle since then may be
// stopped at now. settle covers a request that chose the target just before its
// instance read the drain and that no report has counted yet.
func MayStop(now, since, settle time.Duration) bool { return now-since >= settle }
