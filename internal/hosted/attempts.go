package hosted

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/core/relay"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// requestAttempts holds the state of one request's attempts. Only the goroutine of run
// uses it; the goroutines of the attempts send to results.
type requestAttempts struct {
	instance *Instance
	request  *plainRequest
	deadline time.Duration

	tried             map[string]bool // targets of earlier attempts; not chosen again
	results           chan *attemptResult
	running           int
	countedAttempts   int             // limited by MaxAttempts; without those that got no connection
	startedAttempts   int             // all attempts, for logs and metrics
	startedAt         time.Duration   // of the first attempt
	slow              bool            // the first attempt took long
	relaying          bool            // the instance reaches no target: attempts go through other instances
	peers             map[string]bool // names of these instances
	serverErrors      int             // attempts whose target responded with status 500
	refusedByResponse bool            // since all targets were tried last, one of them answered
	noneAccepts       bool            // no target of the service accepts a connection
	heldBack          int             // attempts that were not sent, as their targets limit the rate of requests
	// condemned is the verdict that ended the attempts; nil: none.
	condemned *poison.Verdict
	// allowedIn is the time until the first of these targets takes a request; zero: unknown.
	allowedIn time.Duration
	// best is the result to respond with: an attempt with a response, else one that may have
	// run, else one that did not run.
	best *attemptResult
}

// runAttempts sends the request to targets until one responds, no further attempt is
// allowed, or ctx ends. The best result is nil if there is none. Attempts that are still in
// flight end with ctx.
func (in *Instance) runAttempts(ctx context.Context, p *plainRequest, deadline time.Duration) *requestAttempts {
	a := &requestAttempts{
		instance: in, request: p, deadline: deadline,
		tried: map[string]bool{}, peers: map[string]bool{}, results: make(chan *attemptResult, p.maxAttempts+relay.MaxTries),
	}
	a.run(ctx)
	return a
}

// run runs the attempts and sets best.
func (a *requestAttempts) run(ctx context.Context) {
	in := a.instance
	for {
		if a.running == 0 && !a.start(ctx, false) {
			if a.condemned != nil || a.relaying || a.heldBack > 0 || !a.allTargetsRefused() {
				return
			}
			switch {
			case a.refusedByResponse: // one may get a free slot soon
				clear(a.tried)
				a.refusedByResponse = false
			case a.request.relayable && !in.Links.ConfirmSince(ctx, a.startedAt):
				a.relaying = true
				continue
			default: // a target that has stopped is back after seconds
				a.noneAccepts = true
				return
			}
			if !clock.Sleep(ctx, allRefusedBackoff) {
				return
			}
			continue
		}
		slow, stop := a.slowTimer()
		select {
		case <-a.linksChanged():
			a.onLinksChanged(ctx)
		case <-slow:
			a.slow = true
			in.Links.QuietSince(a.startedAt)
			if a.mayHedge() {
				a.start(ctx, true)
			}
		case <-ctx.Done():
			stop()
			a.awaitRunning()
			return
		case r := <-a.results:
			if final := a.handleResult(r); final {
				stop()
				return
			}
		}
		stop()
	}
}

// start sends the request to one more target. It reports false if the request is condemned,
// MaxAttempts is reached or every ready target was tried. A hedge is not sent to a target that
// limits its rate.
func (a *requestAttempts) start(ctx context.Context, hedge bool) bool {
	in := a.instance
	if a.countedAttempts >= a.request.maxAttempts {
		return false
	}
	verdict := in.poisonGuard.check(a.request)
	if verdict.Condemned {
		a.condemned = &verdict
		return false
	}
	suspected := verdict.Crashes > 0
	if suspected && hedge {
		return false
	}
	if a.relaying || a.request.relayable && in.Links.IsCut() {
		return a.relay(ctx)
	}
	view := in.CurrentView()
	target, found := in.plainTargets.choose(in.Clock.Now(), view, a.request.service, in.Settings.DataCentre, a.excluded(view, hedge), suspected, in.Rand64())
	if !found {
		return false
	}
	a.tried[target.ID] = true
	a.countStart()
	go func() {
		a.results <- in.sendAttempt(ctx, a.request, target, suspected, a.deadline, countReadyTargets(view, a.request.service))
	}()
	return true
}

// awaitRunning handles the results of the attempts in flight after ctx has ended, which ends
// them too. They tell whether the request may have reached a target.
func (a *requestAttempts) awaitRunning() {
	for a.running > 0 {
		a.handleResult(<-a.results)
	}
}

func (a *requestAttempts) countStart() {
	if a.startedAttempts == 0 {
		a.startedAt = a.instance.Clock.Now()
	}
	a.running++
	a.countedAttempts++
	a.startedAttempts++
}

// relay sends the request through one more instance. It reports false if it was sent through
// enough of them, or no further one is known.
func (a *requestAttempts) relay(ctx context.Context) bool {
	a.relaying = true
	name, address, found := a.instance.relays.choose(a.peers)
	if !found {
		return false
	}
	a.peers[name] = true
	a.countStart()
	go func() { a.results <- a.instance.relays.send(ctx, a.request, name, address, a.deadline) }()
	return true
}

// linksChanged returns a channel that is closed when the instance loses its links to the
// targets. It is nil if the request does not go through another instance then: it already does,
// or its attempt in flight may have run and must not run twice.
func (a *requestAttempts) linksChanged() <-chan struct{} {
	if a.relaying || !a.request.relayable || a.request.kind != catalog.Idempotent {
		return nil
	}
	_, changed := a.instance.Links.State()
	return changed
}

// onLinksChanged sends the request through another instance if the links are lost. Attempts in
// flight no longer count as attempts: nothing will come of them.
func (a *requestAttempts) onLinksChanged(ctx context.Context) {
	if !a.instance.Links.IsCut() {
		return
	}
	a.countedAttempts = 0
	a.start(ctx, false)
}

// excluded returns the targets that must not get the next attempt: the tried ones, those of
// another software version than the request needs, and for a hedge those that limit the rate
// of their requests.
func (a *requestAttempts) excluded(view *node.View, hedge bool) map[string]bool {
	if !hedge && a.request.software == nil {
		return a.tried
	}
	excluded := maps.Clone(a.tried)
	for i := range view.Targets {
		t := &view.Targets[i]
		if hedge && t.Limited || a.request.software != nil && t.Software != *a.request.software {
			excluded[t.ID] = true
		}
	}
	return excluded
}

// allTargetsRefused reports whether no target has run the request, so that all of them
// may be tried again.
func (a *requestAttempts) allTargetsRefused() bool {
	return len(a.tried) > 0 && a.countedAttempts < a.request.maxAttempts && (a.best == nil || a.best.outcome == retry.NotRun)
}

// slowTimer returns a channel that fires when the first attempt takes long, or the latest one
// through another instance, and a function that stops the timer. The channel is nil if another
// attempt at a target has started.
func (a *requestAttempts) slowTimer() (<-chan time.Time, func()) {
	if !a.relaying && (a.running != 1 || a.startedAttempts > 1 || a.slow) {
		return nil, func() {}
	}
	timer := time.NewTimer(max(hedgeDelayMin, time.Duration(hedgeDelayFraction*float64(a.request.targetLatency))))
	return timer.C, func() { timer.Stop() }
}

// mayHedge reports whether a slow request may be sent to a second target while the first
// attempt is in flight.
func (a *requestAttempts) mayHedge() bool {
	return a.request.kind == catalog.Idempotent && a.countedAttempts < a.request.maxAttempts
}

// handleResult updates a with the result of an attempt, and reports whether the request
// ends with it.
func (a *requestAttempts) handleResult(r *attemptResult) (final bool) {
	a.running--
	if r.outcome == retry.NotRun && r.err != nil {
		a.countedAttempts = max(0, a.countedAttempts-1) // it was not sent
	}
	a.refusedByResponse = a.refusedByResponse || r.err == nil
	var noAllowance *noAllowanceError
	if errors.As(r.err, &noAllowance) {
		a.heldBack++
		if a.allowedIn == 0 || noAllowance.retryAfter < a.allowedIn {
			a.allowedIn = noAllowance.retryAfter
		}
	}
	if a.best == nil || r.outcome != retry.NotRun && !a.best.hasResponse() || r.hasResponse() || r.refused && a.best.outcome == retry.NotRun {
		a.best = r
	}
	if r.hasResponse() && r.status == http.StatusInternalServerError {
		a.serverErrors++
	}
	idempotent := a.request.kind == catalog.Idempotent
	switch {
	case r.refused:
		return a.running == 0
	case r.hasResponse() && (r.status < http.StatusInternalServerError || !idempotent):
		return true
	case r.hasResponse(): // status 5xx: another target may succeed, else this response is used
		return a.running == 0 && a.countedAttempts >= a.request.maxAttempts
	case !retry.Allowed(r.outcome, idempotent):
		return true
	default:
		return a.running == 0 && a.countedAttempts >= a.request.maxAttempts
	}
}
