package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	controllerLeaseName = "controller"
	controllerInterval  = 200 * time.Millisecond // a fifth of a renewal's interval
	driftMargin         = 200 * time.Millisecond // clocks drift by far less within a term
	leaseClaimJitter    = 400 * time.Millisecond // spreads the instances' claims
	callTimeoutFraction = 0.3                    // of the lease's term: a duty's call ends within 0.9 s of 3 s
)

// controller holds the lease of the singleton duties: usage, weights, scaling. Its
// machine belongs to the control goroutine.
type controller struct {
	node           *Instance
	lease          *lease.Machine
	supersededTerm atomic.Int64 // term under which the platform has seen a higher number
	weightUpdater  *weightUpdater
	scaler         *scaler
}

func newController(n *Instance) *controller {
	d := &controller{node: n, weightUpdater: newWeightUpdater(n), scaler: newScaler(n)}
	d.lease = lease.NewMachine(controllerLeaseName, n.self, lease.Timing{
		Term: n.cfg.Settings.LeaseTerm, DriftMargin: driftMargin,
	}, n.clock.Now())
	d.lease.SetClaimDelay(n.jitter(leaseClaimJitter))
	return d
}

// callTimeout is how long a call of the duty may take.
func (d *controller) callTimeout() time.Duration {
	return time.Duration(callTimeoutFraction * float64(d.node.cfg.Settings.LeaseTerm))
}

// onRecord runs on the control goroutine for each record of the log.
func (n *Instance) onRecord(_ int64, now time.Duration, r job.Record, accepted bool) {
	switch {
	case r.Lease != nil && r.Lease.Body.Name == controllerLeaseName:
		verdict := fold.Conflict
		if accepted {
			verdict = fold.Accepted
		}
		before := n.controller.lease.Current()
		n.controller.lease.Observe(now, r.Lease.ID, verdict, n.stateLoop.state.Leases[controllerLeaseName])
		if after := n.controller.lease.Current(); after.Term != before.Term || after.Holder != before.Holder {
			n.log("duty holder", events.F("holder", after.Holder), events.F("term", fmt.Sprint(after.Term)))
		}
	case r.InstanceStarted != nil && accepted:
		if current := n.stateLoop.state.Leases[controllerLeaseName]; current != n.controller.lease.Current() {
			n.controller.lease.Observe(now, record.ID{}, fold.Accepted, current)
		}
	case r.Submitted != nil && accepted:
		if named := n.stateLoop.desiredVersions[r.Submitted.Model]; named > 0 {
			n.stateLoop.allowedLag[r.Submitted.Model] = max(0, named-r.Submitted.MinVersion)
		}
	}
}

func (d *controller) run(ctx context.Context) error {
	n := d.node
	return clock.Every(ctx, controllerInterval, func() {
		d.updateLease(ctx)
		if _, held := d.holder(ctx); held {
			n.reportUsage(ctx)
			d.weightUpdater.step(ctx)
			d.scaler.step(ctx)
		}
	})
}

// updateLease claims, renews or releases the lease.
func (d *controller) updateLease(ctx context.Context) {
	n := d.node
	var claim *lease.AppendRequest
	n.stateLoop.do(ctx, func() {
		now := n.clock.Now()
		if n.isStopping() {
			d.lease.StepDown(now, d.callTimeout())
		}
		if !n.logCurrent() && d.lease.ExpiresAt() <= now {
			return // others may hold it: what was read last is old
		}
		claim = d.lease.Tick(now, uuid.New)
	})
	if claim == nil {
		return
	}
	n.appendRecordAsync(job.Record{Lease: &job.Lease{ID: claim.ID, Supersedes: claim.Supersedes, Body: claim.Body}})
}

// holder returns who may act, if this instance holds the lease for the time of a
// call. It is the last check before each one.
func (d *controller) holder(ctx context.Context) (platform.Leaseholder, bool) {
	var term record.Offset
	held := false
	d.node.stateLoop.do(ctx, func() { term, held = d.lease.Held(d.node.clock.Now(), d.callTimeout()) })
	if !held || int64(term) <= d.supersededTerm.Load() {
		return platform.Leaseholder{}, false
	}
	return platform.Leaseholder{Name: d.node.cfg.Settings.Instance, Fencing: int64(term)}, true
}

// checkSuperseded remembers that a call was refused because of a higher number.
func (d *controller) checkSuperseded(by platform.Leaseholder, err error) {
	if errors.Is(err, platform.ErrSuperseded) {
		d.supersededTerm.Store(by.Fencing)
		d.node.log("duty superseded", events.F("term", fmt.Sprint(by.Fencing)), events.F("error", err.Error()))
	}
}
