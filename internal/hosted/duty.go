package hosted

import (
	"context"
	"errors"
	"fmt"
	"strings"
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
	// controllerInterval is a fifth of the renewal interval of 1 s, which is a third of a
	// term of 3 s.
	controllerInterval  = 200 * time.Millisecond
	driftMargin         = 200 * time.Millisecond // clocks drift apart by far less within a term
	leaseClaimJitter    = 400 * time.Millisecond // longest random delay of a claim
	callTimeoutFraction = 0.3                    // of the lease's term: 0.9 s for a term of 3 s
)

// controller claims the controller lease and, while this instance holds it, runs the
// tasks that the lease guards: usage reports, weight updates and scaling. Only the state
// goroutine accesses the fields lease and standsIn.
type controller struct {
	instance       *Instance
	lease          *lease.Machine
	supersededTerm atomic.Int64 // latest term that the platform or a target has rejected
	holdsLease     atomic.Bool  // as of the last check, for other goroutines
	standsIn       bool         // holds or claims the lease without links to targets, as nobody else did
	weightUpdater  *weightUpdater
	scaler         *scaler
}

func newController(in *Instance) *controller {
	c := &controller{instance: in, weightUpdater: newWeightUpdater(in), scaler: newScaler(in)}
	c.lease = lease.NewMachine(controllerLeaseName, in.self, lease.Timing{
		Duration: in.cfg.Settings.LeaseTerm, DriftMargin: driftMargin,
	}, in.clock.Now())
	c.lease.SetClaimDelay(in.jitter(leaseClaimJitter))
	c.lease.SetIncarnations(func(holder string) bool { return strings.HasPrefix(holder, in.cfg.Settings.Instance+"/") })
	return c
}

// callTimeout returns how long a call under the lease may take: the lease must cover it.
func (c *controller) callTimeout() time.Duration {
	return time.Duration(callTimeoutFraction * float64(c.instance.cfg.Settings.LeaseTerm))
}

// onRecord updates the lease and the allowed staleness after a record of the log has been
// applied. It runs on the state goroutine.
func (in *Instance) onRecord(_ int64, now time.Duration, r job.Record, accepted bool) {
	if r.InstanceStarted != nil {
		in.instanceLinks.noteAnnouncement(now, r.Writer, accepted)
	}
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
	case r.InstanceStarted != nil && accepted: // may have released the lease of an earlier incarnation
		if current := in.stateLoop.state.Leases[controllerLeaseName]; current != in.controller.lease.Current() {
			in.controller.lease.Observe(now, record.ID{}, fold.Accepted, current)
		}
	case r.Submitted != nil && accepted:
		if desired := in.stateLoop.desiredVersions[r.Submitted.Model]; desired > 0 {
			in.stateLoop.allowedStaleness[r.Submitted.Model] = max(0, desired-r.Submitted.MinVersion)
		}
	default:
		in.poisonGuard.onRecord(r)
	}
}

// run updates the lease and, while it is held, runs the guarded tasks, until ctx ends.
func (c *controller) run(ctx context.Context) error {
	in := c.instance
	return clock.Every(ctx, controllerInterval, func() {
		c.updateLease(ctx)
		_, held := c.holder(ctx)
		c.holdsLease.Store(held)
		if held {
			in.reportUsage(ctx)
			c.weightUpdater.step(ctx)
			c.scaler.step(ctx)
		}
	})
}

// updateLease appends a claim, renewal or release of the lease, if one is due.
func (c *controller) updateLease(ctx context.Context) {
	in := c.instance
	var request *lease.AppendRequest
	in.stateLoop.do(ctx, func() {
		now := in.clock.Now()
		if in.isStopping() || c.leavesToOthers(now) {
			c.lease.StepDown(now, c.callTimeout())
		} else {
			c.lease.Resume()
		}
		if !in.logCurrent() && c.lease.ExpiresAt() <= now {
			return // the log was not read recently: another instance may hold the lease
		}
		request = c.lease.Tick(now, uuid.New)
	})
	if request == nil {
		return
	}
	in.appendRecordAsync(job.Record{Lease: &job.Lease{ID: request.ID, Supersedes: request.Supersedes, Body: request.Body}})
}

// standInDelay is how long the lease has no holder until an instance that reaches no target
// claims it, for the calls that need none: the others take a claim delay and an append.
const standInDelay = 2 * time.Second

// leavesToOthers reports whether this instance leaves the lease to others, because it reaches no
// target to order. Before a claim it makes sure that it does. If nobody else claims the lease, it
// holds it until its links are back.
func (c *controller) leavesToOthers(now time.Duration) bool {
	links := c.instance.links
	if !links.isCut() && (c.lease.ExpiresAt() > now || !c.lease.MayClaim(now) || links.heardLately()) {
		c.standsIn = false
		return false
	}
	links.checkIfQuiet()
	c.standsIn = c.standsIn || c.lease.VacantFor(now) > standInDelay
	return !c.standsIn
}

// holder returns the holder and fencing number for a call under the lease. It reports
// false if the lease may expire within callTimeout, or if a call under the term was
// rejected as superseded. It must be called right before each call.
func (c *controller) holder(ctx context.Context) (platform.Leaseholder, bool) {
	var term record.Offset
	held := false
	c.instance.stateLoop.do(ctx, func() { term, held = c.lease.HeldFor(c.instance.clock.Now(), c.callTimeout()) })
	if !held || int64(term) <= c.supersededTerm.Load() {
		return platform.Leaseholder{}, false
	}
	return platform.Leaseholder{Name: c.instance.cfg.Settings.Instance, Fencing: int64(term)}, true
}

// checkSuperseded handles the result of a call under the lease. If the call was rejected
// because a higher fencing number is in use, no further calls are made under its term.
func (c *controller) checkSuperseded(holder platform.Leaseholder, err error) {
	if errors.Is(err, platform.ErrSuperseded) {
		c.supersededTerm.Store(holder.Fencing)
		c.instance.log("duty superseded", events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", err.Error()))
	}
}
