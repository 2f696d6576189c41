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
	Self         member.Peer
	Offset       record.Offset
	Config       *config.Config // nil before the first configuration
	ConfigOffset record.Offset
	Keys         *KeyIndex
	KeysVersion  uint64 // changes with every grant and withdrawal
	Targets      *route.Table
	Owners       []string
	Peers        []member.Status
	PeerByID     map[string]member.Status
	Leases       map[string]fold.Lease
	Ledgers      map[string]fold.Ledger
	Windows      map[int64]fold.Window
	Orders       map[string]fold.Order // announced and not settled, by order id
	Platform     []platform.Target
	OwnLoads     []TargetLoad // of the targets that this instance owns
	// TargetsAt is when the list of a data centre's targets was asked for that
	// Platform holds, by data centre.
	TargetsAt map[string]time.Duration
	Billing   fold.Billing
	Digest    [32]byte
	Drains    map[string]record.Offset // targets that operators drain, since when
	Idle      map[string]time.Duration // drained targets without requests, since when
	FreshAt   time.Duration            // when the log last proved Offset to be its end
	Proved    bool                     // it has done so
	Halted    string                   // why the control roles have stopped; empty: they have not
	PeerNotes map[string]PeerNote      // trouble that peers have reported, by id

	view *view
}

// Key returns the granted key that equals secret, if any. Lookup is by digest,
// so its timing tells nothing about the keys.
func (s *Snapshot) Key(secret string) (fold.Key, bool) {
	return s.Keys.Get(sha256.Sum256([]byte(secret)))
}

// Fresh reports whether the snapshot was proved current within bound of now.
func (s *Snapshot) Fresh(now, bound time.Duration) bool { return s.Proved && now-s.FreshAt <= bound }

// Target returns the service's target called id, or nil.
func (s *Snapshot) Target(service, id string) *route.Target {
	targets := s.Targets.Targets(service)
	for i := range targets {
		if targets[i].ID == id {
			return &targets[i]
		}
	}
	return nil
}
