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

func (l *Loop) publish() {
	now := l.Clock.Now()
	guards := make(map[string]Guard, len(l.leases))
	for name, m := range l.leases {
		if term, held := m.Held(now, 0); held {
			guards[name] = Guard{Fencing: term, ValidTill: m.ValidTill()}
		}
	}
	l.guards.Store(&guards)
	owners := l.members.Owners(now)
	peers := l.members.Peers(now)
	byID := make(map[string]member.Status, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	table := l.routes(now, owners)
	l.snapshot.Store(&Snapshot{
		Self:         l.members.Self(),
		Offset:       l.state.Applied,
		Config:       l.state.Config(),
		ConfigOffset: l.state.ConfigOffset,
		Keys:         l.keys,
		KeysVersion:  l.keysVersion,
		Targets:      table,
		Owners:       owners,
		Peers:        peers,
		PeerByID:     byID,
		Leases:       maps.Clone(l.state.Leases),
		Ledgers:      maps.Clone(l.state.Ledgers),
		Windows:      maps.Clone(l.state.Windows),
		Orders:       maps.Clone(l.state.Orders),
		Platform:     l.routing.platform,
		OwnLoads:     l.own,
		TargetsAt:    maps.Clone(l.targetsAt),
		Billing:      l.state.Billing.Clone(),
		Digest:       l.digest,
		FreshAt:      l.freshAt,
	})
}
