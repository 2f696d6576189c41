package control

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// TargetLoad is the load of a target as its owner reports it to other instances.
type TargetLoad struct {
	Target  string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`  // weight version
	Load    int    `cbor:"3,keyasint"`  // requests granted and waiting
	Leaving bool   `cbor:"4,keyasint"`  // the target is terminating
	Samples int    `cbor:"60,keyasint"` // requests in Load that are samples
	Running int    `cbor:"61,keyasint"` // running requests as reported by the engine
	// UnresponsiveFor is the time for which the engine has not replied to load queries.
	UnresponsiveFor time.Duration `cbor:"62,keyasint,omitempty"`
}

// message is an input of the control goroutine, which calls handle.
type message interface{ handle(l *Loop) }

// logRead is the result of one read of the log, or of a peer's copy of it.
type logRead struct {
	relayed  bool          // the records come from a peer
	caughtUp bool          // reply.Next was the log's end at sentAt or later
	sentAt   time.Duration // reading of this instance's clock
	reply    platform.ReadReply
}

// listRead is the result of one read of the list of instances.
type listRead struct{ instances []platform.ListedInstance }

// targetsRead is the result of one read of a data centre's targets.
type targetsRead struct {
	dataCentre string
	targets    []platform.Target
}

// targetsRequested is the time at which a data centre's targets, sent as a targetsRead
// before, were requested from the platform.
type targetsRequested struct {
	dataCentre string
	at         time.Duration
}

// ownLoads are the loads of the targets that this instance owns.
type ownLoads struct{ loads []TargetLoad }

// addWaiter registers a waiter for the record with the given id.
type addWaiter struct {
	id     record.ID
	result chan fold.Result
}

// removeWaiter removes a waiter.
type removeWaiter struct{ id record.ID }

// tick triggers the work that depends on time: lease deadlines, health and drains.
type tick struct{}

// releaseLeases releases this instance's leases and marks it as leaving, so that it is no
// longer an owner.
type releaseLeases struct{}
