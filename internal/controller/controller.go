// Package controller acts for the instance that holds the deployment's lease:
// it orders targets and reports usage. Decisions are in core/plan and
// core/usage; this package checks the lease right before each call.
package controller

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	passInterval  = 200 * time.Millisecond
	appendTimeout = 5 * time.Second
)

// Options are what a Controller works with.
type Options struct {
	Loop   *control.Loop
	Clock  clock.Clock
	Orders func(dataCentre string) *platform.Orders
	Events *events.Recorder
}

// Controller runs on every instance and acts only while in charge.
type Controller struct{ Options }

// New returns a controller.
func New(o Options) *Controller { return &Controller{o} }

// Run makes a pass at every interval until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.pass(ctx)
		}
	}
}

func (c *Controller) pass(ctx context.Context) {
	s := c.Loop.Snapshot()
	if s.Config == nil {
		return
	}
	if _, held := c.Loop.Held(control.DeploymentLease, s.Config.Control.OrderFlight); !held {
		return
	}
	c.settle(ctx, s)
	for _, o := range plan.Missing(s.Config, known(s)) {
		if err := c.order(ctx, s, o); err != nil {
			c.Events.Record("order failed", events.F("service", o.Service), events.F("error", err.Error()))
			return
		}
	}
}

// known joins the platform's targets with those that open orders will start.
func known(s *control.Snapshot) []plan.Target {
	var out []plan.Target
	started := map[string]bool{}
	for _, t := range s.Platform {
		started[t.OrderID] = true
		out = append(out, plan.Target{
			ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Cheap: t.Cheap,
			Leaving: t.State == platform.TargetLeaving || t.State == platform.TargetStopped,
		})
	}
	for id, o := range s.Orders {
		if o.Intent.Action == record.ActionStart && !started[id] {
			out = append(out, plan.Target{Service: o.Intent.Service, DataCentre: o.Intent.DataCentre, Cheap: o.Intent.Cheap})
		}
	}
	return out
}

// order announces the order in the log, sends it and notes the answer.
func (c *Controller) order(ctx context.Context, s *control.Snapshot, o plan.Order) error {
	flight := s.Config.Control.OrderFlight
	guard, held := c.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return errNotInCharge
	}
	intent := record.OrderIntent{
		OrderID: uuid.NewString(), Lease: control.DeploymentLease, DataCentre: o.DataCentre,
		Service: o.Service, Action: o.Action, Target: o.Target, Cheap: o.Cheap,
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.Loop.Append(ctx, guard.Fencing, intent); err != nil {
		return err
	}
	reply, err := c.send(ctx, intent, flight)
	if err != nil {
		return err
	}
	c.Events.Record("order confirmed", events.F("order", intent.OrderID), events.F("target", reply.Target))
	_, err = c.Loop.Append(ctx, 0, record.OrderDone{OrderID: intent.OrderID, Target: reply.Target})
	return err
}

// send checks the lease as the last step before the order leaves.
func (c *Controller) send(ctx context.Context, intent record.OrderIntent, flight time.Duration) (platform.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, flight)
	defer cancel()
	guard, held := c.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return platform.OrderReply{}, errNotInCharge
	}
	order := platform.Order{
		ID: intent.OrderID, Action: string(intent.Action), Service: intent.Service, Target: intent.Target,
		Cheap: intent.Cheap, Fencing: int64(guard.Fencing), Holder: c.Loop.Holder(),
		NotAfter: c.Clock.Wall().Add(flight),
	}
	c.Events.Record("order sent", events.F("order", order.ID), events.F("action", order.Action), events.F("service", order.Service))
	return c.Orders(intent.DataCentre).Send(ctx, order)
}

// settle closes orders whose answer was lost, by what the platform lists.
func (c *Controller) settle(ctx context.Context, s *control.Snapshot) {
	byOrder := map[string]platform.Target{}
	for _, t := range s.Platform {
		byOrder[t.OrderID] = t
	}
	for id, o := range s.Orders {
		t, found := byOrder[id]
		if o.Intent.Action != record.ActionStart || !found {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := c.Loop.Append(callCtx, 0, record.OrderDone{OrderID: id, Target: t.ID})
		cancel()
		if err != nil {
			c.Events.Record("order settle failed", events.F("order", id), events.F("error", err.Error()))
		}
	}
}
