package control

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/member"
)

// claimSpacing is the delay between the claims of two instances that claim the same lease.
// It is longer than it takes to append a record and read it back.
const claimSpacing = 250 * time.Millisecond

// updateClaimDelays sets the claim delays of all leases after a change of the owners. The
// delay is proportional to the instance's rank by rendezvous hash of the lease's name. The
// order of claimants thus differs from lease to lease, so that the lease holders are
// spread over the instances, and an expired lease is claimed by one instance first.
func (l *Loop) updateClaimDelays() {
	owners := l.refreshView(l.Clock.Now()).owners
	if slices.Equal(owners, l.claimants) {
		return
	}
	l.claimants = owners
	for name, m := range l.leases {
		m.SetClaimDelay(l.claimDelay(name))
	}
}

// claimDelay returns this instance's delay before it claims the lease. For the
// deployment lease of a data centre the instances of that data centre come first.
func (l *Loop) claimDelay(name string) time.Duration {
	rank := member.Position("lease/"+name, l.Self.ID, l.claimants)
	cfg := l.state.Config()
	if cfg == nil || !cfg.HasDataCentre(strings.TrimPrefix(name, DeploymentLease+"/")) {
		return time.Duration(rank) * claimSpacing
	}
	if name != lease.OrdersLeaseName(config.ShardByDataCentre, l.Self.DataCentre) {
		rank += len(l.claimants)
	}
	return time.Duration(rank) * claimSpacing
}

// maxCallTime returns the upper bound of the duration of a call made under a lease
// (control.orderFlight), zero before the first configuration.
func (l *Loop) maxCallTime() time.Duration {
	if cfg := l.state.Config(); cfg != nil {
		return cfg.Control.OrderFlight
	}
	return 0
}
