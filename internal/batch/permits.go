package batch

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
)

// obtainPermits asks for permits to start runs on engines that limit their rate, and passes
// the replies to the runner's goroutine.
func (r *runner) obtainPermits(ctx context.Context) {
	b := r.batch
	view := b.CurrentView()
	for _, wanted := range r.scheduler.PermitsWanted() {
		t, found := view.Target(wanted.Engine)
		if !found {
			r.scheduler.SetPermits(b.Clock.Now(), wanted.Engine, 0, 0)
			continue
		}
		go func() {
			grant, err := b.Allowances.Take(ctx, t, wanted.Count, 0)
			if err != nil {
				grant.RetryAfter = reviewInterval
			}
			select {
			case r.permits <- permitReply{wanted.Engine, grant.Count, grant.RetryAfter}:
			case <-ctx.Done():
			}
		}()
	}
}

// probeWait is how long a run waits for the answer of an engine to another one.
const probeWait = 500 * time.Millisecond

// errLimitedSince is the error of a run that was placed before its engine named a limit.
var errLimitedSince = errors.New("the engine has named a limit since the run was placed")

// awaitProbe waits until a run may be sent to the engine if this instance has stood still.
func (b *Batch) awaitProbe(ctx context.Context, t directory.Target) error {
	if err := b.AwaitProbe(ctx, t.ID, probeWait); err != nil {
		return err
	}
	if latest, found := b.CurrentView().Target(t.ID); found && latest.Limited && !t.Limited {
		return errLimitedSince
	}
	return nil
}

// permitReply is the reply to a request for permits.
type permitReply struct {
	engine     string
	count      int
	retryAfter time.Duration
}
