package control

import (
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
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
	v, log := l.viewed(now), l.viewedLog()
	l.snapshot.Store(&Snapshot{
		Self:         l.members.Self(),
		Offset:       l.state.Applied,
		Config:       l.state.Config(),
		ConfigOffset: l.state.ConfigOffset,
		Keys:         l.keys,
		KeysVersion:  l.keysVersion,
		Targets:      l.routes(now, v.owners),
		Owners:       v.owners,
		Peers:        v.peers,
		PeerByID:     v.byID,
		Leases:       log.leases,
		Ledgers:      log.ledgers,
		Windows:      log.windows,
		Orders:       log.orders,
		Platform:     l.routing.platform,
		OwnLoads:     l.own,
		TargetsAt:    maps.Clone(l.targetsAt),
		Billing:      log.billing,
		Digest:       l.state.Chain,
		Proved:       l.proved,
		Halted:       l.halted,
		PeerNotes:    l.notes,
		FreshAt:      l.freshAt,
		Drains:       l.drains,
		view:         v,
		Idle:         l.idle,
	})
}
