// Package control runs an instance's control state: one goroutine folds the
// log, keeps leases and membership, and publishes immutable snapshots that the
// traffic goroutines read.
package control

import (
	"crypto/sha256"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// Snapshot is the control state as of one moment. It is never changed after it
// has been published.
type Snapshot struct {
	Self            member.Peer
	Offset          record.Offset
	Config          *config.Config // nil before the first configuration
	ConfigOffset    record.Offset
	Keys            *KeyIndex
	KeysVersion     uint64 // changes with every grant and withdrawal
	RoutingTable    *route.Table
	Owners          []string
	Peers           []member.Status
	PeerByID        map[string]member.Status
	Leases          map[string]fold.Lease
	Deliveries      map[string]fold.DeliveryState
	Windows         map[int64]fold.Window
	Orders          map[string]fold.Order // announced and not settled, by order id
	PlatformTargets []platform.Target
	OwnLoads        []TargetLoad // of the targets that this instance owns
	// TargetsRequestedAt is when the list of a data centre's targets was asked for that
	// Platform holds, by data centre.
	TargetsRequestedAt map[string]time.Duration
	Billing            fold.Billing
	Digest             [32]byte
	Drains             map[string]record.Offset // targets that operators drain, since when
	IdleSince          map[string]time.Duration // drained targets without requests, since when
	FreshAt            time.Duration            // when the log last proved Offset to be its end
	CaughtUp           bool                     // it has done so
	Halted             string                   // why the control roles have stopped; empty: they have not
	PeerHealth         map[string]PeerHealth    // trouble that peers have reported, by id

	view *membershipView
}

// Key returns the granted key that equals secret, if any. Lookup is by digest,
// so its timing tells nothing about the keys.
func (s *Snapshot) Key(secret string) (fold.Key, bool) {
	return s.Keys.Get(sha256.Sum256([]byte(secret)))
}

// Fresh reports whether the snapshot was proved current within bound of now.
func (s *Snapshot) Fresh(now, bound time.Duration) bool { return s.CaughtUp && now-s.FreshAt <= bound }

// Target returns the service's target called id, or nil.
func (s *Snapshot) Target(service, id string) *route.Target {
	targets := s.RoutingTable.Targets(service)
	for i := range targets {
		if targets[i].ID == id {
			return &targets[i]
		}
	}
	return nil
}
