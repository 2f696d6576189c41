// Package controller acts for the instance that holds the deployment's lease:
// it orders targets and reports usage. Decisions are in core/plan and
// core/usage; this package checks the lease right before each call.
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
	reconcileInterval = 200 * time.Millisecond
	appendTimeout     = 5 * time.Second
	loadsTimeout      = time.Second
	parallelCalls     = 32 // orders under way at once
)

// Options are what a Controller works with.
type Options struct {
	Loop     *control.Loop
	Clock    clock.Clock
	Orders   func(dataCentre string) *platform.Orders
	Events   *events.Recorder
	Measures *measure.Measures // nil: none
	// Steps returns the trainers' open steps; nil: not known.
	Steps func() []plan.OpenStep
}

// Controller runs on every instance and acts only while in charge.
type Controller struct {
	Options
	heldTerm  heldTerm
	planner   *plan.Planner
	minOffset record.Offset // the next pass must have read this

	mu        sync.Mutex // guards what calls note while a pass runs
	open      map[string]*plan.OpenOrder
	firstSeen map[string]time.Duration // when targets were first seen
	drains    map[string]drainProgress
}

// drainProgress is what a pass knows of a drained target.
type drainProgress struct {
	firstSeen   time.Duration
	readByAllAt time.Duration // when all instances had read of it; zero: not yet
}

// New returns a controller.
func New(o Options) *Controller {
	c := &Controller{Options: o}
	c.resetTerm()
	return c
}

// resetTerm drops what belongs to a term.
func (c *Controller) resetTerm() {
	c.planner = plan.NewPlanner()
	c.open = map[string]*plan.OpenOrder{}
	c.firstSeen = map[string]time.Duration{}
	c.drains = map[string]drainProgress{}
}

// Run makes a pass at every interval until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { c.reconcile(ctx) })
}

// reconcile settles open orders, then plans and sends new ones, side by side.
func (c *Controller) reconcile(ctx context.Context) {
	s := c.Loop.Snapshot()
	if s.Config == nil || s.Offset < c.minOffset {
		return
	}
	now := c.Clock.Now()
	guard, held := c.Loop.Held(control.DeploymentLease, s.Config.Control.OrderFlight)
	changed := guard.Fencing != c.heldTerm.fencing || held != c.heldTerm.held
	term := plan.Term{Fencing: guard.Fencing, AcquiredAt: c.heldTerm.heldSince(now, guard.Fencing, held)}
	if changed {
		c.resetTerm()
	}
	if !held {
		return
	}
	c.settleAll(ctx, s, now, term)
	c.planAndOrder(ctx, s, now, term)
}

// planAndOrder carries out what the planner decides.
func (c *Controller) planAndOrder(ctx context.Context, s *control.Snapshot, now time.Duration, term plan.Term) {
	loadCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	loads, err := c.Loop.Loads(loadCtx)
	if err != nil {
		return
	}
	v := c.buildPlanningView(s, now, loads)
	in := plan.Input{Now: now, WallTime: c.Clock.Wall(), Targets: v.targets, Demand: v.demand, UnreachableDataCentres: v.unavailable}
	d := c.planner.Plan(s.Config, in)
	c.Measures.RecordSpend(now, prices(s.Config, v.targets))
	c.Measures.RecordHeldStarts(d.CostLimited)
	g := errgroup.Group{}
	g.SetLimit(parallelCalls)
	for _, target := range d.Drains {
		g.Go(func() error { return c.announceDrain(ctx, target, term.Fencing) })
	}
	for _, o := range append(d.Starts, d.Stops...) {
		g.Go(func() error { return c.announceAndSend(ctx, s, o, term.Fencing) })
	}
	// Each call records its own failure; the next pass plans again.
	_ = g.Wait()
}

// announceDrain takes new work from a target.
func (c *Controller) announceDrain(ctx context.Context, target string, fencing record.Offset) error {
	if guard, held := c.Loop.Held(control.DeploymentLease, 0); !held || guard.Fencing != fencing {
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

// requireOffset makes the next pass wait until it sees the record at offset.
func (c *Controller) requireOffset(offset record.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minOffset = max(c.minOffset, offset)
}
