package control

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/member"
)

// claimSpacing is between the claims of two instances that wait for the same
// lease. It is longer than a record takes to be appended and read.
const claimSpacing = 250 * time.Millisecond

// updateClaimDelays gives each lease another order of claimants, so that the holders
// are spread over the instances and a lapsed lease is claimed by one of them.
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

// claimDelay lets the instances of a data centre go first for its lease.
func (l *Loop) claimDelay(name string) time.Duration {
	place := member.Position("lease/"+name, l.Self.ID, l.claimants)
	cfg := l.state.Config()
	if cfg == nil || !cfg.HasDataCentre(strings.TrimPrefix(name, DeploymentLease+"/")) {
		return time.Duration(place) * claimSpacing
	}
	if name != lease.OrdersLeaseName(config.ShardByDataCentre, l.Self.DataCentre) {
		place += len(l.claimants)
	}
	return time.Duration(place) * claimSpacing
}

// maxCallTime returns how long after its start a call that a lease covers has ended.
func (l *Loop) maxCallTime() time.Duration {
	if cfg := l.state.Config(); cfg != nil {
		return cfg.Control.OrderFlight
	}
	return 0
}
