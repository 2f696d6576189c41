// Package controller performs the tasks of the deployment's lease holder: Controller
// orders starts and stops of targets from the platform, and Biller seals and reports
// usage. Both run on every instance and act only while it holds the lease.
//
// core/plan and core/usage make the decisions. This package passes them the state that
// the control loop publishes and announces each order in the log before sending it. As
// the last step before it sends a call, it checks that the lease is held for longer than
// the flight time, the maximum duration of a call. An order whose outcome is unknown
// stays open until the platform's list of targets shows its effect or rules it out.
package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	reconcileInterval  = 200 * time.Millisecond
	appendTimeout      = 5 * time.Second
	loadsTimeout       = time.Second
	maxConcurrentCalls = 32 // orders and drains in flight at once
)

// Options configure a Controller.
type Options struct {
	Loop     *control.Loop
	Clock    clock.Clock
	Orders   func(dataCentre string) *platform.Orders
	Events   *events.Recorder
	Measures *measure.Measures // nil: no metrics
	// Steps returns the trainers' open steps; it is nil if they are unknown.
	Steps func() []plan.OpenStep
}

// Controller orders targets while its instance holds the deployment's lease.
type Controller struct {
	Options
	heldTerm  heldTerm
	planner   *plan.Planner
	minOffset record.Offset // a pass is skipped until the log has been applied up to it

	mu        sync.Mutex // guards planner, minOffset and open, which the concurrent calls of a pass change
	open      map[string]*plan.OpenOrder
	firstSeen map[string]time.Duration // when the platform first listed a target, by its id
	drains    map[string]drainProgress // by target
}

// drainProgress holds how far the instances have read a target's drain in the log.
type drainProgress struct {
	firstSeen   time.Duration // when this instance first observed the drain
	readByAllAt time.Duration // when all instances had read the drain; zero: not yet
}

// New returns a controller that does nothing until Run is called.
func New(o Options) *Controller {
	c := &Controller{Options: o}
	c.resetTerm()
	return c
}

// resetTerm discards the state that belongs to one lease term.
func (c *Controller) resetTerm() {
	c.planner = plan.NewPlanner()
	c.open = map[string]*plan.OpenOrder{}
	c.firstSeen = map[string]time.Duration{}
	c.drains = map[string]drainProgress{}
}

// Run reconciles at every interval until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { c.reconcile(ctx) })
}

// reconcile resolves the open orders, then plans and sends new ones. It does nothing
// unless the lease is held for longer than the flight time of an order.
func (c *Controller) reconcile(ctx context.Context) {
	s := c.Loop.Snapshot()
	if s.Config == nil || s.Offset < c.minOffset {
		return
	}
	now := c.Clock.Now()
	lease, held := c.Loop.Held(control.DeploymentLease, s.Config.Control.OrderFlight)
	changed := lease.Fencing != c.heldTerm.fencing || held != c.heldTerm.held
	term := plan.Term{Fencing: lease.Fencing, AcquiredAt: c.heldTerm.observe(now, lease.Fencing, held)}
	if changed {
		c.resetTerm()
	}
	if !held {
		return
	}
	c.reconcileOrders(ctx, s, now, term)
	c.planAndOrder(ctx, s, now, term)
}

// planAndOrder announces the drains and sends the orders that the planner decides on,
// concurrently.
func (c *Controller) planAndOrder(ctx context.Context, s *control.Snapshot, now time.Duration, term plan.Term) {
	loadCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	loads, err := c.Loop.Loads(loadCtx)
	if err != nil {
		return
	}
	v := c.buildPlanningView(s, now, loads)
	in := plan.Input{Now: now, WallTime: c.Clock.Wall(), Targets: v.targets, Demand: v.demand, UnreachableDataCentres: v.unreachable}
	d := c.planner.Plan(s.Config, in)
	c.Measures.RecordSpend(now, costsByPool(s.Config, v.targets))
	c.Measures.RecordHeldStarts(d.CostLimited)
	g := errgroup.Group{}
	g.SetLimit(maxConcurrentCalls)
	for _, target := range d.Drains {
		g.Go(func() error { return c.announceDrain(ctx, target, term.Fencing) })
	}
	for _, o := range append(d.Starts, d.Stops...) {
		g.Go(func() error { return c.announceAndSend(ctx, s, o, term.Fencing) })
	}
	// Each call records its own failure; the next pass plans again.
	_ = g.Wait()
}

// announceDrain appends the drain of a target to the log, after which instances send no
// new requests there.
func (c *Controller) announceDrain(ctx context.Context, target string, fencing record.Offset) error {
	if lease, held := c.Loop.Held(control.DeploymentLease, 0); !held || lease.Fencing != fencing {
		return errLeaseNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := c.Loop.Append(ctx, 0, record.TargetDrain{Target: target, Actor: c.Loop.Holder()})
	if err != nil {
		c.Events.Record("drain failed", events.F("target", target), events.F("error", err.Error()))
		return err
	}
	c.requireOffset(res.Offset)
	c.Events.Record("target drained", events.F("target", target), events.F("by", "planner"))
	return nil
}

// requireOffset causes passes to be skipped until the record at offset has been applied.
func (c *Controller) requireOffset(offset record.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minOffset = max(c.minOffset, offset)
}
