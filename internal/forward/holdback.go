package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// allowanceWaitFraction is the fraction of the target latency for which a request waits for
// its turn at a limited target: the rest suffices for the attempt.
const allowanceWaitFraction = 0.5

// noAllowanceError is the error of an attempt at a limited target that was not sent.
type noAllowanceError struct {
	target     string
	perSecond  float64       // the target's limit
	retryAfter time.Duration // until a further request may be granted; zero: unknown
	err        error         // the owner was not asked; nil: it denied the request
}

// Error implements error.
func (e *noAllowanceError) Error() string {
	if errors.Is(e.err, node.ErrNotProbed) {
		return fmt.Sprintf("target %s: %v", e.target, e.err)
	}
	if e.err != nil {
		return fmt.Sprintf("target %s takes %g requests a second: %v", e.target, e.perSecond, e.err)
	}
	return fmt.Sprintf("target %s takes %g requests a second, the next one in %s", e.target, e.perSecond, e.retryAfter)
}

// Unwrap returns the cause.
func (e *noAllowanceError) Unwrap() error { return e.err }

// awaitAllowance waits until a plain request may be sent to a target, if the target limits
// its rate, or may do so since this instance stood still. It fails with a *noAllowanceError if that would take too long.
func (f *Forwarder) awaitAllowance(ctx context.Context, p *PlainRequest, id string) error {
	maxWait := time.Duration(allowanceWaitFraction * float64(p.TargetLatency))
	if err := f.AwaitProbe(ctx, id, maxWait); err != nil {
		return &noAllowanceError{target: id, err: err}
	}
	t, found := f.CurrentView().Target(id)
	if !found || !t.Limited {
		return nil
	}
	grant, err := f.Allowances.Take(ctx, t, 1, maxWait)
	if err != nil || grant.Count == 0 {
		return &noAllowanceError{t.ID, t.RequestLimit, grant.RetryAfter, err}
	}
	if grant.Delay > 0 && !clock.Sleep(ctx, grant.Delay) {
		return &noAllowanceError{t.ID, t.RequestLimit, 0, ctx.Err()}
	}
	return nil
}

// limitedRetryAfter returns the Retry-After for a request that found no limited target with
// an allowance: the time until the first one grants a request, spread over as long again, so
// that the callers do not return at once.
func (f *Forwarder) limitedRetryAfter(earliest time.Duration) time.Duration {
	return max(retryAfter, earliest+f.Jitter(earliest))
}
