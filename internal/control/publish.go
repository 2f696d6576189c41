package control

import (
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// HeldLease is a lease that this instance holds.
type HeldLease struct {
	Fencing   record.Offset
	ExpiresAt time.Duration // reading of the instance's clock
}

// Held returns the lease and whether this instance holds it for longer than need from
// now. Callers check it as the last step before they act under the lease.
func (l *Loop) Held(name string, need time.Duration) (HeldLease, bool) {
	lease, ok := (*l.heldLeases.Load())[name]
	if !ok || l.Clock.Now()+need >= lease.ExpiresAt {
		return HeldLease{}, false
	}
	return lease, true
}

// publishHeldLeases publishes the leases for Held. A halted instance holds none.
func (l *Loop) publishHeldLeases(now time.Duration) {
	leases := make(map[string]HeldLease, len(l.leases))
	for name, m := range l.leases {
		if term, held := m.HeldFor(now, 0); held && l.halted == "" {
			leases[name] = HeldLease{Fencing: term, ExpiresAt: m.ExpiresAt()}
		}
	}
	l.heldLeases.Store(&leases)
}

// logReaders returns the log readers of this data centre, or nil before the first
// configuration.
func (l *Loop) logReaders(peers []member.Status, owners []string) map[string]bool {
	cfg := l.state.Config()
	if cfg == nil {
		return nil
	}
	return readersOf(peers, l.Self, owners, cfg.Control.LogReaders)
}

// publish publishes the held leases and a snapshot of the control state.
func (l *Loop) publish() {
	now := l.Clock.Now()
	l.publishHeldLeases(now)
	if last := l.snapshot.Load(); last != nil && l.state.Applied < last.Offset {
		// The restored state is older than the published snapshot. The snapshot stays
		// published until the restored state has reached its offset.
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
		RoutingTable:       l.routingTable(now, v.owners),
		Owners:             v.owners,
		Peers:              v.peers,
		PeerByID:           v.byID,
		Leases:             log.leases,
		Deliveries:         log.deliveries,
		Windows:            log.windows,
		Orders:             log.orders,
		PlatformTargets:    l.routing.platformTargets,
		OwnLoads:           l.ownLoads,
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
