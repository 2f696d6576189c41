package hosted

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/loads"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// loadTimeout is how long an order may take to show at the registry: a load of
	// 0.9 s, its heartbeat, and the way through the log.
	loadTimeout = 3 * time.Second
	// unknownOrderDelay passes before an order without an answer is looked into.
	unknownOrderDelay = 1200 * time.Millisecond
	// concurrentLoadDivisor of a service's engines may load at once; more take longer each.
	concurrentLoadDivisor = 5
	minConcurrentLoads    = 2
	initialVersion        = 1 // version that engines start with
)

// weightUpdater moves engines to the versions that trainers have named.
type weightUpdater struct {
	node     *Instance
	planners map[string]*loads.Planner // by service
	orders   map[string]*sentOrder     // by target
	accepted map[string]orderSequence  // by target
}

// orderSequence is how many orders a start of a target has accepted.
type orderSequence struct{ born, count int64 }

// sentOrder is an order that may still be on its way or being carried out.
type sentOrder struct {
	order   loads.Order
	born    int64 // of the target when it was sent
	checkAt time.Duration
}

func newWeightUpdater(n *Instance) *weightUpdater {
	return &weightUpdater{node: n, planners: map[string]*loads.Planner{}, orders: map[string]*sentOrder{}, accepted: map[string]orderSequence{}}
}

// step sends the orders that are due.
func (w *weightUpdater) step(ctx context.Context) {
	n := w.node
	view := n.stateLoop.view.Load()
	if view.Catalog == nil {
		return
	}
	lag := map[string]int64{}
	n.stateLoop.do(ctx, func() { maps.Copy(lag, n.stateLoop.allowedLag) })
	for name, service := range view.Catalog.Services {
		if len(service.Models) == 0 {
			continue
		}
		var models []loads.Model
		for _, m := range service.Models {
			named := max(initialVersion, view.DesiredVersions[m])
			models = append(models, loads.Model{Name: m, DesiredVersion: named, MaxStaleness: lag[m]})
		}
		targets, engines := w.engines(ctx, view, name)
		if w.planners[name] == nil {
			w.planners[name] = loads.New()
		}
		atOnce := max(minConcurrentLoads, len(engines)/concurrentLoadDivisor)
		for _, o := range w.planners[name].Plan(engines, models, atOnce) {
			w.send(ctx, targets[o.Engine], o)
		}
	}
}

// engines returns a service's engines, after a look at the orders on their way.
func (w *weightUpdater) engines(ctx context.Context, view *View, service string) (map[string]directory.Target, []loads.Engine) {
	targets := map[string]directory.Target{}
	var out []loads.Engine
	now := w.node.clock.Now()
	for _, t := range view.Targets {
		if t.Service != service || !t.Ready {
			continue
		}
		targets[t.ID] = t
		out = append(out, loads.Engine{ID: t.ID, Versions: t.Models, OrderPending: w.orderPending(ctx, now, t)})
	}
	for id, o := range w.orders {
		if _, here := targets[id]; !here && now >= o.checkAt {
			delete(w.orders, id)
		}
	}
	return targets, out
}

// orderPending reports whether an order to the target may still be on its way.
func (w *weightUpdater) orderPending(ctx context.Context, now time.Duration, t directory.Target) bool {
	o := w.orders[t.ID]
	switch {
	case o == nil:
		return false
	case t.StartedAt != o.born, t.Models[o.order.Model] >= o.order.Version:
		delete(w.orders, t.ID)
		return false
	case now < o.checkAt:
		return true
	default:
		w.checkOrder(ctx, t, o)
		return w.orders[t.ID] != nil
	}
}

// checkOrder asks the target what became of an order.
func (w *weightUpdater) checkOrder(ctx context.Context, t directory.Target, o *sentOrder) {
	report, err := platform.ReadTargetReport(ctx, w.node.targets, t.Address)
	o.checkAt = w.node.clock.Now() + unknownOrderDelay
	switch {
	case err != nil:
		w.node.log("order unclear", events.F("target", t.ID), events.F("error", err.Error()))
	case report.Busy:
	default:
		delete(w.orders, t.ID)
		if report.Models[o.order.Model] < o.order.Version {
			w.node.log("order not carried out", events.F("target", t.ID), events.F("model", o.order.Model),
				events.F("sequence", fmt.Sprint(report.Sequence)))
		}
		w.accepted[t.ID] = orderSequence{t.StartedAt, report.Sequence}
	}
}

// send sends one order, checked against the lease right before.
func (w *weightUpdater) send(ctx context.Context, t directory.Target, o loads.Order) {
	n := w.node
	known, counted := w.accepted[t.ID]
	if !counted || known.born != t.StartedAt {
		report, err := platform.ReadTargetReport(ctx, n.targets, t.Address)
		if err != nil {
			n.log("order unclear", events.F("target", t.ID), events.F("error", err.Error()))
			w.orders[t.ID] = &sentOrder{order: o, born: t.StartedAt, checkAt: n.clock.Now() + unknownOrderDelay}
			return
		}
		known = orderSequence{t.StartedAt, report.Sequence}
		w.accepted[t.ID] = known
	}
	expected := known.count
	by, held := n.controller.holder(ctx)
	if !held {
		return
	}
	n.appendRecordAsync(job.Record{LoadOrdered: &job.LoadOrdered{Target: t.ID, Model: o.Model, Version: o.Version}})
	flight, cancel := context.WithTimeout(ctx, n.controller.callTimeout())
	defer cancel()
	done, err := platform.SendVersionOrder(flight, n.targets, by, platform.VersionOrder{
		Address: t.Address, Target: t.ID, Model: o.Model, Version: o.Version, Sequence: expected,
	})
	n.controller.checkSuperseded(by, err)
	n.metrics.orders.Inc()
	n.log("order sent", events.F("target", t.ID), events.F("model", o.Model), events.F("version", fmt.Sprint(o.Version)),
		events.F("had", fmt.Sprint(t.Models[o.Model])), events.F("expected", fmt.Sprint(expected)),
		events.F("term", fmt.Sprint(by.Fencing)), events.F("done", fmt.Sprint(done)), events.F("error", fmt.Sprint(err)))
	wait := loadTimeout
	if err != nil {
		wait = unknownOrderDelay
	} else if !done {
		w.accepted[t.ID] = orderSequence{t.StartedAt, expected + 1}
	}
	w.orders[t.ID] = &sentOrder{order: o, born: t.StartedAt, checkAt: n.clock.Now() + wait}
}
