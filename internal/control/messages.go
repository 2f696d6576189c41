package control

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// TargetLoad is what a target's owner tells others of it.
type TargetLoad struct {
	Target  string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	Load    int    `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint"`
	Samples int    `cbor:"60,keyasint"` // part of Load that is samples
	Running int    `cbor:"61,keyasint"` // requests that the engine says it runs
	// UnresponsiveFor is how long the engine has not answered for its load.
	UnresponsiveFor time.Duration `cbor:"62,keyasint,omitempty"`
}

// message is anything that the control goroutine takes.
type message interface{ handle(l *Loop) }

// logRead is the outcome of one read of the log, or of a peer's copy of it.
type logRead struct {
	relayed  bool
	caughtUp bool          // reply.Next was the log's end at sentAt or later
	sentAt   time.Duration // reading of this instance's clock
	reply    platform.ReadReply
}

// listRead is the outcome of one read of the list of instances.
type listRead struct{ instances []platform.ListedInstance }

// targetsRead is the outcome of one read of a data centre's targets.
type targetsRead struct {
	dataCentre string
	targets    []platform.Target
}

// targetsRequested tells when the list of the last targetsRead was asked for.
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

// tick drives time.
type tick struct{}

// releaseLeases makes the instance leave: leases are released and owners change.
type releaseLeases struct{}
