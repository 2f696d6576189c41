package soak

import (
	"context"
	"time"
)

const (
	// reclaimLearnTime is how long the instances may take to stop sending to an engine that is
	// about to be reclaimed. It includes the time for the log's records to reach them, on a busy
	// machine.
	reclaimLearnTime = 2 * time.Second
	// reclaimedTime is how long reclaimed engines are gone.
	reclaimedTime = 4 * time.Second
)

// reclamation is a time from the notice that an engine leaves to its next start.
type reclamation struct {
	target *target
	period
}

// reclaim takes the engines of a data centre away after a notice, and starts them again
// reclaimedTime later, unless engines are reclaimed already.
func (e *environment) reclaim(ctx context.Context, f fault) {
	e.mu.Lock()
	busy := e.reclaiming
	e.reclaiming = true
	e.mu.Unlock()
	if busy {
		return
	}
	dataCentre := dataCentreOf(f.index)
	change := func(t *target, fields func()) { t.changeEntry(e.logStore, true, dataCentre, fields) }
	notice := reclaimLearnTime + f.duration/2
	var done []reclamation
	for i, t := range e.engines() {
		if dataCentreOf(i) == dataCentre {
			change(t, func() { t.leavesAt = time.Now().Add(notice) })
			done = append(done, reclamation{t, period{from: time.Now()}})
		}
	}
	sleep(ctx, notice)
	restarts := make([]func() error, len(done))
	for i, r := range done {
		var err error
		if restarts[i], err = r.target.proxy.refuse(); err != nil {
			e.recordViolation("target %s: %v", r.target.engine.ID, err)
		}
		change(r.target, func() { r.target.removed = true })
	}
	sleep(ctx, reclaimedTime)
	for i, r := range done {
		if err := restarts[i](); err != nil {
			e.recordViolation("target %s: %v", r.target.engine.ID, err)
		}
		r.target.engine.Restart()
		done[i].to = time.Now()
		change(r.target, func() { r.target.leavesAt, r.target.removed = time.Time{}, false })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reclaiming = false
	e.reclamations = append(e.reclamations, done...)
}

// checkReclamations records a violation for what was sent to an engine later than
// reclaimLearnTime after the notice that it leaves and the last disturbance ended, until its next
// start. The time is that at which it was sent, as proxies may delay it.
func (e *environment) checkReclamations() {
	for _, r := range e.reclamations {
		for _, at := range r.target.proxy.sentTimes() {
			if at.After(r.from.Add(reclaimLearnTime)) && at.Before(r.to) && !e.disturbedAt(at) {
				e.recordViolation("target %s was sent to %s after the notice that it leaves, and %s before its next start", r.target.engine.ID, at.Sub(r.from).Round(time.Millisecond), r.to.Sub(at).Round(time.Millisecond))
			}
		}
	}
}
