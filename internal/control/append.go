package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// Errors of Append.
var (
	// ErrConflict: the record was read back and rejected, since the state had changed.
	ErrConflict = errors.New("the state changed meanwhile")
	// ErrMalformed: the record was read back and is invalid.
	ErrMalformed = errors.New("the record is not valid")
	// ErrNotAppended: the record has not taken effect and never will.
	ErrNotAppended = errors.New("the record was not appended")
	// ErrOverloaded: the append queue of the record's class is full.
	ErrOverloaded = errors.New("too many records wait for the log")
)

// LogClient appends to and reads from the platform's log.
type LogClient interface {
	Append(ctx context.Context, records [][]byte) ([]int64, error)
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.ReadReply, error)
}

func newID() record.ID { return uuid.New() }

// Append appends a record and waits until it has been read back and applied. It returns
// ErrConflict if the state has changed so that the record no longer applies, ErrMalformed
// if the record is invalid, and ErrNotAppended if it was not queued, not sent before ctx
// ended, or rejected by the log. If ctx ends after the record was sent, the outcome is
// unknown: the record may take effect later.
func (l *Loop) Append(ctx context.Context, supersedes record.Offset, body record.Body) (fold.Result, error) {
	id := newID()
	data, err := l.encode(id, l.Snapshot().Offset, supersedes, body)
	if err != nil {
		return fold.Result{}, fmt.Errorf("append %T: %w: %w", body, ErrNotAppended, err)
	}
	result := make(chan fold.Result, 1)
	failed := make(chan error, 1)
	l.post(ctx, addWaiter{id, result})
	defer l.post(context.WithoutCancel(ctx), removeWaiter{id})
	e := &entry{id: id, class: classOf(body.Kind()), data: [][]byte{data}, onRejected: func(err error) { failed <- err }}
	if err := l.appender.submit(e); err != nil {
		return fold.Result{}, fmt.Errorf("append %T: %w: %w", body, ErrNotAppended, err)
	}
	select {
	case <-ctx.Done():
		if noEffect := l.appender.remove(id); noEffect {
			return fold.Result{}, fmt.Errorf("append %T: %w: %w", body, ErrNotAppended, ctx.Err())
		}
		return fold.Result{}, fmt.Errorf("append %T: outcome unknown: %w", body, ctx.Err())
	case err := <-failed:
		return fold.Result{}, fmt.Errorf("append %T: %w: %w", body, ErrNotAppended, err)
	case res := <-result:
		return res, verdictError(res)
	}
}

// encode encodes a record with this instance as its author. applied is the offset up to
// which the instance has applied the log.
func (l *Loop) encode(id record.ID, applied, supersedes record.Offset, body record.Body) ([]byte, error) {
	env := record.Envelope{ID: id, Author: l.holder, Applied: applied, Supersedes: supersedes, Timestamp: l.Events.Timestamp()}
	return record.EncodeEnvelope(env, body)
}

func verdictError(res fold.Result) error {
	switch res.Verdict {
	case fold.Accepted:
		return nil
	case fold.Malformed:
		return fmt.Errorf("%w: %w", ErrMalformed, res.Err)
	default:
		return fmt.Errorf("%w: %w", ErrConflict, res.Err)
	}
}

// class is the append priority of a record. A lower class is appended first.
type class int

// The classes, highest priority first.
const (
	classUrgent   class = iota // configuration, keys, leases, drains
	classOrders                // orders and claims, whose senders wait
	classUsage                 // usage seals and reports, checkpoints
	classDelivery              // all others, such as batches and their acknowledgements
	numClasses
)

func classOf(k record.Kind) class {
	switch k {
	case record.KindConfig, record.KindKeyGrant, record.KindKeyWithdraw, record.KindLease, record.KindTargetDrain:
		return classUrgent
	case record.KindOrderIntent, record.KindOrderDone, record.KindClaims, record.KindClaimsVoid:
		return classOrders
	case record.KindUsageSeal, record.KindUsageSent, record.KindCheckpoint:
		return classUsage
	default:
		return classDelivery
	}
}
