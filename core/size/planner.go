package size

import (
	"cmp"
	"slices"
	"time"
)

// Settings hold what a planner is told.
type Settings struct {
	// Boot is the time from an order to the registration of a target, until one is observed;
	// zero: not stated.
	Boot time.Duration
	// Lapse is how long the entry of a running target may be missing.
	Lapse time.Duration
}

// Input is what a planner decides by.
type Input struct {
	Targets   []Target
	Evacuated []string // data centres in which nothing is ordered, with or without targets
	Load      Load
	Bounds    Bounds
}

// Order requests that the service have Count targets in a data centre, of which Running may be
// there already.
type Order struct {
	DataCentre     string
	Count, Running int
	Repeat         bool // an earlier order of the same number got no answer
}

// Plan is a decision with its inputs. All numbers are of targets.
type Plan struct {
	Orders  []Order
	Wanted  int           // by the load
	Usable  int           // take requests now
	Absent  int           // expected back within the boot time
	Pending int           // ordered, not running yet
	Missing int           // Wanted without the others; not negative
	Boot    time.Duration // estimated
	Reason  string        // why targets are missing, or why no more are ordered
}

// Reasons of plans.
const (
	ReasonCovered = "covered"
	ReasonReclaim = "targets are reclaimed"
	ReasonEvacuee = "a data centre is evacuated"
	ReasonLoss    = "the targets of a data centre are lost"
	ReasonLate    = "jobs are nearly late"
	ReasonMissing = "targets stay away"
	ReasonEnds    = "the demand ends before a target would be ready"
	ReasonNone    = "no data centre may be asked now"
)

// Planner decides which targets to order for a service.
//
// Load pattern: the targets of a data centre are reclaimed at seconds' notice, evacuated, or
// crash together, while other data centres may refuse orders. A replacement takes the boot time,
// most of a job's deadline, so an order after queues have grown comes a step late; but each
// target that is not needed is paid for until the deployment ends.
//
// The peak of the load is covered by as many targets as served it in time before, or, if jobs
// are nearly late, by a slot for each of its tasks. It is not safe for concurrent use.
type Planner struct {
	lapse     time.Duration
	boot      boot
	fleet     fleet
	suppliers map[string]*supplier
	level     int           // most usable targets within loadWindow
	levelAt   time.Duration // when there were as many
}

// NewPlanner returns a planner that knows no targets.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		lapse: max(0, s.Lapse), boot: boot{named: max(0, s.Boot)},
		fleet: fleet{members: map[string]*member{}}, suppliers: map[string]*supplier{},
	}
}

// Observe updates the planner without a plan. An instance that does not order targets calls it,
// so that it knows what is missing when it begins to.
func (p *Planner) Observe(now time.Duration, in Input) {
	for _, t := range p.fleet.observe(now, in.Targets) {
		s := p.supplier(t.DataCentre)
		if s.count > 0 && !s.unknown && !s.measured {
			s.measured = true
			p.boot.observe(now, now-s.sentAt)
		}
	}
	usable := 0
	for _, m := range p.fleet.members {
		if m.usable {
			usable++
		}
	}
	if usable >= p.level || now-p.levelAt > loadWindow {
		p.level, p.levelAt = usable, now
	}
}

// Plan updates the planner and returns what to order now. SetOutcome must follow for each order.
func (p *Planner) Plan(now time.Duration, in Input) Plan {
	p.Observe(now, in)
	plan := Plan{Boot: p.boot.estimate(now)}
	zones := p.fleet.zones(now, max(p.lapse, plan.Boot))
	for dataCentre := range in.Bounds.Prices {
		if zones[dataCentre] == nil {
			zones[dataCentre] = &zone{}
		}
	}
	for _, dataCentre := range in.Evacuated {
		if z := zones[dataCentre]; z != nil {
			z.evacuated = true
		}
	}
	for dataCentre, z := range zones {
		s := p.supplier(dataCentre)
		s.expire(now, plan.Boot, z.running)
		if z.leaving > 0 {
			s.avoid = max(s.avoid, z.leaving+plan.Boot)
		}
		s.noteLoss(now, plan.Boot, z.lost)
		plan.Usable += z.usable
		plan.Absent += z.absent
		if !z.evacuated {
			plan.Pending += s.pending(now, plan.Boot, z.running)
		}
	}
	plan.Wanted = p.wanted(in.Load)
	plan.Missing = max(0, plan.Wanted-plan.Usable-plan.Absent-plan.Pending)
	if now+plan.Boot >= in.Load.Ends {
		plan.Reason = ReasonCovered
		if plan.Missing > 0 {
			plan.Reason = ReasonEnds
		}
		return plan
	}
	plan.Reason = cause(zones, in.Load, plan.Missing)
	plan.Orders = append(p.repeats(now, in.Bounds, zones, plan), p.spread(now, in.Bounds, zones, plan.Missing)...)
	if plan.Missing > 0 && len(plan.Orders) == 0 {
		plan.Reason = ReasonNone
	}
	return plan
}

// SetOutcome records the outcome of an order.
func (p *Planner) SetOutcome(now time.Duration, o Order, outcome Outcome) {
	s, bootTime := p.supplier(o.DataCentre), p.boot.estimate(now)
	if s.count != o.Count || !s.unknown {
		s.sentAt, s.measured = now, false
	}
	s.askedAt, s.count = now, o.Count
	switch outcome {
	case Accepted:
		if s.unknown {
			s.sentAt = now
		}
		s.unknown = false
	case Refused:
		s.count, s.unknown = 0, false
		s.refuse(now, bootTime)
	default:
		s.unknown = true
	}
}

// ForgetOrders drops the open orders: others may have ordered since. What was refused is kept.
func (p *Planner) ForgetOrders() {
	for _, s := range p.suppliers {
		s.count, s.unknown = 0, false
	}
}

func (p *Planner) supplier(dataCentre string) *supplier {
	s := p.suppliers[dataCentre]
	if s == nil {
		s = &supplier{}
		p.suppliers[dataCentre] = s
	}
	return s
}

// wanted returns the number of targets for the load.
func (p *Planner) wanted(l Load) int {
	slots := p.fleet.slots
	switch {
	case l.Short && slots <= 0:
		return 1 // its entry will tell how many tasks it runs
	case slots <= 0:
		return 0
	case l.Short:
		return l.PeakTasks/slots + 1
	}
	// Tasks that find no slot wait for a whole task, so a job takes as many waves as there are
	// tasks for a slot. The deadline may leave time for more waves than there were.
	waves := 1
	if p.level > 0 && l.JobTime > 0 && l.Deadline > 0 {
		before := max(1, ceilDiv(l.PeakTasks, p.level*slots))
		wave := l.JobTime / time.Duration(before)
		waves = max(1, int(maxDueFraction*float64(l.Deadline)/float64(max(1, wave))))
	}
	return min(p.level, ceilDiv(l.PeakTasks, min(waves, max(1, l.PeakTasks))*slots))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// cause returns why targets are missing.
func cause(zones map[string]*zone, l Load, missing int) string {
	reclaimed, evacuated, lost := false, false, false
	for _, z := range zones {
		reclaimed = reclaimed || z.leaving > 0
		evacuated = evacuated || z.evacuated
		lost = lost || z.lost
	}
	switch {
	case missing <= 0:
		return ReasonCovered
	case l.Short:
		return ReasonLate
	case reclaimed:
		return ReasonReclaim
	case evacuated:
		return ReasonEvacuee
	case lost:
		return ReasonLoss
	default:
		return ReasonMissing
	}
}

// repeats returns the orders without an answer that are still needed, with the same numbers.
func (p *Planner) repeats(now time.Duration, b Bounds, zones map[string]*zone, plan Plan) []Order {
	var out []Order
	for _, dataCentre := range byPrice(b) {
		s, z := p.supplier(dataCentre), zones[dataCentre]
		needed := plan.Missing+s.pending(now, plan.Boot, z.running) > 0
		if s.unknown && needed && !z.evacuated && s.count <= b.Max && now-s.askedAt >= repeatDelay {
			out = append(out, Order{dataCentre, s.count, z.running, true})
		}
	}
	return out
}

// spread distributes the missing targets over the data centres that may be asked: each to the
// one with the fewest, at equal numbers to the cheapest. A data centre without any of its
// targets gets the rest only.
func (p *Planner) spread(now time.Duration, b Bounds, zones map[string]*zone, missing int) []Order {
	type offer struct {
		Order
		lost        bool
		has, stated int // targets that are or will be usable; total that an order has to state
	}
	var offers []*offer
	for _, dataCentre := range byPrice(b) {
		s, z := p.supplier(dataCentre), zones[dataCentre]
		if z.evacuated || s.unknown || now < s.avoid {
			continue
		}
		pending := s.pending(now, p.boot.estimate(now), z.running)
		offers = append(offers, &offer{Order{DataCentre: dataCentre, Running: z.running}, z.lost, z.usable + z.absent + pending, max(z.running, s.count)})
	}
	for ; missing > 0; missing-- {
		var best *offer
		for _, o := range offers {
			if max(o.Count, o.stated) >= b.Max {
				continue
			}
			if best == nil || best.lost && !o.lost || best.lost == o.lost && o.has < best.has {
				best = o
			}
		}
		if best == nil {
			break
		}
		best.Count = min(max(best.Count, best.stated)+1, b.Max)
		best.has++
	}
	var out []Order
	for _, o := range offers {
		if o.Count > 0 {
			o.Count = min(max(o.Count, b.Min), b.Max)
			out = append(out, o.Order)
		}
	}
	return out
}

// byPrice returns the data centres with a price, the cheapest first.
func byPrice(b Bounds) []string {
	out := make([]string, 0, len(b.Prices))
	for dataCentre := range b.Prices {
		out = append(out, dataCentre)
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.Prices[x], b.Prices[y]), cmp.Compare(x, y))
	})
	return out
}
