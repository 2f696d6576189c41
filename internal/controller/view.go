package controller

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// listTimeout is how long a data centre's list of targets may take.
const listTimeout = 3 * time.Second

// view is what planning sees of the deployment.
type view struct {
	targets []plan.Target
	demand  map[string]plan.Demand
	down    map[string]bool
}

// view joins the platform's lists, open orders, drains and loads.
func (c *Controller) view(s *control.Snapshot, now time.Duration, loads map[string]control.ReportedLoad) view {
	v := view{demand: map[string]plan.Demand{}, down: map[string]bool{}}
	for _, dc := range s.Config.DataCentres {
		v.down[dc.Name] = now-s.TargetsAt[dc.Name] > s.Config.Capacity.OrderLag+listTimeout
	}
	started, stopping := openOrders(s)
	listed := map[string]bool{}
	for _, t := range s.Platform {
		listed[t.OrderID] = true
		v.targets = append(v.targets, c.target(s, now, t, loads[t.ID], stopping[t.ID]))
		load := loads[t.ID]
		d := v.demand[t.Service]
		d.Callers += load.Load - load.Samples
		d.Samples += load.Samples
		v.demand[t.Service] = d
	}
	for id, o := range started {
		if listed[id] {
			continue
		}
		t := plan.Target{Service: o.Service, DataCentre: o.DataCentre, Cheap: o.Cheap, State: plan.Starting, Since: now}
		if v.down[o.DataCentre] {
			t.State = plan.Lost
		}
		v.targets = append(v.targets, t)
	}
	if c.Steps != nil {
		for service, steps := range plan.StepsByService(c.Steps()) {
			d := v.demand[service]
			d.Steps = steps
			v.demand[service] = d
		}
	}
	c.trim(s)
	return v
}

// openOrders returns the open starts by order id and the targets of open stops.
func openOrders(s *control.Snapshot) (starts map[string]record.OrderIntent, stopping map[string]bool) {
	starts, stopping = map[string]record.OrderIntent{}, map[string]bool{}
	for id, o := range s.Orders {
		if o.Intent.Action == record.ActionStart {
			starts[id] = o.Intent
		} else {
			stopping[o.Intent.Target] = true
		}
	}
	return starts, stopping
}

func (c *Controller) target(s *control.Snapshot, now time.Duration, t platform.Target, load control.ReportedLoad, stopping bool) plan.Target {
	if _, seen := c.since[t.ID]; !seen {
		c.since[t.ID] = now
	}
	out := plan.Target{
		ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Cheap: t.Cheap, State: plan.Running,
		Since: c.since[t.ID], Load: max(load.Load, load.Running), LoadAt: load.At,
	}
	out.Silent = load.Silent >= s.Config.Capacity.SilentAfter
	drained, since := c.drainedSince(s, now, t.ID)
	out.DrainSince = since
	switch {
	case stopping, drained && since == 0:
		out.State = plan.Leaving
		out.DrainSince = max(since, 1)
	case t.State == platform.TargetLeaving || t.State == platform.TargetStopped:
		out.State = plan.Leaving
	case drained:
		out.State = plan.Draining
	case t.State == platform.TargetStarting:
		out.State = plan.Starting
	}
	return out
}

// drainedSince returns whether the target is drained and since when every instance
// knows it: all that answer have read the drain, and those that do not are too
// stale to serve.
func (c *Controller) drainedSince(s *control.Snapshot, now time.Duration, target string) (drained bool, since time.Duration) {
	offset := s.Drains[target]
	if offset == 0 {
		delete(c.drain, target)
		return false, 0
	}
	d, known := c.drain[target]
	if !known {
		d.first = now
	}
	if d.everywhere == 0 && knowOf(s, now-d.first, offset) {
		d.everywhere = now
	}
	c.drain[target] = d
	return true, d.everywhere
}

func knowOf(s *control.Snapshot, passed time.Duration, offset record.Offset) bool {
	for _, p := range s.Peers {
		silent := p.Suspect && passed > s.Config.Control.FreshFor
		if p.Offset < int64(offset) && !silent {
			return false
		}
	}
	return true
}

// trim forgets targets that the platform does not list any more.
func (c *Controller) trim(s *control.Snapshot) {
	listed := make(map[string]bool, len(s.Platform))
	for _, t := range s.Platform {
		listed[t.ID] = true
	}
	for id := range c.since {
		if !listed[id] {
			delete(c.since, id)
			delete(c.drain, id)
		}
	}
}

// prices sums what the targets cost by data centre.
func prices(cfg *config.Config, targets []plan.Target) []measure.Price {
	sums := map[plan.Place]*measure.Price{}
	for i := range targets {
		t := &targets[i]
		s := cfg.Service(t.Service)
		if s == nil {
			continue
		}
		at := plan.Place{DataCentre: t.DataCentre, Cheap: t.Cheap}
		if sums[at] == nil {
			sums[at] = &measure.Price{DataCentre: t.DataCentre, Cheap: t.Cheap}
		}
		sums[at].Targets++
		if t.Cheap {
			sums[at].PerHour += s.CheapPerHour
		} else {
			sums[at].PerHour += s.CostPerHour
		}
	}
	out := make([]measure.Price, 0, len(sums))
	for _, p := range sums {
		out = append(out, *p)
	}
	return out
}
