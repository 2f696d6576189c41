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

// Two tables that differ in loads only are at least loadInterval apart, and
// further with many targets, so that tables cost the control goroutine about
// the same share of its time. Every other change makes a new table at once.
const (
	loadInterval          = 100 * time.Millisecond
	loadIntervalPerTarget = 40 * time.Microsecond
)

// routing keeps the routing table between changes of what it is made from.
type routing struct {
	table    *route.Table
	platform []platform.Target
	cfg      *config.Config
	owners   []string
	ownerOf  *member.OwnerCache

	targetsChanged bool // targets, versions or leaving
	loadsChanged   bool
	builtAt        time.Duration
}

func newRouting() *routing {
	return &routing{table: route.NewTable(nil), ownerOf: member.NewOwnerCache()}
}

// setTargets takes a data centre's targets.
func (l *Loop) setTargets(dataCentre string, targets []platform.Target) {
	targets = slices.SortedFunc(slices.Values(targets), func(a, b platform.Target) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(l.targets[dataCentre], targets) {
		return
	}
	gone := map[string]bool{}
	for _, t := range l.targets[dataCentre] {
		gone[t.ID] = true
	}
	for _, t := range targets {
		delete(gone, t.ID)
	}
	for id := range gone {
		delete(l.loads, id)
		delete(l.loadsAt, id)
		delete(l.loadReporter, id)
	}
	l.targets[dataCentre] = targets
	l.routing.targetsChanged = true
}

// setLoad takes what the owner of a target reports.
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

// routes returns the platform's targets with their owners and reported loads.
func (l *Loop) routes(now time.Duration, owners []string) *route.Table {
	r, cfg := l.routing, l.state.Config()
	sameOwners := slices.Equal(owners, r.owners)
	due := r.loadsChanged && now-r.builtAt >= max(loadInterval, loadIntervalPerTarget*time.Duration(len(r.platform)))
	if sameOwners && r.cfg == cfg && !r.targetsChanged && !due {
		return r.table
	}
	if r.targetsChanged || r.platform == nil {
		r.platform = l.platformTargets()
	}
	r.owners, r.cfg, r.targetsChanged, r.loadsChanged, r.builtAt = owners, cfg, false, false, now
	r.ownerOf.SetOwners(owners)
	if cfg == nil {
		return r.table
	}
	targets := make([]route.Target, 0, len(r.platform))
	for _, t := range r.platform {
		if s := cfg.Service(t.Service); s != nil && t.URL != "" {
			targets = append(targets, l.routeTarget(t, s))
		}
	}
	r.ownerOf.Trim(len(targets))
	r.table = r.table.Rebuild(targets)
	return r.table
}

func (l *Loop) routeTarget(t platform.Target, s *config.Service) route.Target {
	load := l.loads[t.ID]
	return route.Target{
		ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, URL: t.URL, Cheap: t.Cheap,
		Unavailable: load.Leaving || l.outOfService[t.ID] || t.State != platform.TargetRunning || l.state.Drains[t.ID] > 0,
		Owner:       l.routing.ownerOf.Owner(t.ID),
		Version:     load.Version,
		Load:        load.Load,
		Capacity:    s.Concurrency,
	}
}

// platformTargets lists all targets by data centre and id.
func (l *Loop) platformTargets() []platform.Target {
	var out []platform.Target
	for _, dataCentre := range slices.Sorted(maps.Keys(l.targets)) {
		out = append(out, l.targets[dataCentre]...)
	}
	return out
}
