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

// listTimeout is the longest time that a read of a data centre's list of targets may take.
const listTimeout = 3 * time.Second

// planningView is the planner's input, built from one snapshot of the control state.
type planningView struct {
	targets     []plan.Target
	demand      map[string]plan.Demand // by service
	unreachable map[string]bool        // data centres whose list of targets is outdated
}

// buildPlanningView combines the platform's lists, open orders, drains and loads. A start
// that no list shows yet is a target in state Starting, or Unreachable if its data
// centre's list is outdated.
func (c *Controller) buildPlanningView(s *control.Snapshot, now time.Duration, loads map[string]control.ReportedLoad) planningView {
	v := planningView{demand: map[string]plan.Demand{}, unreachable: map[string]bool{}}
	for _, dc := range s.Config.DataCentres {
		v.unreachable[dc.Name] = now-s.TargetsRequestedAt[dc.Name] > s.Config.Capacity.OrderLag+listTimeout
	}
	starts, stopping := openOrders(s)
	listed := map[string]bool{}
	for _, t := range s.PlatformTargets {
		listed[t.OrderID] = true
		v.targets = append(v.targets, c.planTarget(s, now, t, loads[t.ID], stopping[t.ID]))
		load := loads[t.ID]
		d := v.demand[t.Service]
		d.Callers += load.Load - load.Samples
		d.Samples += load.Samples
		v.demand[t.Service] = d
	}
	for id, o := range starts {
		if listed[id] {
			continue
		}
		t := plan.Target{Service: o.Service, DataCentre: o.DataCentre, Cheap: o.Cheap, State: plan.Starting, FirstSeen: now}
		if v.unreachable[o.DataCentre] {
			t.State = plan.Unreachable
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
	c.removeUnlisted(s)
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

// planTarget returns a listed target as the planner's input. A target that is being
// stopped, or whose drain some instance may not have read yet, is Terminating: it does not
// count as capacity, and the planner does not stop it.
func (c *Controller) planTarget(s *control.Snapshot, now time.Duration, t platform.Target, load control.ReportedLoad, stopping bool) plan.Target {
	if _, seen := c.firstSeen[t.ID]; !seen {
		c.firstSeen[t.ID] = now
	}
	out := plan.Target{
		ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Cheap: t.Cheap, State: plan.Running,
		FirstSeen: c.firstSeen[t.ID], Load: max(load.Load, load.Running), LoadReportedAt: load.At,
	}
	out.Unresponsive = load.UnresponsiveFor >= s.Config.Capacity.SilentAfter
	drained, since := c.drainedSince(s, now, t.ID)
	out.DrainSince = since
	switch {
	case stopping, drained && since == 0:
		out.State = plan.Terminating
		// DrainSince must not be zero: the planner treats a Terminating cheap target without
		// a drain as one that the platform reclaims, and pauses cheap starts in its data
		// centre. Cheap targets are spot capacity, which the platform can reclaim with a
		// whole data centre at short notice.
		out.DrainSince = max(since, 1)
	case t.State == platform.TargetLeaving || t.State == platform.TargetStopped:
		out.State = plan.Terminating
	case drained:
		out.State = plan.Draining
	case t.State == platform.TargetStarting:
		out.State = plan.Starting
	}
	return out
}

// drainedSince returns whether the target is drained and since when no instance can send
// new requests to it: since then, every peer has read the drain, or is suspect and, if it
// has not read the drain, has a state too old to serve requests. Until then, since is zero.
func (c *Controller) drainedSince(s *control.Snapshot, now time.Duration, target string) (drained bool, since time.Duration) {
	offset := s.Drains[target]
	if offset == 0 {
		delete(c.drains, target)
		return false, 0
	}
	d, tracked := c.drains[target]
	if !tracked {
		d.firstSeen = now
	}
	if d.readByAllAt == 0 && readByAllPeers(s, now-d.firstSeen, offset) {
		d.readByAllAt = now
	}
	c.drains[target] = d
	return true, d.readByAllAt
}

// readByAllPeers reports whether every peer has read the log up to offset, which contains a
// drain. A suspect peer's offset is not received. It counts as having read the drain once
// more than FreshFor has elapsed since this instance first observed the drain: an instance
// whose state is older than FreshFor refuses requests.
func readByAllPeers(s *control.Snapshot, elapsed time.Duration, offset record.Offset) bool {
	for _, p := range s.Peers {
		unresponsive := p.Suspect && elapsed > s.Config.Control.FreshFor
		if p.Offset < int64(offset) && !unresponsive {
			return false
		}
	}
	return true
}

// removeUnlisted discards the state of targets that the platform no longer lists.
func (c *Controller) removeUnlisted(s *control.Snapshot) {
	listed := make(map[string]bool, len(s.PlatformTargets))
	for _, t := range s.PlatformTargets {
		listed[t.ID] = true
	}
	for id := range c.firstSeen {
		if !listed[id] {
			delete(c.firstSeen, id)
			delete(c.drains, id)
		}
	}
}

// costsByPool sums the targets' costs per hour by data centre, cheap targets apart.
func costsByPool(cfg *config.Config, targets []plan.Target) []measure.TargetCost {
	sums := map[plan.Pool]*measure.TargetCost{}
	for i := range targets {
		t := &targets[i]
		s := cfg.Service(t.Service)
		if s == nil {
			continue
		}
		pool := plan.Pool{DataCentre: t.DataCentre, Cheap: t.Cheap}
		if sums[pool] == nil {
			sums[pool] = &measure.TargetCost{DataCentre: t.DataCentre, Cheap: t.Cheap}
		}
		sums[pool].Targets++
		if t.Cheap {
			sums[pool].PerHour += s.CheapPerHour
		} else {
			sums[pool].PerHour += s.CostPerHour
		}
	}
	out := make([]measure.TargetCost, 0, len(sums))
	for _, p := range sums {
		out = append(out, *p)
	}
	return out
}
