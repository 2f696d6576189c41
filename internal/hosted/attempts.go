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

// requestAttempts is one request on its way to targets.
type requestAttempts struct {
	node     *Instance
	call     *call
	service  string
	deadline time.Duration

	tried           map[string]bool  // targets that may not be asked again
	lastTarget      directory.Target // the last of them
	results         chan *attemptResult
	running         int
	countedAttempts int // targets that it counts as sent to
	startedAttempts int
	best            *attemptResult // the attempt that tells most
}

// runAttempts offers the request to targets until one answers, no further target may
// be tried, or ctx ends. It returns the answer, or the attempt that tells most.
// Attempts that are still on their way end with ctx.
func (n *Instance) runAttempts(ctx context.Context, c *call, deadline time.Duration) (last *attemptResult, tries int) {
	o := &requestAttempts{
		node: n, call: c, service: c.route.Pick(n.rand64()), deadline: deadline,
		tried: map[string]bool{}, results: make(chan *attemptResult, c.route.MaxAttempts+1),
	}
	return o.run(ctx), o.startedAttempts
}

func (o *requestAttempts) run(ctx context.Context) *attemptResult {
	for {
		if o.running == 0 && !o.start(ctx) {
			if !o.allTargetsRefused() {
				return o.best
			}
			clear(o.tried) // every target refused: one may have room soon
			if !clock.Sleep(ctx, allRefusedBackoff) {
				return o.best
			}
			continue
		}
		hedge, stop := o.hedgeTimer()
		select {
		case <-hedge:
			o.start(ctx)
		case <-ctx.Done():
			stop()
			if o.best == nil {
				o.best = &attemptResult{target: o.lastTarget, outcome: retry.Unknown, err: ctx.Err()}
			}
			return o.best
		case t := <-o.results:
			if final := o.handleResult(t); final {
				stop()
				return o.best
			}
		}
		stop()
	}
}

// start offers the request to one more target. It reports whether there was one.
func (o *requestAttempts) start(ctx context.Context) bool {
	n := o.node
	if o.countedAttempts >= o.call.route.MaxAttempts {
		return false
	}
	view := n.stateLoop.view.Load()
	target, found := n.plain.choose(n.clock.Now(), view, o.service, n.cfg.Settings.DataCentre, o.tried, n.rand64())
	if !found {
		return false
	}
	o.tried[target.ID], o.lastTarget = true, target
	o.running++
	o.countedAttempts++
	o.startedAttempts++
	go func() {
		o.results <- n.sendAttempt(ctx, o.call, target, o.deadline, countReadyTargets(view, o.service))
	}()
	return true
}

// allTargetsRefused reports whether all targets refused and may be asked once more.
func (o *requestAttempts) allTargetsRefused() bool {
	return len(o.tried) > 0 && o.countedAttempts < o.call.route.MaxAttempts && (o.best == nil || o.best.outcome == retry.NotRun)
}

// hedgeTimer returns when a second target is asked beside the first, for requests that
// may run twice.
func (o *requestAttempts) hedgeTimer() (<-chan time.Time, func()) {
	if o.call.route.Kind != catalog.Idempotent || o.running != 1 || o.countedAttempts >= o.call.route.MaxAttempts || o.startedAttempts > 1 {
		return nil, func() {}
	}
	timer := time.NewTimer(max(hedgeDelayMin, time.Duration(hedgeDelayFraction*float64(o.call.route.TargetLatency))))
	return timer.C, func() { timer.Stop() }
}

// handleResult notes an attempt's end, and reports whether it is the request's.
func (o *requestAttempts) handleResult(t *attemptResult) (final bool) {
	o.running--
	if t.outcome == retry.NotRun && t.err != nil {
		o.countedAttempts-- // it never left
	}
	if o.best == nil || t.outcome != retry.NotRun && !o.best.hasResponse() || t.hasResponse() {
		o.best = t
	}
	repeatable := o.call.route.Kind == catalog.Idempotent
	switch {
	case t.hasResponse() && (t.status < http.StatusInternalServerError || !repeatable):
		return true
	case t.hasResponse(): // the target failed: another one may not, and this answer is better than none
		return o.running == 0 && o.countedAttempts >= o.call.route.MaxAttempts
	case !retry.Allowed(t.outcome, repeatable):
		return true
	default:
		return o.running == 0 && o.countedAttempts >= o.call.route.MaxAttempts
	}
}
