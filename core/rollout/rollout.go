// Package rollout plans the weight update of one service: which engines load a new weight
// version, and when, so that the others keep serving callers and trainers. It is given the
// desired version, the engines' reports and the outcomes of orders, and returns the orders
// to send. It performs no I/O and has no clock.
//
// It limits how many engines load at once, spreads the loads over the data centres and
// never orders an older version. Its caller sends the orders and reports each outcome.
// Nothing needs to be stored: a new lease holder starts with an empty Rollout, which
// orders a load for every engine that does not report the desired version.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Target is an engine as reported by its owner.
type Target struct {
	ID         string
	DataCentre string
	Version    int64 // weight version that the engine reports; zero: unknown
	Load       int   // requests granted and waiting
	Leaving    bool  // terminating or draining
}

// Limits are the settings of a weight update.
type Limits struct {
	Parallel            int           // engines that load at once; zero: a quarter
	MaxFailures         int           // consecutive failed loads that take an engine out of service
	InitialBackoff      time.Duration // before the retry after the first failure; doubles with each further one
	MaxBackoff          time.Duration
	OutOfServiceBackoff time.Duration // before a load is retried on an engine out of service
	ReportLag           time.Duration // maximum delay until the reports show a confirmed load
}

// LoadOrder is an order to one engine to load a version.
type LoadOrder struct {
	Target  string
	Version int64
}

// By default, 1/defaultParallelDivisor of a service's engines load at once.
const defaultParallelDivisor = 4

// At most 1/outOfServiceDivisor of a service's engines are out of service.
const outOfServiceDivisor = 2

// targetState is the state of one engine's weight update.
type targetState struct {
	loading      bool
	dataCentre   string
	version      int64         // as last reported
	confirmed    int64         // version of a confirmed load that the reports do not show yet
	confirmedAt  time.Duration // valid if confirmed is not zero
	failures     int           // consecutive
	retryAt      time.Duration // no order before it
	outOfService bool
}

// Rollout plans the orders that bring the engines of one service to the desired version.
type Rollout struct {
	limits    Limits
	desired   int64
	desiredAt time.Duration
	completed bool
	targets   map[string]*targetState
}

// New returns a Rollout without a desired version.
func New(limits Limits) *Rollout {
	return &Rollout{limits: limits, targets: map[string]*targetState{}}
}

// SetParallel sets how many engines load at once.
func (r *Rollout) SetParallel(n int) { r.limits.Parallel = n }

// Desired returns the version that the engines are brought to.
func (r *Rollout) Desired() int64 { return r.desired }

// SetDesired sets the version that the engines are brought to, and lets engines whose
// loads failed be tried again at once. A version that is not newer is ignored: responses
// of the weight store may arrive out of order.
func (r *Rollout) SetDesired(now time.Duration, version int64) {
	if version <= r.desired {
		return
	}
	r.desired, r.desiredAt, r.completed = version, now, false
	for _, state := range r.targets {
		state.retryAt = min(state.retryAt, now)
	}
}

// Plan applies the engines' reports and returns the orders to send now. The caller must
// call Done for each of them.
func (r *Rollout) Plan(now time.Duration, targets []Target) []LoadOrder {
	r.update(now, targets)
	if r.desired == 0 {
		return nil
	}
	loading := map[string]int{} // by data centre
	free := r.parallel(len(targets))
	for _, state := range r.targets {
		if state.loading {
			loading[state.dataCentre]++
			free--
		}
	}
	if free <= 0 {
		return nil
	}
	candidates := r.candidates(now, targets)
	return r.spread(candidates, loading, free)
}

// parallel returns how many of n engines may load at once.
func (r *Rollout) parallel(n int) int {
	if r.limits.Parallel > 0 {
		return r.limits.Parallel
	}
	return max(1, n/defaultParallelDivisor)
}

// update applies the reports. An engine that is no longer reported is removed once no load
// is in progress.
func (r *Rollout) update(now time.Duration, targets []Target) {
	present := make(map[string]bool, len(targets))
	for i := range targets {
		t := &targets[i]
		present[t.ID] = true
		state := r.targets[t.ID]
		if state == nil {
			state = &targetState{dataCentre: t.DataCentre}
			r.targets[t.ID] = state
		}
		state.version = t.Version
		switch {
		case t.Version > 0 && t.Version >= r.desired:
			state.failures, state.outOfService, state.confirmed = 0, false, 0
		case state.confirmed != 0 && now-state.confirmedAt >= r.limits.ReportLag:
			state.confirmed = 0 // the engine's reports contradict its confirmation
			r.recordFailure(now, state)
		}
	}
	for id, state := range r.targets {
		if !present[id] && !state.loading {
			delete(r.targets, id)
		}
	}
}

// candidates returns the engines that may be ordered to load, by data centre. Engines of
// unknown version (0) come first: they produce nothing for trainers, since the version of
// their samples is unknown. Then come the oldest versions, then the engines with the fewest
// requests.
func (r *Rollout) candidates(now time.Duration, targets []Target) map[string][]*Target {
	candidates := map[string][]*Target{}
	for i := range targets {
		t := &targets[i]
		state := r.targets[t.ID]
		confirmed := state.confirmed >= r.desired && state.confirmed != 0
		if t.Leaving || state.loading || confirmed || t.Version >= r.desired || now < state.retryAt {
			continue
		}
		candidates[t.DataCentre] = append(candidates[t.DataCentre], t)
	}
	for _, engines := range candidates {
		slices.SortFunc(engines, func(a, b *Target) int {
			return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
		})
	}
	return candidates
}

// spread returns up to free orders, each for the data centre with the fewest loads in
// progress, so that no data centre loses all its capacity at once.
func (r *Rollout) spread(candidates map[string][]*Target, loading map[string]int, free int) []LoadOrder {
	dataCentres := make([]string, 0, len(candidates))
	for name := range candidates {
		dataCentres = append(dataCentres, name)
	}
	slices.Sort(dataCentres)
	var orders []LoadOrder
	for free > 0 {
		dataCentres = slices.DeleteFunc(dataCentres, func(name string) bool { return len(candidates[name]) == 0 })
		if len(dataCentres) == 0 {
			return orders
		}
		dataCentre := slices.MinFunc(dataCentres, func(a, b string) int { return loading[a] - loading[b] })
		t := candidates[dataCentre][0]
		candidates[dataCentre] = candidates[dataCentre][1:]
		loading[dataCentre]++
		free--
		r.targets[t.ID].loading = true
		orders = append(orders, LoadOrder{Target: t.ID, Version: r.desired})
	}
	return orders
}

// Done records the outcome of an order; ok means that the engine confirmed the load. After a
// confirmation the engine gets no further order for that version. If its reports still lack
// the version ReportLag later, the load counts as failed.
func (r *Rollout) Done(now time.Duration, o LoadOrder, ok bool) {
	state := r.targets[o.Target]
	if state == nil || !state.loading {
		return
	}
	state.loading = false
	if !ok {
		r.recordFailure(now, state)
		return
	}
	state.confirmed, state.confirmedAt = o.Version, now
}

// recordFailure sets when the engine is tried again, and takes it out of service after too
// many consecutive failures.
func (r *Rollout) recordFailure(now time.Duration, state *targetState) {
	state.failures++
	if state.failures >= r.limits.MaxFailures {
		state.outOfService = true
		state.retryAt = now + r.limits.OutOfServiceBackoff
		return
	}
	backoff := r.limits.InitialBackoff << (state.failures - 1)
	state.retryAt = now + min(backoff, r.limits.MaxBackoff)
}

// OutOfService returns the sorted ids of the engines whose loads failed too often. They get
// no new work until a later load succeeds. At most half of the engines are returned, those
// of unknown and of the oldest versions first: a version that no engine can load must not
// take the whole service down.
func (r *Rollout) OutOfService() []string {
	var ids []string
	for id, state := range r.targets {
		if state.outOfService {
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

// Completed returns, once per version, the time since SetDesired as soon as every engine in
// service reports the desired version or a newer one.
func (r *Rollout) Completed(now time.Duration, targets []Target) (time.Duration, bool) {
	if r.completed || r.desired == 0 || len(targets) == 0 {
		return 0, false
	}
	for i := range targets {
		t := &targets[i]
		state := r.targets[t.ID]
		if t.Leaving || state != nil && state.outOfService {
			continue
		}
		if t.Version < r.desired {
			return 0, false
		}
	}
	r.completed = true
	return now - r.desiredAt, true
}
