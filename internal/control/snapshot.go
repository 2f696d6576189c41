// Package control runs an instance's control state. It is given the platform's log, list
// of instances and order interfaces, and the sessions with peers. One goroutine applies
// the log's records to the state, maintains leases and membership, and publishes
// immutable snapshots that the traffic goroutines read. The log is read directly or
// through peers; a state that cannot continue from the log is restored from a checkpoint
// or a peer. An instance whose state does not agree with a majority of the instances, or
// that cannot read a record's format, stops its control roles and holds no lease.
//
// Callers decide what to order and to bill. They check with Loop.Held, as the last step
// before they act, that the instance still holds the lease, and send its fencing number
// with the call.
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

// Snapshot is the control state at one time. It is immutable once published.
type Snapshot struct {
	Self            member.Peer
	Offset          record.Offset  // up to which the log has been applied
	Config          *config.Config // nil before the first configuration record
	ConfigOffset    record.Offset
	Keys            *KeyIndex
	KeysVersion     uint64 // changes with every grant and withdrawal
	RoutingTable    *route.Table
	Owners          []string // ids of the instances that may own queues
	Peers           []member.Status
	PeerByID        map[string]member.Status
	Leases          map[string]fold.Lease
	Deliveries      map[string]fold.DeliveryState
	Windows         map[int64]fold.Window
	Orders          map[string]fold.Order // announced and not resolved, by order id
	PlatformTargets []platform.Target
	OwnLoads        []TargetLoad // of the targets that this instance owns
	// TargetsRequestedAt is the time at which the targets in PlatformTargets were requested,
	// by data centre.
	TargetsRequestedAt map[string]time.Duration
	Billing            fold.Billing
	Digest             [32]byte
	Drains             map[string]record.Offset // by drained target; offset of the drain's record
	IdleSince          map[string]time.Duration // since when drained targets are idle on all instances
	FreshAt            time.Duration            // when Offset was last confirmed as the log's end
	CaughtUp           bool                     // Offset has been confirmed as the log's end at least once
	Halted             string                   // why the control roles have stopped; empty while they run
	PeerHealth         map[string]PeerHealth    // unhealthy peers by id, as they report it

	view *membershipView
}

// Key returns the granted key with the secret and whether there is one. The lookup is by
// digest, so that its timing reveals nothing about the keys.
func (s *Snapshot) Key(secret string) (fold.Key, bool) {
	return s.Keys.Get(sha256.Sum256([]byte(secret)))
}

// Fresh reports whether the snapshot was confirmed as current no longer than maxAge before
// now.
func (s *Snapshot) Fresh(now, maxAge time.Duration) bool {
	return s.CaughtUp && now-s.FreshAt <= maxAge
}

// Target returns the service's target with the id, or nil.
func (s *Snapshot) Target(service, id string) *route.Target {
	targets := s.RoutingTable.Targets(service)
	for i := range targets {
		if targets[i].ID == id {
			return &targets[i]
		}
	}
	return nil
}
