package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/intake"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/core/relay"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// Attempts holds the state of one request's attempts. Only the goroutine of run
// uses it; the goroutines of the attempts send to results.
type Attempts struct {
	forwarder *Forwarder
	request   *PlainRequest
	deadline  time.Duration

	tried             map[string]bool // targets of earlier attempts; not chosen again
	results           chan *AttemptResult
	running           int
	countedAttempts   int             // limited by MaxAttempts; without those that got no connection
	StartedAttempts   int             // all attempts, for logs and metrics
	startedAt         time.Duration   // of the first attempt
	slow              bool            // the first attempt took long
	relaying          bool            // the instance reaches no target: attempts go through other instances
	peers             map[string]bool // names of these instances
	ServerErrors      int             // attempts whose target responded with status 500
	refusedByResponse bool            // since all targets were tried last, one of them answered
	noneAccepts       bool            // no target of the service accepts a connection
	heldBack          int             // attempts that were not sent, as their targets limit the rate of requests
	// Release gives back the memory of the responses, those of later attempts included. The body of
	// Best must not be used after it.
	Release func()
	// keep gives the memory of a result back when Release is called.
	keep func(r *AttemptResult)
	// granted is the target that has a slot for the next attempt; empty: none is known.
	granted string
	// refusal is the decision that ended the attempts for lack of a free slot; nil: none.
	refusal *intake.Decision
	// condemned is the verdict that ended the attempts; nil: none.
	condemned *poison.Verdict
	// allowedIn is the time until the first of these targets takes a request; zero: unknown.
	allowedIn time.Duration
	// Best is the result to respond with: an attempt with a response, else one that may have
	// run, else one that did not run.
	Best *AttemptResult
}

// RunAttempts sends the request to targets until one responds, no further attempt is
// allowed, or ctx ends. The best result is nil if there is none. Attempts that are still in
// flight end with ctx.
func (f *Forwarder) RunAttempts(ctx context.Context, p *PlainRequest, deadline time.Duration) *Attempts {
	a := &Attempts{
		forwarder: f, request: p, deadline: deadline,
		tried: map[string]bool{}, peers: map[string]bool{}, results: make(chan *AttemptResult, p.MaxAttempts+relay.MaxTries),
	}
	used, release := context.WithCancel(context.WithoutCancel(ctx))
	a.Release = release
	a.keep = func(r *AttemptResult) {
		if r.hold != nil {
			context.AfterFunc(used, r.hold.Close)
		}
	}
	a.run(ctx)
	return a
}

// run runs the attempts and sets best.
func (a *Attempts) run(ctx context.Context) {
	f := a.forwarder
	for {
		if a.running == 0 && !a.admit(ctx) {
			return
		}
		if a.running == 0 && !a.start(ctx, false) {
			a.returnGrant()
			if a.condemned != nil || a.relaying || a.heldBack > 0 || !a.allTargetsRefused() {
				return
			}
			switch {
			case a.refusedByResponse: // one may get a free slot soon
				clear(a.tried)
				a.refusedByResponse = false
			case a.request.relayable && !f.Links.ConfirmSince(ctx, a.startedAt):
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
			f.Links.QuietSince(a.startedAt)
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

// admit waits until a target may have a free slot for the next attempt. It reports false if there
// will be none before the deadline, or ctx has ended. Requests through other instances wait there.
func (a *Attempts) admit(ctx context.Context) bool {
	f := a.forwarder
	if !f.intakes.covers(a.request) || a.relaying || a.request.relayable && f.Links.IsCut() {
		return true
	}
	if a.countedAttempts >= a.request.MaxAttempts {
		if a.refusedByResponse {
			d := f.intakes.refusal(a.request)
			a.refusal = &d
		}
		return true // start reports the rest
	}
	d := f.intakes.admit(ctx, a.request, a.deadline, a.StartedAttempts > 0)
	switch d.Verdict {
	case intake.Send:
		a.granted = d.Target
		return true
	case intake.Refuse:
		a.refusal = &d
	default:
	}
	return false
}

// returnGrant returns the slot of an attempt that was not started.
func (a *Attempts) returnGrant() {
	if a.granted != "" {
		a.forwarder.intakes.withdrawn(a.request, a.granted)
		a.granted = ""
	}
}

// start sends the request to one more target. It reports false if the request is condemned,
// MaxAttempts is reached or every ready target was tried. A hedge is not sent to a target that
// limits its rate.
func (a *Attempts) start(ctx context.Context, hedge bool) bool {
	f := a.forwarder
	if a.countedAttempts >= a.request.MaxAttempts {
		return false
	}
	verdict := f.poisonGuard.check(a.request)
	if verdict.Condemned {
		a.condemned = &verdict
		return false
	}
	suspected := verdict.Crashes > 0
	if suspected && hedge {
		return false
	}
	if a.relaying || a.request.relayable && f.Links.IsCut() {
		return a.relay(ctx)
	}
	view := f.CurrentView()
	target, found := f.plainTargets.choose(f.Clock.Now(), view, a.request.Service, f.Settings.DataCentre, a.excluded(view, hedge), suspected, f.Rand64())
	if !found {
		return false
	}
	if !f.intakes.sent(a.request, target.ID, a.granted) { // others have taken its last slots meanwhile
		f.plainTargets.withdraw(target, suspected)
		target, found = f.plainTargets.choose(f.Clock.Now(), view, a.request.Service, f.Settings.DataCentre, allBut(view, a.granted), suspected, f.Rand64())
		if !found || !f.intakes.sent(a.request, target.ID, a.granted) {
			return false
		}
	}
	a.tried[target.ID] = true
	a.granted = ""
	a.countStart()
	go func() {
		r := f.sendAttempt(ctx, a.request, target, suspected, a.deadline, countReadyTargets(view, a.request.Service))
		a.keep(r)
		a.results <- r
	}()
	return true
}

// awaitRunning handles the results of the attempts in flight after ctx has ended, which ends
// them too. They tell whether the request may have reached a target.
func (a *Attempts) awaitRunning() {
	for a.running > 0 {
		a.handleResult(<-a.results)
	}
}

func (a *Attempts) countStart() {
	if a.StartedAttempts == 0 {
		a.startedAt = a.forwarder.Clock.Now()
	}
	a.running++
	a.countedAttempts++
	a.StartedAttempts++
}

// relay sends the request through one more instance. It reports false if it was sent through
// enough of them, or no further one is known.
func (a *Attempts) relay(ctx context.Context) bool {
	a.relaying = true
	name, address, found := a.forwarder.relays.choose(a.peers)
	if !found {
		return false
	}
	a.peers[name] = true
	a.countStart()
	go func() {
		r := a.forwarder.relays.send(ctx, a.request, name, address, a.deadline)
		a.keep(r)
		a.results <- r
	}()
	return true
}

// linksChanged returns a channel that is closed when the instance loses its links to the
// targets, or has lost them. It is nil if the request does not go through another instance then: it already does,
// or its attempt in flight may have run and must not run twice.
func (a *Attempts) linksChanged() <-chan struct{} {
	if a.relaying || !a.request.relayable || a.request.Kind != catalog.Idempotent {
		return nil
	}
	cut, changed := a.forwarder.Links.State()
	if cut { // since an attempt was started, or its result was handled
		return alreadyChanged
	}
	return changed
}

var alreadyChanged = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// onLinksChanged sends the request through another instance if the links are lost. Attempts in
// flight no longer count as attempts: nothing will come of them.
func (a *Attempts) onLinksChanged(ctx context.Context) {
	if !a.forwarder.Links.IsCut() {
		return
	}
	a.countedAttempts, a.relaying = 0, true
	a.start(ctx, false)
}

// excluded returns the targets that must not get the next attempt: the tried ones, those without
// a free slot, those of another software version than the request needs, and for a hedge those
// that limit the rate of their requests.
func (a *Attempts) excluded(view *node.View, hedge bool) map[string]bool {
	full, _ := a.forwarder.intakes.full(a.request)
	if !hedge && a.request.software == nil && len(full) == 0 {
		return a.tried
	}
	excluded := maps.Clone(a.tried)
	for id := range full {
		excluded[id] = excluded[id] || id != a.granted
	}
	for i := range view.Targets {
		t := &view.Targets[i]
		if hedge && t.Limited || a.request.software != nil && t.Software != *a.request.software {
			excluded[t.ID] = true
		}
	}
	return excluded
}

// allBut returns all targets of the view but one.
func allBut(view *node.View, id string) map[string]bool {
	out := make(map[string]bool, len(view.Targets))
	for i := range view.Targets {
		out[view.Targets[i].ID] = view.Targets[i].ID != id
	}
	return out
}

// allTargetsRefused reports whether no target has run the request, so that all of them
// may be tried again.
func (a *Attempts) allTargetsRefused() bool {
	return len(a.tried) > 0 && a.countedAttempts < a.request.MaxAttempts && (a.Best == nil || a.Best.Outcome == retry.NotRun)
}

// slowTimer returns a channel that fires when the first attempt takes long, or the latest one
// through another instance, and a function that stops the timer. The channel is nil if another
// attempt at a target has started.
func (a *Attempts) slowTimer() (<-chan time.Time, func()) {
	if !a.relaying && (a.running != 1 || a.StartedAttempts > 1 || a.slow) {
		return nil, func() {}
	}
	timer := time.NewTimer(retry.HedgeDelay(a.forwarder.intakes.serviceTime(a.request), a.request.TargetLatency))
	return timer.C, func() { timer.Stop() }
}

// mayHedge reports whether a slow request may be sent to a second target while the first
// attempt is in flight.
func (a *Attempts) mayHedge() bool {
	_, waiting := a.forwarder.intakes.full(a.request)
	return a.request.Kind == catalog.Idempotent && a.countedAttempts < a.request.MaxAttempts && !waiting
}

// handleResult updates a with the result of an attempt, and reports whether the request
// ends with it.
func (a *Attempts) handleResult(r *AttemptResult) (final bool) {
	a.running--
	if r.Outcome == retry.NotRun && r.Err != nil && !errors.Is(r.Err, errMisdirected) {
		a.countedAttempts = max(0, a.countedAttempts-1) // it was not sent
	}
	a.refusedByResponse = a.refusedByResponse || r.Err == nil
	if r.Outcome == retry.NotRun && r.Err == nil && a.forwarder.intakes.covers(a.request) {
		delete(a.tried, r.Target.ID) // admit tells when it may have a free slot
	}
	var noAllowance *noAllowanceError
	if errors.As(r.Err, &noAllowance) {
		a.heldBack++
		if a.allowedIn == 0 || noAllowance.retryAfter < a.allowedIn {
			a.allowedIn = noAllowance.retryAfter
		}
	}
	if a.Best == nil || r.Outcome != retry.NotRun && !a.Best.HasResponse() || r.HasResponse() || r.refused && a.Best.Outcome == retry.NotRun {
		a.Best = r
	}
	if r.HasResponse() && r.Status == http.StatusInternalServerError {
		a.ServerErrors++
	}
	idempotent := a.request.Kind == catalog.Idempotent
	switch {
	case r.refused:
		return a.running == 0
	case r.HasResponse() && (r.Status < http.StatusInternalServerError || !idempotent):
		return true
	case r.HasResponse(): // status 5xx: another target may succeed, else this response is used
		return a.running == 0 && a.countedAttempts >= a.request.MaxAttempts
	case !retry.Allowed(r.Outcome, idempotent):
		return true
	default:
		return a.running == 0 && a.countedAttempts >= a.request.MaxAttempts
	}
}
