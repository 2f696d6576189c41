package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// announceAndSend announces an order in the log under the term's fencing number and sends it
// under the same.
func (c *Controller) announceAndSend(ctx context.Context, s *control.Snapshot, o plan.Order, fencing record.Offset) error {
	intent := record.OrderIntent{
		OrderID: uuid.NewString(), Lease: control.DeploymentLease, DataCentre: o.DataCentre,
		Service: o.Service, Action: o.Action, Target: o.Target, Cheap: o.Cheap,
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := c.Loop.Append(appendCtx, fencing, intent)
	if err != nil {
		c.recordOrderEvent("order not announced", intent, err)
		return err
	}
	c.requireOffset(res.Offset)
	c.recordOrderEvent("order announced", intent, nil)
	open := &plan.OpenOrder{Order: intent, Fencing: fencing, FirstSeen: c.Clock.Now()}
	c.mu.Lock()
	c.open[intent.OrderID] = open
	c.mu.Unlock()
	return c.send(ctx, s, open)
}

// send sends an announced order and settles it if it was refused. Else it stays
// open until the platform's list shows its effect. The lease is checked on the open
// connection with the whole flight time left, and nothing is written after its end.
func (c *Controller) send(ctx context.Context, s *control.Snapshot, open *plan.OpenOrder) error {
	flight := s.Config.Control.OrderFlight
	guard, held := c.Loop.Held(control.DeploymentLease, flight)
	if !held || guard.Fencing != open.Fencing {
		return errLeaseNotHeld
	}
	now := c.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, min(flight, guard.ExpiresAt-now))
	defer cancel()
	intent := open.Order
	order := platform.Order{
		ID: intent.OrderID, Action: string(intent.Action), Service: intent.Service, Target: intent.Target,
		Cheap: intent.Cheap, Fencing: int64(open.Fencing), Holder: c.Loop.Holder(),
		NotAfter: c.Clock.Wall().Add(flight),
	}
	open.LastSent, open.Attempts = now, open.Attempts+1
	c.recordOrderEvent("order sent", intent, nil)
	reply, err := c.Orders(intent.DataCentre).SendIf(callCtx, order, leaseCheck(c.Loop, open.Fencing, flight))
	switch {
	case err == nil:
		open.Accepted = true
		c.updatePlanner(intent, "")
		c.Events.Record("order answered", events.F("order", intent.OrderID), events.F("target", reply.Target))
	case targetMissing(intent, err):
		c.recordOutcome(ctx, intent, intent.Target, "")
	case refused(err):
		c.recordOutcome(ctx, intent, "", err.Error())
	default:
		c.recordOrderEvent("order outcome unknown", intent, err)
	}
	return err
}

// refused reports whether the platform answered that the order has no effect.
func refused(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrRateLimited) || errors.Is(err, platform.ErrFenced)
}

// targetMissing reports whether the target of a stop does not exist any more.
func targetMissing(intent record.OrderIntent, err error) bool {
	var status *platform.StatusError
	return intent.Action == record.ActionStop && errors.As(err, &status) && status.Status == http.StatusNotFound
}

// recordOutcome notes an order's outcome in the log. If that fails the next pass settles
// it by what the platform lists.
func (c *Controller) recordOutcome(ctx context.Context, intent record.OrderIntent, target, failure string) {
	c.updatePlanner(intent, failure)
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := c.Loop.Append(ctx, 0, record.OrderDone{OrderID: intent.OrderID, Target: target, Failure: failure})
	if err != nil {
		c.recordOrderEvent("order not settled", intent, err)
		return
	}
	c.requireOffset(res.Offset)
	if failure != "" {
		c.recordOrderEvent("order failed", intent, errors.New(failure))
		return
	}
	c.Events.Record("order confirmed", events.F("order", intent.OrderID), events.F("target", target))
}

// updatePlanner tells the planner where starts fail.
func (c *Controller) updatePlanner(intent record.OrderIntent, failure string) {
	if intent.Action != record.ActionStart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := plan.Pool{Service: intent.Service, DataCentre: intent.DataCentre, Cheap: intent.Cheap}
	if failure == "" {
		c.planner.RecordStartSuccess(at)
		return
	}
	c.planner.RecordStartFailure(c.Clock.Now(), at)
}

// settleAll decides about every open order from what the platform lists.
func (c *Controller) settleAll(ctx context.Context, s *control.Snapshot, now time.Duration, term plan.Term) {
	lists := listings(s)
	times := plan.OrderTiming{Flight: s.Config.Control.OrderFlight, Lag: s.Config.Capacity.OrderLag}
	g := errgroup.Group{}
	g.SetLimit(parallelCalls)
	for id, o := range s.Orders {
		open := c.open[id]
		if open == nil {
			open = &plan.OpenOrder{Order: o.Intent, Fencing: o.Fencing, FirstSeen: now}
			c.open[id] = open
		}
		verdict, target := plan.ReconcileOrder(*open, lists[o.Intent.DataCentre], now, term, times)
		switch verdict {
		case plan.Done:
			g.Go(func() error { c.recordOutcome(ctx, open.Order, target, ""); return nil })
		case plan.Failed:
			g.Go(func() error {
				c.recordOutcome(ctx, open.Order, "", "the platform does not list its effect")
				return nil
			})
		case plan.Resend:
			g.Go(func() error { return c.send(ctx, s, open) })
		}
	}
	// Each call records its own failure; the next pass decides again.
	_ = g.Wait()
	for id := range c.open {
		if _, open := s.Orders[id]; !open {
			delete(c.open, id)
		}
	}
}

// listings returns what each data centre lists.
func listings(s *control.Snapshot) map[string]plan.Listing {
	out := map[string]plan.Listing{}
	for dc, at := range s.TargetsRequestedAt {
		out[dc] = plan.Listing{RequestedAt: at, ByOrder: map[string]string{}, Targets: map[string]bool{}}
	}
	for _, t := range s.PlatformTargets {
		if l, known := out[t.DataCentre]; known {
			l.ByOrder[t.OrderID], l.Targets[t.ID] = t.ID, true
		}
	}
	return out
}

func (c *Controller) recordOrderEvent(name string, o record.OrderIntent, err error) {
	fields := []events.Field{
		events.F("order", o.OrderID), events.F("action", string(o.Action)), events.F("service", o.Service),
		events.F("dataCentre", o.DataCentre), events.F("target", o.Target), events.F("cheap", fmt.Sprint(o.Cheap)),
	}
	if err != nil {
		fields = append(fields, events.F("error", err.Error()))
	}
	c.Events.Record(name, fields...)
}
