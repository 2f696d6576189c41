package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// shrinkDivisor limits how many targets of one kind, cheap or on-demand, of a service are
// drained in a pass: their number divided by shrinkDivisor, at least one.
const shrinkDivisor = 10

// pass holds the state of one call of Plan.
type pass struct {
	planner    *Planner
	cfg        *config.Config
	in         *Input
	hourlyCost float64                // currency units per hour of all targets and the starts so far
	required   map[string]Requirement // by service
	serving    map[Pool]int           // targets that count as capacity
	decision   Decision
}

func newPass(p *Planner, cfg *config.Config, in *Input) *pass {
	r := &pass{planner: p, cfg: cfg, in: in, required: map[string]Requirement{}, serving: map[Pool]int{}}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		r.required[s.Name] = RequiredTargets(cfg, s, in.Demand[s.Name], in.WallTime)
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

// price returns the cost per hour of a target. It is zero for a service that is no
// longer configured, because its cost is unknown.
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

// servingOfKind returns the number of the service's serving targets, either cheap or
// on-demand.
func (r *pass) servingOfKind(service string, cheap bool) int {
	n := 0
	for pool, count := range r.serving {
		if pool.Service == service && pool.Cheap == cheap {
			n += count
		}
	}
	return n
}

// replaceUnresponsive drains an unresponsive target of the service, so that it doesn't
// count as capacity any more. Only one is replaced at a time: if the cause is the
// network of an owner rather than the targets, the others must stay.
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

// ensureMinimum orders on-demand targets until the service has its minimum.
func (r *pass) ensureMinimum(s *config.Service) {
	for total := r.servingTotal(s); total < s.MinTargets; total++ {
		if pool, found := r.choosePool(s, false); !found || !r.start(s, pool) {
			return
		}
	}
}

// scaleOut orders the targets that the service lacks. On-demand targets replace cheap
// ones that cannot be started.
func (r *pass) scaleOut(s *config.Service) {
	required := r.required[s.Name]
	for cheapCount := r.servingOfKind(s.Name, true); cheapCount < required.Cheap && r.servingTotal(s) < s.MaxTargets; cheapCount++ {
		if pool, found := r.choosePool(s, true); !found || !r.start(s, pool) {
			break
		}
	}
	for r.servingTotal(s) < required.Total() || r.servingOfKind(s.Name, false) < required.OnDemand && r.servingTotal(s) < s.MaxTargets {
		if pool, found := r.choosePool(s, false); !found || !r.start(s, pool) {
			return
		}
	}
}

// servingTotal returns the number of the service's serving targets.
func (r *pass) servingTotal(s *config.Service) int {
	return r.servingOfKind(s.Name, false) + r.servingOfKind(s.Name, true)
}

// choosePool returns the pool with the fewest serving targets that may get one more, or
// false if none may.
func (r *pass) choosePool(s *config.Service, cheap bool) (Pool, bool) {
	best, found := Pool{}, false
	for _, dc := range r.cfg.DataCentres {
		pool := Pool{s.Name, dc.Name, cheap}
		if dc.Cheap != cheap || r.planner.blocked(r.in, pool) {
			continue
		}
		if cheap && r.serving[pool] >= maxCheapPerDataCentre(r.cfg, r.required[s.Name].Total()) {
			continue
		}
		if !found || r.serving[pool] < r.serving[best] {
			best, found = pool, true
		}
	}
	return best, found
}

// start orders a target in the pool. It returns false if the cost limit prevents that.
func (r *pass) start(s *config.Service, pool Pool) bool {
	price := r.price(s.Name, pool.Cheap)
	if r.hourlyCost+price > r.cfg.Cost.LimitPerHour {
		r.decision.CostLimited++
		return false
	}
	r.hourlyCost += price
	r.serving[pool]++
	r.decision.Starts = append(r.decision.Starts, Order{Action: record.ActionStart, Service: s.Name, DataCentre: pool.DataCentre, Cheap: pool.Cheap})
	return true
}

// scaleIn drains targets of a kind whose surplus has lasted for scaleInDelay.
func (r *pass) scaleIn(s *config.Service) {
	required := r.required[s.Name]
	for _, cheap := range []bool{false, true} {
		want := required.OnDemand
		if cheap {
			want = required.Cheap
		}
		key := surplusKey{s.Name, cheap}
		surplus := r.servingOfKind(s.Name, cheap) - want
		// On-demand targets that replace missing cheap ones are not drained.
		surplus = min(surplus, r.servingTotal(s)-required.Total())
		since, recorded := r.planner.surplusSince[key]
		switch {
		case surplus <= 0:
			delete(r.planner.surplusSince, key)
		case !recorded:
			r.planner.surplusSince[key] = r.in.Now
		case r.in.Now-since >= r.scaleInDelay(s.Name):
			r.planner.surplusSince[key] = r.in.Now
			r.drainSurplus(s.Name, cheap, min(surplus, max(1, r.servingOfKind(s.Name, cheap)/shrinkDivisor)))
		}
	}
}

// scaleInDelay returns how long a surplus must last before it is drained. For a service
// that had an open step within the last StepDeadline it is at least StepDeadline: demand
// drops while the trainer trains between two steps, and returns when the next one starts.
func (r *pass) scaleInDelay(service string) time.Duration {
	delay := r.cfg.Capacity.ShrinkAfter
	lastOpen, hadStep := r.planner.lastOpenStep[service]
	for i := range r.cfg.Trainers {
		if t := &r.cfg.Trainers[i]; t.Service == service && hadStep && r.in.Now-lastOpen < t.StepDeadline {
			delay = max(delay, t.StepDeadline)
		}
	}
	return delay
}

// drainSurplus drains up to n running targets that have reached MinLifetime, from the
// data centres with the most targets first, then those with the least load.
func (r *pass) drainSurplus(service string, cheap bool, n int) {
	for range n {
		var best *Target
		for i := range r.in.Targets {
			t := &r.in.Targets[i]
			belowMinLifetime := r.in.Now-t.FirstSeen < r.cfg.Capacity.MinLifetime
			if t.Service != service || t.Cheap != cheap || t.State != Running || belowMinLifetime {
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

// compareForDrain orders targets by preference for draining.
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
	r.decision.Drains = append(r.decision.Drains, t.ID)
}

// enforceCostLimit drains targets while the deployment costs more than its limit, for
// example after the limit was lowered. It first drains services down to their minimum,
// then below it, both starting with the last service of the configuration. Targets that
// are draining or terminating already do not count.
func (r *pass) enforceCostLimit() {
	remainingCost := 0.0
	for i := range r.in.Targets {
		if t := &r.in.Targets[i]; t.serves() || t.State == Unreachable {
			remainingCost += r.price(t.Service, t.Cheap)
		}
	}
	for _, keepMinimum := range []bool{true, false} {
		for i := len(r.cfg.Services) - 1; i >= 0; i-- {
			s := &r.cfg.Services[i]
			for remainingCost > r.cfg.Cost.LimitPerHour {
				if keepMinimum && r.servingTotal(s) <= s.MinTargets {
					break
				}
				t := r.mostExpensive(s.Name)
				if t == nil {
					break
				}
				remainingCost -= r.price(t.Service, t.Cheap)
				r.drainTarget(t)
			}
		}
	}
}

// mostExpensive returns the service's running target with the highest price and, among
// these, the least load. It returns nil if none is running.
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

// stop orders the stop of draining targets that are idle. The idle load must have been
// reported at least DrainSettle after the drain began, the time that a drain takes to
// reach every instance: before that, some may still send requests to the target.
func (r *pass) stop() {
	for i := range r.in.Targets {
		t := &r.in.Targets[i]
		drainSettledAt := t.DrainSince + r.cfg.Capacity.DrainSettle
		if t.State != Draining || t.Load > 0 || t.LoadReportedAt < drainSettledAt || r.in.Now < drainSettledAt {
			continue
		}
		r.decision.Stops = append(r.decision.Stops, Order{
			Action: record.ActionStop, Service: t.Service, DataCentre: t.DataCentre, Cheap: t.Cheap, Target: t.ID,
		})
	}
	slices.SortFunc(r.decision.Stops, func(a, b Order) int { return cmp.Compare(a.Target, b.Target) })
}
