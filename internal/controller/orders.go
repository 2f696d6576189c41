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

// announceAndSend appends the order's intent to the log with the term's fencing number,
// then sends the order with the same number.
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

// send sends an announced order and records its outcome if the platform refused it or
// the target to stop does not exist. Otherwise the order stays open until the platform's
// list shows its effect. Right before the order is sent on the open connection, the lease
// must still be held for the flight time. The call ends when the flight time has passed
// or the lease expires, whichever is earlier, and nothing is written after that.
func (c *Controller) send(ctx context.Context, s *control.Snapshot, open *plan.OpenOrder) error {
	flight := s.Config.Control.OrderFlight
	lease, held := c.Loop.Held(control.DeploymentLease, flight)
	if !held || lease.Fencing != open.Fencing {
		return errLeaseNotHeld
	}
	now := c.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, min(flight, lease.ExpiresAt-now))
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

// refused reports whether the platform replied that the order has no effect.
func refused(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrRateLimited) || errors.Is(err, platform.ErrFenced)
}

// targetMissing reports whether a stop failed because its target no longer exists.
func targetMissing(intent record.OrderIntent, err error) bool {
	var status *platform.StatusError
	return intent.Action == record.ActionStop && errors.As(err, &status) && status.Status == http.StatusNotFound
}

// recordOutcome appends an order's outcome to the log; failure is empty for a success. If
// the append fails, the next pass resolves the order from the platform's list.
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

// updatePlanner reports the outcome of a start to the planner, which backs off in pools
// whose starts fail. An empty failure is a success.
func (c *Controller) updatePlanner(intent record.OrderIntent, failure string) {
	if intent.Action != record.ActionStart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := plan.Pool{Service: intent.Service, DataCentre: intent.DataCentre, Cheap: intent.Cheap}
	if failure == "" {
		c.planner.RecordStartSuccess(pool)
		return
	}
	c.planner.RecordStartFailure(c.Clock.Now(), pool)
}

// reconcileOrders resolves or resends every open order according to the platform's
// lists of targets.
func (c *Controller) reconcileOrders(ctx context.Context, s *control.Snapshot, now time.Duration, term plan.Term) {
	lists := listings(s)
	timing := plan.OrderTiming{Flight: s.Config.Control.OrderFlight, Lag: s.Config.Capacity.OrderLag}
	g := errgroup.Group{}
	g.SetLimit(maxConcurrentCalls)
	for id, o := range s.Orders {
		open := c.open[id]
		if open == nil {
			open = &plan.OpenOrder{Order: o.Intent, Fencing: o.Fencing, FirstSeen: now}
			c.open[id] = open
		}
		status, target := plan.ReconcileOrder(*open, lists[o.Intent.DataCentre], now, term, timing)
		switch status {
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

// listings returns the platform's list of targets of each data centre.
func listings(s *control.Snapshot) map[string]plan.Listing {
	out := map[string]plan.Listing{}
	for dc, at := range s.TargetsRequestedAt {
		out[dc] = plan.Listing{RequestedAt: at, ByOrder: map[string]string{}, Targets: map[string]bool{}}
	}
	for _, t := range s.PlatformTargets {
		if l, found := out[t.DataCentre]; found {
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
