package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
)

// requestAttempts holds the attempts of one request.
type requestAttempts struct {
	instance *Instance
	call     *call
	service  string
	deadline time.Duration

	tried           map[string]bool  // targets of earlier attempts; not chosen again
	lastTarget      directory.Target // target of the latest attempt
	results         chan *attemptResult
	running         int
	countedAttempts int // against MaxAttempts; without those that never got a connection
	startedAttempts int // all attempts, for logs and metrics
	// best is the result to respond with. An attempt with a usable response is preferred
	// to one that may have executed, and that to one that was not executed.
	best *attemptResult
}

// runAttempts sends the request to targets until one responds, no further attempt is
// allowed, or ctx ends. It returns the best result, nil if there was no attempt, and the
// number of attempts. Attempts that are still in flight end with ctx.
func (in *Instance) runAttempts(ctx context.Context, c *call, deadline time.Duration) (best *attemptResult, attempts int) {
	a := &requestAttempts{
		instance: in, call: c, service: c.route.Pick(in.rand64()), deadline: deadline,
		tried: map[string]bool{}, results: make(chan *attemptResult, c.route.MaxAttempts+1),
	}
	return a.run(ctx), a.startedAttempts
}

func (a *requestAttempts) run(ctx context.Context) *attemptResult {
	for {
		if a.running == 0 && !a.start(ctx) {
			if !a.allTargetsRefused() {
				return a.best
			}
			clear(a.tried) // every target refused: one may have a free slot soon
			if !clock.Sleep(ctx, allRefusedBackoff) {
				return a.best
			}
			continue
		}
		hedge, stop := a.hedgeTimer()
		select {
		case <-hedge:
			a.start(ctx)
		case <-ctx.Done():
			stop()
			if a.best == nil {
				a.best = &attemptResult{target: a.lastTarget, outcome: retry.Unknown, err: ctx.Err()}
			}
			return a.best
		case r := <-a.results:
			if final := a.handleResult(r); final {
				stop()
				return a.best
			}
		}
		stop()
	}
}

// start sends the request to one more target. It reports false if no attempt or no target
// is left.
func (a *requestAttempts) start(ctx context.Context) bool {
	in := a.instance
	if a.countedAttempts >= a.call.route.MaxAttempts {
		return false
	}
	view := in.stateLoop.view.Load()
	target, found := in.plain.choose(in.clock.Now(), view, a.service, in.cfg.Settings.DataCentre, a.tried, in.rand64())
	if !found {
		return false
	}
	a.tried[target.ID], a.lastTarget = true, target
	a.running++
	a.countedAttempts++
	a.startedAttempts++
	go func() {
		a.results <- in.sendAttempt(ctx, a.call, target, a.deadline, countReadyTargets(view, a.service))
	}()
	return true
}

// allTargetsRefused reports whether all targets refused and may be tried once more.
func (a *requestAttempts) allTargetsRefused() bool {
	return len(a.tried) > 0 && a.countedAttempts < a.call.route.MaxAttempts && (a.best == nil || a.best.outcome == retry.NotRun)
}

// hedgeTimer returns a channel that fires when the request is to be sent to a second
// target beside the first, and a function that stops the timer. The channel is nil if
// no such attempt is allowed: it is sent only once, for idempotent requests.
func (a *requestAttempts) hedgeTimer() (<-chan time.Time, func()) {
	if a.call.route.Kind != catalog.Idempotent || a.running != 1 || a.countedAttempts >= a.call.route.MaxAttempts || a.startedAttempts > 1 {
		return nil, func() {}
	}
	timer := time.NewTimer(max(hedgeDelayMin, time.Duration(hedgeDelayFraction*float64(a.call.route.TargetLatency))))
	return timer.C, func() { timer.Stop() }
}

// handleResult records the result of an attempt, and reports whether it ends the request.
func (a *requestAttempts) handleResult(r *attemptResult) (final bool) {
	a.running--
	if r.outcome == retry.NotRun && r.err != nil {
		a.countedAttempts-- // it never got a connection
	}
	if a.best == nil || r.outcome != retry.NotRun && !a.best.hasResponse() || r.hasResponse() {
		a.best = r
	}
	repeatable := a.call.route.Kind == catalog.Idempotent
	switch {
	case r.hasResponse() && (r.status < http.StatusInternalServerError || !repeatable):
		return true
	case r.hasResponse(): // status 5xx: another target may succeed, else this response is used
		return a.running == 0 && a.countedAttempts >= a.call.route.MaxAttempts
	case !retry.Allowed(r.outcome, repeatable):
		return true
	default:
		return a.running == 0 && a.countedAttempts >= a.call.route.MaxAttempts
	}
}
