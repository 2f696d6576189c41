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
	// controllerInterval is a fifth of the renewal interval: a term of 3 s is renewed each
	// third.
	controllerInterval  = 200 * time.Millisecond
	driftMargin         = 200 * time.Millisecond // clocks drift by far less within a term
	leaseClaimJitter    = 400 * time.Millisecond // spreads the claims of the instances
	callTimeoutFraction = 0.3                    // of the lease's term: 0.9 s for a term of 3 s
)

// controller claims the controller lease and, while this instance holds it, runs the tasks
// that the lease guards: usage reports, weight updates and scaling. Only the control
// goroutine uses its lease.
type controller struct {
	instance       *Instance
	lease          *lease.Machine
	supersededTerm atomic.Int64 // latest term rejected because a higher one is in use
	weightUpdater  *weightUpdater
	scaler         *scaler
}

func newController(in *Instance) *controller {
	c := &controller{instance: in, weightUpdater: newWeightUpdater(in), scaler: newScaler(in)}
	c.lease = lease.NewMachine(controllerLeaseName, in.self, lease.Timing{
		Term: in.cfg.Settings.LeaseTerm, DriftMargin: driftMargin,
	}, in.clock.Now())
	c.lease.SetClaimDelay(in.jitter(leaseClaimJitter))
	return c
}

// callTimeout returns how long a call under the lease may take.
func (c *controller) callTimeout() time.Duration {
	return time.Duration(callTimeoutFraction * float64(c.instance.cfg.Settings.LeaseTerm))
}

// onRecord updates the lease and the allowed staleness from a record of the log. It runs
// on the control goroutine after each record.
func (in *Instance) onRecord(_ int64, now time.Duration, r job.Record, accepted bool) {
	switch {
	case r.Lease != nil && r.Lease.Body.Name == controllerLeaseName:
		verdict := fold.Conflict
		if accepted {
			verdict = fold.Accepted
		}
		before := in.controller.lease.Current()
		in.controller.lease.Observe(now, r.Lease.ID, verdict, in.stateLoop.state.Leases[controllerLeaseName])
		if after := in.controller.lease.Current(); after.Term != before.Term || after.Holder != before.Holder {
			in.log("duty holder", events.F("holder", after.Holder), events.F("term", fmt.Sprint(after.Term)))
		}
	case r.InstanceStarted != nil && accepted: // releases the lease of an earlier incarnation
		if current := in.stateLoop.state.Leases[controllerLeaseName]; current != in.controller.lease.Current() {
			in.controller.lease.Observe(now, record.ID{}, fold.Accepted, current)
		}
	case r.Submitted != nil && accepted:
		if desired := in.stateLoop.desiredVersions[r.Submitted.Model]; desired > 0 {
			in.stateLoop.allowedStaleness[r.Submitted.Model] = max(0, desired-r.Submitted.MinVersion)
		}
	}
}

func (c *controller) run(ctx context.Context) error {
	in := c.instance
	return clock.Every(ctx, controllerInterval, func() {
		c.updateLease(ctx)
		if _, held := c.holder(ctx); held {
			in.reportUsage(ctx)
			c.weightUpdater.step(ctx)
			c.scaler.step(ctx)
		}
	})
}

// updateLease claims, renews or releases the lease.
func (c *controller) updateLease(ctx context.Context) {
	in := c.instance
	var claim *lease.AppendRequest
	in.stateLoop.do(ctx, func() {
		now := in.clock.Now()
		if in.isStopping() {
			c.lease.StepDown(now, c.callTimeout())
		}
		if !in.logCurrent() && c.lease.ExpiresAt() <= now {
			return // the view of the log is stale: another instance may hold the lease
		}
		claim = c.lease.Tick(now, uuid.New)
	})
	if claim == nil {
		return
	}
	in.appendRecordAsync(job.Record{Lease: &job.Lease{ID: claim.ID, Supersedes: claim.Supersedes, Body: claim.Body}})
}

// holder returns the identity for a call under the lease. It reports false if the lease
// does not cover the full timeout of a call, or if the platform has rejected the term as
// superseded. It must be called right before each call.
func (c *controller) holder(ctx context.Context) (platform.Leaseholder, bool) {
	var term record.Offset
	held := false
	c.instance.stateLoop.do(ctx, func() { term, held = c.lease.Held(c.instance.clock.Now(), c.callTimeout()) })
	if !held || int64(term) <= c.supersededTerm.Load() {
		return platform.Leaseholder{}, false
	}
	return platform.Leaseholder{Name: c.instance.cfg.Settings.Instance, Fencing: int64(term)}, true
}

// checkSuperseded stores the term of a call that was rejected because a higher fencing
// number is in use: no further calls are made under it.
func (c *controller) checkSuperseded(holder platform.Leaseholder, err error) {
	if errors.Is(err, platform.ErrSuperseded) {
		c.supersededTerm.Store(holder.Fencing)
		c.instance.log("duty superseded", events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", err.Error()))
	}
}
