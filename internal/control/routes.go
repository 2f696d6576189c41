package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// After a change of loads only, a new routing table is built when the last one is at least
// loadInterval old, or loadIntervalPerTarget times the number of targets if that is longer.
// Builds thus take about the same share of the control goroutine's time at any number of
// targets. Every other change causes a new table to be built at once.
const (
	loadInterval          = 100 * time.Millisecond
	loadIntervalPerTarget = 40 * time.Microsecond
)

// routing holds the routing table and the inputs that it was built from.
type routing struct {
	table           *route.Table
	platformTargets []platform.Target
	cfg             *config.Config
	owners          []string
	ownerCache      *member.OwnerCache

	targetsChanged bool // targets, their weight versions or their availability
	loadsChanged   bool
	builtAt        time.Duration
}

func newRouting() *routing {
	return &routing{table: route.NewTable(nil), ownerCache: member.NewOwnerCache()}
}

// setTargets replaces a data centre's targets and drops the loads of removed ones.
func (l *Loop) setTargets(dataCentre string, targets []platform.Target) {
	targets = slices.SortedFunc(slices.Values(targets), func(a, b platform.Target) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(l.targets[dataCentre], targets) {
		return
	}
	removed := map[string]bool{}
	for _, t := range l.targets[dataCentre] {
		removed[t.ID] = true
	}
	for _, t := range targets {
		delete(removed, t.ID)
	}
	for id := range removed {
		delete(l.loads, id)
		delete(l.loadsAt, id)
		delete(l.loadReporter, id)
	}
	l.targets[dataCentre] = targets
	l.routing.targetsChanged = true
}

// setLoad sets a target's load as reported by its owner.
func (l *Loop) setLoad(load TargetLoad) {
	old := l.loads[load.Target]
	if old == load {
		return
	}
	l.loads[load.Target] = load
	l.routing.loadsChanged = true
	if old.Version != load.Version || old.Leaving != load.Leaving {
		l.routing.targetsChanged = true
	}
}

// routingTable returns the routing table, rebuilt if its inputs have changed: the platform's
// targets of configured services with their owners and reported loads.
func (l *Loop) routingTable(now time.Duration, owners []string) *route.Table {
	r, cfg := l.routing, l.state.Config()
	sameOwners := slices.Equal(owners, r.owners)
	due := r.loadsChanged && now-r.builtAt >= max(loadInterval, loadIntervalPerTarget*time.Duration(len(r.platformTargets)))
	if sameOwners && r.cfg == cfg && !r.targetsChanged && !due {
		return r.table
	}
	if r.targetsChanged || r.platformTargets == nil {
		r.platformTargets = l.platformTargets()
	}
	r.owners, r.cfg, r.targetsChanged, r.loadsChanged, r.builtAt = owners, cfg, false, false, now
	r.ownerCache.SetOwners(owners)
	if cfg == nil {
		return r.table
	}
	targets := make([]route.Target, 0, len(r.platformTargets))
	for _, t := range r.platformTargets {
		if s := cfg.Service(t.Service); s != nil && t.URL != "" {
			targets = append(targets, l.routeTarget(t, s))
		}
	}
	r.ownerCache.Trim(len(targets)) // bounds the cache by the number of targets
	r.table = r.table.Rebuild(targets)
	return r.table
}

func (l *Loop) routeTarget(t platform.Target, s *config.Service) route.Target {
	load := l.loads[t.ID]
	return route.Target{
		ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, URL: t.URL, Cheap: t.Cheap,
		Unavailable: load.Leaving || l.outOfService[t.ID] || t.State != platform.TargetRunning || l.state.Drains[t.ID] > 0,
		Owner:       l.routing.ownerCache.Owner(t.ID),
		Version:     load.Version,
		Load:        load.Load,
		Capacity:    s.Concurrency,
	}
}

// platformTargets returns all targets in order of data centre and id.
func (l *Loop) platformTargets() []platform.Target {
	var out []platform.Target
	for _, dataCentre := range slices.Sorted(maps.Keys(l.targets)) {
		out = append(out, l.targets[dataCentre]...)
	}
	return out
}
