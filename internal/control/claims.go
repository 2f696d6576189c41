package control

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/member"
)

// claimSpacing is between the claims of two instances that wait for the same
// lease. It is longer than a record takes to be appended and read.
const claimSpacing = 250 * time.Millisecond

// spaceClaims gives each lease another order of claimants, so that the holders
// are spread over the instances and a lapsed lease is claimed by one of them.
func (l *Loop) spaceClaims() {
	owners := l.members.Owners(l.Clock.Now())
	if slices.Equal(owners, l.claimants) {
		return
	}
	l.claimants = owners
	for name, m := range l.leases {
		m.SetDelay(l.claimDelay(name))
	}
}

func (l *Loop) claimDelay(name string) time.Duration {
	return time.Duration(member.Place("lease/"+name, l.Self.ID, l.claimants)) * claimSpacing
}

// flight returns how long after its start a call that a lease covers has ended.
func (l *Loop) flight() time.Duration {
	if cfg := l.state.Config(); cfg != nil {
		return cfg.Control.OrderFlight
	}
	return 0
}
