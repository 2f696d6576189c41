package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// shrinkDivisor of a service's targets is drained at once, at least one.
const shrinkDivisor = 10

// pass is one decision in the making.
type pass struct {
	p          *Planner
	cfg        *config.Config
	in         *Input
	hourlyCost float64 // currency units per hour, of all targets and the starts so far
	needs      map[string]Requirement
	serving    map[Pool]int // targets that serve, by place
	out        Decision
}

func newRound(p *Planner, cfg *config.Config, in *Input) *pass {
	r := &pass{p: p, cfg: cfg, in: in, needs: map[string]Requirement{}, serving: map[Pool]int{}}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		r.needs[s.Name] = RequiredTargets(cfg, s, in.Demand[s.Name], in.WallTime)
	}
	in.Targets = slices.Clone(in.Targets)
	for i := range in.Targets {
		t := &in.Targets[i]
		r.hourlyCost += r.price(t.Service, t.Cheap)
		if t.serves() {
			r.serving[Pool{t.Service, t.DataCentre, t.Cheap}]++
		}
	}
	return r
}

// price returns the cost per hour of a target. One of a service that is not
// configured any more is not known to cost anything.
func (r *pass) price(service string, cheap bool) float64 {
	s := r.cfg.Service(service)
	switch {
	case s == nil:
		return 0
	case cheap:
		return s.CheapPerHour
	default:
		return s.CostPerHour
	}
}

// count returns the service's serving targets of one kind.
func (r *pass) count(service string, cheap bool) int {
	n := 0
	for at, have := range r.serving {
		if at.Service == service && at.Cheap == cheap {
			n += have
		}
	}
	return n
}

// replaceUnresponsive drains a target that does not answer, so that it does not count as
// capacity. One of a service at a time: where an owner's network is at fault and
// not the targets, the others must stay.
func (r *pass) replaceUnresponsive(s *config.Service) {
	var first *Target
	for i := range r.in.Targets {
		t := &r.in.Targets[i]
		if t.Service != s.Name || !t.Unresponsive {
			continue
		}
		if t.State == Draining || t.State == Terminating {
			return
		}
		if t.State == Running && first == nil {
			first = t
		}
	}
	if first != nil {
		r.drainTarget(first)
	}
}

// ensureMinimum orders the safe targets that the service runs at all times.
func (r *pass) ensureMinimum(s *config.Service) {
	for have := r.total(s); have < s.MinTargets; have++ {
		if at, found := r.choosePool(s, false); !found || !r.start(s, at) {
			return
		}
	}
}

// grow orders what the service needs. Safe targets stand in for cheap ones that
// cannot be had.
func (r *pass) grow(s *config.Service) {
	need := r.needs[s.Name]
	for cheap := r.count(s.Name, true); cheap < need.Cheap && r.total(s) < s.MaxTargets; cheap++ {
		if at, found := r.choosePool(s, true); !found || !r.start(s, at) {
			break
		}
	}
	for r.total(s) < need.Total() || r.count(s.Name, false) < need.OnDemand && r.total(s) < s.MaxTargets {
		if at, found := r.choosePool(s, false); !found || !r.start(s, at) {
			return
		}
	}
}

// total returns the service's serving targets.
func (r *pass) total(s *config.Service) int { return r.count(s.Name, false) + r.count(s.Name, true) }

// choosePool returns the data centre with the fewest targets that may get one more.
func (r *pass) choosePool(s *config.Service, cheap bool) (Pool, bool) {
	best, found := Pool{}, false
	for _, dc := range r.cfg.DataCentres {
		at := Pool{s.Name, dc.Name, cheap}
		if dc.Cheap != cheap || r.p.blocked(r.in, at) {
			continue
		}
		if cheap && r.serving[at] >= maxCheapPerDataCentre(r.cfg, r.needs[s.Name].Total()) {
			continue
		}
		if !found || r.serving[at] < r.serving[best] {
			best, found = at, true
		}
	}
	return best, found
}

// start orders a target unless the cost limit prevents it.
func (r *pass) start(s *config.Service, at Pool) bool {
	price := r.price(s.Name, at.Cheap)
	if r.hourlyCost+price > r.cfg.Cost.LimitPerHour {
		r.out.CostLimited++
		return false
	}
	r.hourlyCost += price
	r.serving[at]++
	r.out.Starts = append(r.out.Starts, Order{Action: record.ActionStart, Service: s.Name, DataCentre: at.DataCentre, Cheap: at.Cheap})
	return true
}

// shrink drains targets of a surplus that has lasted.
func (r *pass) shrink(s *config.Service) {
	need := r.needs[s.Name]
	for _, cheap := range []bool{false, true} {
		want := need.OnDemand
		if cheap {
			want = need.Cheap
		}
		key := surplusKey{s.Name, cheap}
		over := r.count(s.Name, cheap) - want
		// Safe targets stand in for cheap ones that cannot be had.
		over = min(over, r.total(s)-need.Total())
		since, known := r.p.surplusSince[key]
		switch {
		case over <= 0:
			delete(r.p.surplusSince, key)
		case !known:
			r.p.surplusSince[key] = r.in.Now
		case r.in.Now-since >= r.shrinkAfter(s.Name):
			r.p.surplusSince[key] = r.in.Now
			r.drainSurplus(s.Name, cheap, min(over, max(1, r.count(s.Name, cheap)/shrinkDivisor)))
		}
	}
}

// shrinkAfter returns how long a surplus must last: a whole step where steps are
// sampled, because their need falls until the next one starts, also while the
// trainer trains in between.
func (r *pass) shrinkAfter(service string) time.Duration {
	after := r.cfg.Capacity.ShrinkAfter
	at, stepped := r.p.lastOpenStep[service]
	for i := range r.cfg.Trainers {
		if t := &r.cfg.Trainers[i]; t.Service == service && stepped && r.in.Now-at < t.StepDeadline {
			after = max(after, t.StepDeadline)
		}
	}
	return after
}

// drainSurplus takes up to n targets from the data centres with the most, the idlest first.
func (r *pass) drainSurplus(service string, cheap bool, n int) {
	for range n {
		var best *Target
		for i := range r.in.Targets {
			t := &r.in.Targets[i]
			young := r.in.Now-t.FirstSeen < r.cfg.Capacity.MinLifetime
			if t.Service != service || t.Cheap != cheap || t.State != Running || young {
				continue
			}
			if best == nil || r.compareForDrain(t, best) < 0 {
				best = t
			}
		}
		if best == nil {
			return
		}
		r.drainTarget(best)
	}
}

func (r *pass) compareForDrain(a, b *Target) int {
	return cmp.Or(
		cmp.Compare(r.serving[Pool{b.Service, b.DataCentre, b.Cheap}], r.serving[Pool{a.Service, a.DataCentre, a.Cheap}]),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.ID, b.ID),
	)
}

func (r *pass) drainTarget(t *Target) {
	r.serving[Pool{t.Service, t.DataCentre, t.Cheap}]--
	t.State, t.DrainSince = Draining, r.in.Now
	r.out.Drains = append(r.out.Drains, t.ID)
}

// enforceCostLimit drains targets while the deployment costs more than its limit, as
// after the limit was lowered: the last service first, above its minimum first.
func (r *pass) enforceCostLimit() {
	after := 0.0
	for i := range r.in.Targets {
		if t := &r.in.Targets[i]; t.serves() || t.State == Unreachable {
			after += r.price(t.Service, t.Cheap)
		}
	}
	for _, floor := range []bool{true, false} {
		for i := len(r.cfg.Services) - 1; i >= 0; i-- {
			s := &r.cfg.Services[i]
			for after > r.cfg.Cost.LimitPerHour {
				if floor && r.total(s) <= s.MinTargets {
					break
				}
				t := r.mostExpensive(s.Name)
				if t == nil {
					break
				}
				after -= r.price(t.Service, t.Cheap)
				r.drainTarget(t)
			}
		}
	}
}

// mostExpensive returns the service's running target that costs most, the idlest first.
func (r *pass) mostExpensive(service string) *Target {
	var best *Target
	for i := range r.in.Targets {
		t := &r.in.Targets[i]
		if t.Service != service || t.State != Running {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(r.price(best.Service, best.Cheap), r.price(t.Service, t.Cheap)), cmp.Compare(t.Load, best.Load)) < 0 {
			best = t
		}
	}
	return best
}

// stop orders the end of drained targets that are idle. The report of their load
// must be newer than the time that a drain takes to reach every instance.
func (r *pass) stop() {
	for i := range r.in.Targets {
		t := &r.in.Targets[i]
		settled := t.DrainSince + r.cfg.Capacity.DrainSettle
		if t.State != Draining || t.Load > 0 || t.LoadReportedAt < settled || r.in.Now < settled {
			continue
		}
		r.out.Stops = append(r.out.Stops, Order{
			Action: record.ActionStop, Service: t.Service, DataCentre: t.DataCentre, Cheap: t.Cheap, Target: t.ID,
		})
	}
	slices.SortFunc(r.out.Stops, func(a, b Order) int { return cmp.Compare(a.Target, b.Target) })
}
