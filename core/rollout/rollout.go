// Package rollout decides which engines change to a new weight version, and
// when, so that callers and trainers stay served meanwhile. It performs no I/O.
//
// The state is what the engines report: a successor in charge starts with an
// empty Rollout and orders whatever is not on the wanted version.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Target is an engine as its owner reports it.
type Target struct {
	ID         string
	DataCentre string
	Version    int64 // weights that the engine says it runs; zero: unknown
	Load       int   // requests granted and waiting
	Leaving    bool
}

// Limits shape a roll-out.
type Limits struct {
	Parallel            int           // engines that change at once; zero: a quarter
	MaxFailures         int           // failures in a row before a target is taken out
	InitialBackoff      time.Duration // after a failure; doubles with each
	MaxBackoff          time.Duration
	OutOfServiceBackoff time.Duration // before a target that was taken out is tried again
	ReportLag           time.Duration // how long a report may lag an engine's confirmation
}

// Update asks for one engine to change to a version.
type Update struct {
	Target  string
	Version int64
}

// defaultParallelDivisor is the share of a service's engines that change at once by default.
const defaultParallelDivisor = 4

// outOfServiceDivisor is one over the share of the targets that may be out at once.
const outOfServiceDivisor = 2

// targetState is what is known of one target besides its reports.
type targetState struct {
	swapping     bool
	dataCentre   string
	version      int64         // as last reported
	confirmed    int64         // version whose change the engine confirmed
	confirmedAt  time.Duration // valid while confirmed is not zero
	failures     int           // in a row
	retryAt      time.Duration
	outOfService bool
}

// Rollout brings the engines of one service to the newest version.
type Rollout struct {
	limits    Limits
	desired   int64
	desiredAt time.Duration
	completed bool
	targets   map[string]*targetState
}

// New returns a roll-out that wants nothing yet.
func New(limits Limits) *Rollout {
	return &Rollout{limits: limits, targets: map[string]*targetState{}}
}

// SetParallel changes how many engines change at once.
func (r *Rollout) SetParallel(n int) { r.limits.Parallel = n }

// Desired returns the version that the engines are brought to.
func (r *Rollout) Desired() int64 { return r.desired }

// SetDesired makes version the goal. An older one than before is ignored: answers of
// the store may come crossed.
func (r *Rollout) SetDesired(now time.Duration, version int64) {
	if version <= r.desired {
		return
	}
	r.desired, r.desiredAt, r.completed = version, now, false
	for _, p := range r.targets {
		p.retryAt = min(p.retryAt, now)
	}
}

// Plan takes the reports and returns the orders to send now. Each must be
// followed by a call of Done.
func (r *Rollout) Plan(now time.Duration, targets []Target) []Update {
	r.update(now, targets)
	if r.desired == 0 {
		return nil
	}
	busy := map[string]int{} // by data centre
	free := r.parallel(len(targets))
	for _, p := range r.targets {
		if p.swapping {
			busy[p.dataCentre]++
			free--
		}
	}
	if free <= 0 {
		return nil
	}
	waiting := r.candidates(now, targets)
	return r.spread(waiting, busy, free)
}

// parallel returns how many of n engines may change at once.
func (r *Rollout) parallel(n int) int {
	if r.limits.Parallel > 0 {
		return r.limits.Parallel
	}
	return max(1, n/defaultParallelDivisor)
}

// update forgets targets that are gone and takes over what reports tell.
func (r *Rollout) update(now time.Duration, targets []Target) {
	present := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		p := r.targets[t.ID]
		if p == nil {
			p = &targetState{dataCentre: t.DataCentre}
			r.targets[t.ID] = p
		}
		p.version = t.Version
		switch {
		case t.Version > 0 && t.Version >= r.desired:
			p.failures, p.outOfService, p.confirmed = 0, false, 0
		case p.confirmed != 0 && now-p.confirmedAt >= r.limits.ReportLag:
			p.confirmed = 0 // the engine's own reports contradict its answer
			r.recordFailure(now, p)
		}
	}
	for id, p := range r.targets {
		if !present[id] && !p.swapping {
			delete(r.targets, id)
		}
	}
}

// candidates groups the engines to order by data centre: first those that know
// no version and so produce nothing for trainers, then the oldest, then the
// least loaded.
func (r *Rollout) candidates(now time.Duration, targets []Target) map[string][]*Target {
	waiting := map[string][]*Target{}
	for i := range targets {
		t := &targets[i]
		p := r.targets[t.ID]
		confirmed := p.confirmed >= r.desired && p.confirmed != 0
		if t.Leaving || p.swapping || confirmed || t.Version >= r.desired || now < p.retryAt {
			continue
		}
		waiting[t.DataCentre] = append(waiting[t.DataCentre], t)
	}
	for _, list := range waiting {
		slices.SortFunc(list, func(a, b *Target) int {
			return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
		})
	}
	return waiting
}

// spread picks from the data centre with the fewest engines changing, so that
// none loses all its capacity at once.
func (r *Rollout) spread(waiting map[string][]*Target, busy map[string]int, free int) []Update {
	names := make([]string, 0, len(waiting))
	for name := range waiting {
		names = append(names, name)
	}
	slices.Sort(names)
	var orders []Update
	for free > 0 {
		names = slices.DeleteFunc(names, func(name string) bool { return len(waiting[name]) == 0 })
		if len(names) == 0 {
			return orders
		}
		best := slices.MinFunc(names, func(a, b string) int { return busy[a] - busy[b] })
		t := waiting[best][0]
		waiting[best] = waiting[best][1:]
		busy[best]++
		free--
		r.targets[t.ID].swapping = true
		orders = append(orders, Update{Target: t.ID, Version: r.desired})
	}
	return orders
}

// Done notes the outcome of an order. A confirmation counts until the engine's
// reports have had time to show it.
func (r *Rollout) Done(now time.Duration, o Update, ok bool) {
	p := r.targets[o.Target]
	if p == nil || !p.swapping {
		return
	}
	p.swapping = false
	if !ok {
		r.recordFailure(now, p)
		return
	}
	p.confirmed, p.confirmedAt = o.Version, now
}

func (r *Rollout) recordFailure(now time.Duration, p *targetState) {
	p.failures++
	if p.failures >= r.limits.MaxFailures {
		p.outOfService = true
		p.retryAt = now + r.limits.OutOfServiceBackoff
		return
	}
	pause := r.limits.InitialBackoff << (p.failures - 1)
	p.retryAt = now + min(pause, r.limits.MaxBackoff)
}

// OutOfService returns the targets that failed too often, sorted. They get no new work
// until a later attempt succeeds. No more than half of the targets are out: a
// version that no engine can load must not end the service.
func (r *Rollout) OutOfService() []string {
	var ids []string
	for id, p := range r.targets {
		if p.outOfService {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.targets[a].version, r.targets[b].version), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), len(r.targets)/outOfServiceDivisor)]
	slices.Sort(ids)
	return ids
}

// Completed returns, once per version, how long it took until every engine in
// service reported the wanted version.
func (r *Rollout) Completed(now time.Duration, targets []Target) (time.Duration, bool) {
	if r.completed || r.desired == 0 || len(targets) == 0 {
		return 0, false
	}
	for i := range targets {
		t := &targets[i]
		p := r.targets[t.ID]
		if t.Leaving || p != nil && p.outOfService {
			continue
		}
		if t.Version < r.desired {
			return 0, false
		}
	}
	r.completed = true
	return now - r.desiredAt, true
}
