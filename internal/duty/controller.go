// Package duty performs what one instance at a time does for the whole deployment, the holder of
// the controller lease in the log: it reports usage, orders engines to load weights, and orders
// targets. Every instance also counts the requests that go into the usage reports.
package duty

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
	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	controllerLeaseName = "controller"
	// controllerInterval is a fifth of the renewal interval of 1 s, which is a third of a
	// term of 3 s.
	controllerInterval  = 200 * time.Millisecond
	driftMargin         = 200 * time.Millisecond // clocks drift apart by far less within a term
	leaseClaimJitter    = 400 * time.Millisecond // longest random delay of a claim on a small deployment
	callTimeoutFraction = 0.3                    // of the lease's term: 0.9 s for a term of 3 s
)

// Controller claims the controller lease and, while this instance holds it, runs the
// tasks that the lease guards: usage reports, weight updates and scaling. Calls may be in flight
// while the lease is renewed, and as long as a release waits. Only the state goroutine accesses
// the fields lease and standsIn.
type Controller struct {
	*node.Node
	cloud          *platform.Cloud // nil: there is none
	usageCounter   *usageCounter
	usageReader    *node.UsageReader
	usageReadAt    time.Duration // last read of the counts of all instances
	windowRefusals map[int64]int // see noteRefusal
	lease          *lease.Machine
	claimOrder     float64      // from 0 to below 1: the instances claim in this order
	supersededTerm atomic.Int64 // latest term that the platform or a target has rejected
	standsIn       bool         // holds or claims the lease without links to targets, as nobody else did
	weightUpdater  *weightUpdater
	scaler         *scaler
}

// New returns the controller of a node.
func New(n *node.Node) *Controller {
	c := &Controller{Node: n, usageCounter: newUsageCounter(n), usageReader: node.NewUsageReader(n), windowRefusals: map[int64]int{}}
	if n.Settings.Cloud != "" {
		c.cloud = platform.NewCloud(n.Settings.Cloud)
	}
	c.weightUpdater, c.scaler = newWeightUpdater(c), newScaler(c)
	c.lease = lease.NewMachine(controllerLeaseName, c.Self, lease.Timing{
		Duration: c.Settings.LeaseTerm, DriftMargin: driftMargin,
	}, c.Clock.Now())
	c.claimOrder = float64(c.Jitter(time.Second)) / float64(time.Second)
	c.lease.SetClaimDelay(c.claimDelay(0))
	c.lease.SetIncarnations(func(holder string) bool { return strings.HasPrefix(holder, c.Settings.Instance+"/") })
	return c
}

// Loops returns the functions that perform the duties and count requests. Each runs until its
// context ends.
func (c *Controller) Loops() []func(context.Context) error {
	return []func(context.Context) error{c.holdLease, c.reportUsages, c.scaleServices, c.updateWeights, c.usageCounter.run}
}

// CountRequest adds a request of the account to the usage of the wall time.
func (c *Controller) CountRequest(account string, wall time.Time) {
	c.usageCounter.countRequest(account, wall)
}

// callTimeout returns how long a call under the lease may take: the lease must cover it.
func (c *Controller) callTimeout() time.Duration {
	return time.Duration(callTimeoutFraction * float64(c.Settings.LeaseTerm))
}

// OnRecord updates the lease after a record of the log has been applied. It runs on the state
// goroutine.
func (c *Controller) OnRecord(now time.Duration, r job.Record, accepted bool) {
	switch {
	case r.Lease != nil && r.Lease.Body.Name == controllerLeaseName:
		verdict := fold.Conflict
		if accepted {
			verdict = fold.Accepted
		}
		before := c.lease.Current()
		c.lease.Observe(now, r.Lease.ID, verdict, c.StateLoop.State.Leases[controllerLeaseName])
		c.checkLeaseKnown(now)
		if after := c.lease.Current(); after.Term != before.Term || after.Holder != before.Holder {
			c.Log("duty holder", events.F("holder", after.Holder), events.F("term", fmt.Sprint(after.Term)))
		}
	case r.InstanceStarted != nil && accepted: // may have released the lease of an earlier incarnation
		_, _, unknown := c.StateLoop.State.UnknownLease(controllerLeaseName)
		if current := c.StateLoop.State.Leases[controllerLeaseName]; !unknown && current != c.lease.Current() {
			c.lease.Observe(now, record.ID{}, fold.Accepted, current)
		}
	}
}

// holdLease claims and renews the lease until ctx ends. It makes no calls: what the guarded tasks
// wait for must not delay the renewal.
func (c *Controller) holdLease(ctx context.Context) error {
	return clock.Every(ctx, controllerInterval, func() {
		c.updateLease(ctx)
		_, held := c.holder(ctx)
		c.Pace.LeaseHeld.Store(held)
	})
}

// reportUsages reports usage while this instance holds the lease, until ctx ends. Scaling and the
// weights have loops of their own, as a slow log keeps this one waiting.
func (c *Controller) reportUsages(ctx context.Context) error {
	return clock.Every(ctx, controllerInterval, func() {
		if _, held := c.holder(ctx); held {
			c.reportUsage(ctx)
		}
	})
}

// scaleServices orders targets while this instance holds the lease, until ctx ends.
func (c *Controller) scaleServices(ctx context.Context) error {
	return clock.Every(ctx, controllerInterval, func() {
		_, held := c.holder(ctx)
		c.scaler.step(ctx, held)
	})
}

// updateWeights orders engines to load weights while this instance holds the lease, until ctx
// ends.
func (c *Controller) updateWeights(ctx context.Context) error {
	return clock.Every(ctx, controllerInterval, func() {
		if _, held := c.holder(ctx); held {
			c.weightUpdater.step(ctx)
		}
	})
}

// claimDelay returns how much longer than necessary this instance waits before it claims the lease.
// It grows with the time that the others need to read of an earlier claim.
func (c *Controller) claimDelay(logDelay time.Duration) time.Duration {
	return time.Duration(c.claimOrder * float64(pace.Spread(leaseClaimJitter, int(c.Pace.Instances.Load()), logDelay)))
}

// updateLease appends a claim, renewal or release of the lease, if one is due.
func (c *Controller) updateLease(ctx context.Context) {
	var request *lease.AppendRequest
	var readTo record.Offset
	c.StateLoop.Do(ctx, func() {
		now := c.Clock.Now()
		readTo = c.checkLeaseKnown(now)
		c.lease.SetClaimDelay(c.claimDelay(c.LogDelay(now)))
		if c.IsStopping() || c.leavesToOthers(now) {
			c.lease.StepDown(now, c.callTimeout())
		} else {
			c.lease.Resume()
		}
		if !c.LogCurrent() && c.lease.ExpiresAt() <= now {
			return // the log was not read recently: another instance may hold the lease
		}
		request = c.lease.Tick(now, uuid.New)
	})
	if request == nil {
		return
	}
	c.AppendRecordAsync(job.Record{Lease: &job.Lease{
		ID: request.ID, Supersedes: request.Supersedes, Body: request.Body, Term: request.Term, ReadTo: readTo,
	}})
}

// checkLeaseKnown makes the lease forget its holder if records were skipped. It returns the ReadTo
// of records that Tick returns: zero if the holder is known.
func (c *Controller) checkLeaseKnown(now time.Duration) record.Offset {
	last, readTo, unknown := c.StateLoop.State.UnknownLease(controllerLeaseName)
	if !unknown {
		return 0
	}
	c.lease.ObserveGap(now, last)
	return readTo
}

// standInDelay is how long the lease has no holder until an instance that reaches no target
// claims it, for the calls that need none: the others take a claim delay and an append.
const standInDelay = 2 * time.Second

// leavesToOthers reports whether this instance leaves the lease to others, because it reaches no
// target to order. Before a claim it makes sure that it does. If nobody else claims the lease, it
// holds it until its links are back.
func (c *Controller) leavesToOthers(now time.Duration) bool {
	links := c.Links
	if !links.IsCut() && (c.lease.ExpiresAt() > now || !c.lease.MayClaim(now) || links.HeardLately()) {
		c.standsIn = false
		return false
	}
	links.CheckIfQuiet()
	c.standsIn = c.standsIn || c.lease.VacantFor(now) > standInDelay
	return !c.standsIn
}

// holder returns the holder and fencing number for a call under the lease. It reports
// false if the lease may expire within callTimeout, or if a call under the term was
// rejected as superseded. It must be called right before each call.
func (c *Controller) holder(ctx context.Context) (platform.Leaseholder, bool) {
	var term record.Offset
	held := false
	c.StateLoop.Do(ctx, func() { term, held = c.lease.HeldFor(c.Clock.Now(), c.callTimeout()) })
	if !held || int64(term) <= c.supersededTerm.Load() {
		return platform.Leaseholder{}, false
	}
	return platform.Leaseholder{Name: c.Settings.Instance, Fencing: int64(term)}, true
}

// checkSuperseded handles the result of a call under the lease. If the call was rejected
// because a higher fencing number is in use, no further calls are made under its term.
func (c *Controller) checkSuperseded(holder platform.Leaseholder, err error) {
	if errors.Is(err, platform.ErrSuperseded) {
		c.supersededTerm.Store(holder.Fencing)
		c.Log("duty superseded", events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", err.Error()))
	}
}
