package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/hlc"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	appendQueue   = 1024
	appendBatch   = 256
	appendGather  = 2 * time.Millisecond
	appendTimeout = 2 * time.Second
	appendRetries = 5
	appendBackoff = 100 * time.Millisecond
)

// Errors of Append.
var (
	ErrConflict  = errors.New("the state changed meanwhile")
	ErrMalformed = errors.New("the record is not valid")
)

func newID() record.ID { return uuid.New() }

// Append appends a record and waits until it has been read back. A record that
// lost a race returns ErrConflict. When ctx ends first the outcome is unknown.
func (l *Loop) Append(ctx context.Context, supersedes record.Offset, body record.Body) (fold.Result, error) {
	id := newID()
	result := make(chan fold.Result, 1)
	l.post(ctx, await{id, result})
	defer l.post(context.WithoutCancel(ctx), forget{id})
	l.appender.submit(id, l.holder, supersedes, body)
	select {
	case <-ctx.Done():
		return fold.Result{}, fmt.Errorf("append %T: outcome unknown: %w", body, ctx.Err())
	case res := <-result:
		switch res.Verdict {
		case fold.Accepted:
			return res, nil
		case fold.Malformed:
			return res, fmt.Errorf("%w: %w", ErrMalformed, res.Err)
		default:
			return res, fmt.Errorf("%w: %w", ErrConflict, res.Err)
		}
	}
}

// appender gathers records into few append calls and repeats failed ones.
// Record ids make a repeated append harmless.
type appender struct {
	log   *platform.Log
	clock clock.Clock
	stamp func() hlc.Stamp
	queue chan []byte
}

func newAppender(log *platform.Log, c clock.Clock, stamp func() hlc.Stamp) *appender {
	return &appender{log: log, clock: c, stamp: stamp, queue: make(chan []byte, appendQueue)}
}

// submit queues a record. When the queue is full the record is dropped, as if
// the log had lost it.
func (a *appender) submit(id record.ID, author string, supersedes record.Offset, body record.Body) {
	data, err := record.EncodeStamped(a.stamp(), id, author, supersedes, body)
	if err != nil {
		return
	}
	select {
	case a.queue <- data:
	default:
	}
}

func (a *appender) run(ctx context.Context) error {
	for {
		batch, ok := a.gather(ctx)
		if !ok {
			return nil
		}
		a.send(ctx, batch)
	}
}

func (a *appender) gather(ctx context.Context) ([][]byte, bool) {
	var batch [][]byte
	select {
	case <-ctx.Done():
		return nil, false
	case data := <-a.queue:
		batch = append(batch, data)
	}
	timer := time.NewTimer(appendGather)
	defer timer.Stop()
	for len(batch) < appendBatch {
		select {
		case data := <-a.queue:
			batch = append(batch, data)
		case <-timer.C:
			return batch, true
		}
	}
	return batch, true
}

func (a *appender) send(ctx context.Context, batch [][]byte) {
	backoff := appendBackoff
	for range appendRetries {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := a.log.Append(callCtx, batch)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, backoff)
		backoff *= 2
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
