package control

import (
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// HeldLease is a held lease as senders check it right before they act.
type HeldLease struct {
	Fencing   record.Offset
	ExpiresAt time.Duration // reading of the instance's clock
}

// Held reports whether the instance holds the lease for need longer, with its
// guard. Senders call it as the last step before they act.
func (l *Loop) Held(name string, need time.Duration) (HeldLease, bool) {
	g, ok := (*l.heldLeases.Load())[name]
	if !ok || l.Clock.Now()+need >= g.ExpiresAt {
		return HeldLease{}, false
	}
	return g, true
}

// publishHeldLeases publishes the held leases. A halted instance holds none.
func (l *Loop) publishHeldLeases(now time.Duration) {
	guards := make(map[string]HeldLease, len(l.leases))
	for name, m := range l.leases {
		if term, held := m.Held(now, 0); held && l.halted == "" {
			guards[name] = HeldLease{Fencing: term, ExpiresAt: m.ExpiresAt()}
		}
	}
	l.heldLeases.Store(&guards)
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
	l.publishHeldLeases(now)
	if last := l.snapshot.Load(); last != nil && l.state.Applied < last.Offset {
		// A state restored from an older offset is folded up to where this
		// instance was before anyone sees it.
		kept := *last
		kept.Halted = l.halted
		l.snapshot.Store(&kept)
		return
	}
	v, log := l.refreshView(now), l.refreshLogView()
	l.snapshot.Store(&Snapshot{
		Self:               l.members.Self(),
		Offset:             l.state.Applied,
		Config:             l.state.Config(),
		ConfigOffset:       l.state.ConfigOffset,
		Keys:               l.keys,
		KeysVersion:        l.keysVersion,
		RoutingTable:       l.routes(now, v.owners),
		Owners:             v.owners,
		Peers:              v.peers,
		PeerByID:           v.byID,
		Leases:             log.leases,
		Deliveries:         log.ledgers,
		Windows:            log.windows,
		Orders:             log.orders,
		PlatformTargets:    l.routing.platform,
		OwnLoads:           l.own,
		TargetsRequestedAt: maps.Clone(l.targetsAt),
		Billing:            log.billing,
		Digest:             l.state.HashChain,
		CaughtUp:           l.caughtUp,
		Halted:             l.halted,
		PeerHealth:         l.peerHealth,
		FreshAt:            l.freshAt,
		Drains:             l.drains,
		view:               v,
		IdleSince:          l.idleSince,
	})
}
