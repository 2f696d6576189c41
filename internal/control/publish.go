package control

import (
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// Guard is a held lease as senders check it right before they act.
type Guard struct {
	Fencing   record.Offset
	ValidTill time.Duration // reading of the instance's clock
}

// Held reports whether the instance holds the lease for need longer, with its
// guard. Senders call it as the last step before they act.
func (l *Loop) Held(name string, need time.Duration) (Guard, bool) {
	g, ok := (*l.guards.Load())[name]
	if !ok || l.Clock.Now()+need >= g.ValidTill {
		return Guard{}, false
	}
	return g, true
}

// publishGuards publishes the held leases. A halted instance holds none.
func (l *Loop) publishGuards(now time.Duration) {
	guards := make(map[string]Guard, len(l.leases))
	for name, m := range l.leases {
		if term, held := m.Held(now, 0); held && l.halted == "" {
			guards[name] = Guard{Fencing: term, ValidTill: m.ValidTill()}
		}
	}
	l.guards.Store(&guards)
}

func (l *Loop) readers(peers []member.Status, owners []string) map[string]bool {
	cfg := l.state.Config()
	if cfg == nil {
		return nil
	}
	return readersOf(peers, l.Self, owners, cfg.Control.LogReaders)
}

func (l *Loop) publish() {
	now := l.Clock.Now()
	l.publishGuards(now)
	if last := l.snapshot.Load(); last != nil && l.state.Applied < last.Offset {
		// A state restored from an older offset is folded up to where this
		// instance was before anyone sees it.
		kept := *last
		kept.Halted = l.halted
		l.snapshot.Store(&kept)
		return
	}
	owners := l.members.Owners(now)
	peers := l.members.Peers(now)
	byID := make(map[string]member.Status, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	l.snapshot.Store(&Snapshot{
		Self:         l.members.Self(),
		Offset:       l.state.Applied,
		Config:       l.state.Config(),
		ConfigOffset: l.state.ConfigOffset,
		Keys:         l.keys,
		KeysVersion:  l.keysVersion,
		Targets:      l.routes(owners),
		Owners:       owners,
		Peers:        peers,
		PeerByID:     byID,
		Leases:       maps.Clone(l.state.Leases),
		Ledgers:      maps.Clone(l.state.Ledgers),
		Windows:      maps.Clone(l.state.Windows),
		Orders:       maps.Clone(l.state.Orders),
		Platform:     l.platformTargets(),
		OwnLoads:     l.own,
		Digest:       l.state.Chain,
		Proved:       l.proved,
		Halted:       l.halted,
		readers:      l.readers(peers, owners),
		FreshAt:      l.freshAt,
	})
}

// routes joins the platform's targets with their owners and reported loads.
func (l *Loop) routes(owners []string) *route.Table {
	cfg := l.state.Config()
	if cfg == nil {
		return route.NewTable(nil)
	}
	var targets []route.Target
	for _, list := range l.targets {
		for _, t := range list {
			s := cfg.Service(t.Service)
			if s == nil || t.URL == "" {
				continue
			}
			load := l.loads[t.ID]
			targets = append(targets, route.Target{
				ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, URL: t.URL, Cheap: t.Cheap,
				Leaving:  load.Leaving || t.State != platform.TargetRunning,
				Owner:    member.Owner(t.ID, owners),
				Version:  load.Version,
				Load:     load.Load,
				Capacity: s.Concurrency,
			})
		}
	}
	return route.NewTable(targets)
}

func (l *Loop) platformTargets() []platform.Target {
	var out []platform.Target
	for _, list := range l.targets {
		out = append(out, list...)
	}
	return out
}
