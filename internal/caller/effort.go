package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/cenkalti/backoff/v5"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	maxAttempts       = 3  // attempts in a row that bring the request nowhere
	maxResumes        = 16 // attempts of one stream that brought some tokens
	maxTargetFailures = 5  // of these, attempts whose target failed: the request may be what fails them
)

// requestAttempts follows one request over its attempts.
//
// Invariant: outcome is NotRun only while no attempt can have sent a byte.
type requestAttempts struct {
	server          *Server
	call            *call
	service         string
	repeatable      bool
	outcome         retry.Outcome
	withoutProgress int // attempts since the last progress
	resumes         int
	targetFailures  int // resumes after a target's failure
	tried           map[string]bool
	lastErr         error
	backoffPolicy   *backoff.ExponentialBackOff
}

func (s *Server) newRequestAttempts(c *call, service string, repeatable bool) *requestAttempts {
	s.retries.recordRequest()
	return &requestAttempts{server: s, call: c, service: service, repeatable: repeatable, outcome: retry.NotRun}
}

// chooseTarget chooses a target that has not failed the request yet and is in good
// health, then one in good health, then any.
func (e *requestAttempts) chooseTarget() (*route.Target, error) {
	snapshot := e.server.Loop.Snapshot()
	q := route.Query{
		Service: e.service, DataCentre: snapshot.Self.DataCentre,
		AvoidCheap: !e.repeatable, Exclude: e.tried, Prefix: e.call.prefix, Random: rand.Uint64(),
	}
	skip := e.tried
	for {
		q.Exclude = skip
		t, err := snapshot.RoutingTable.Choose(q)
		if err != nil {
			break
		}
		if e.server.retries.allow(t.ID) {
			return t, nil
		}
		skip = withID(skip, t.ID)
	}
	q.Exclude = e.tried
	if t, err := snapshot.RoutingTable.Choose(q); err == nil {
		return t, nil
	}
	q.Exclude = nil
	return snapshot.RoutingTable.Choose(q)
}

// withID returns a copy of set that holds id, too.
func withID(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k := range set {
		out[k] = true
	}
	out[id] = true
	return out
}

// succeeded notes that the target has answered.
func (e *requestAttempts) succeeded(target *route.Target) {
	e.outcome = retry.Ran
	if e.server.retries.succeeded(target.ID) {
		e.server.Events.Record("target back", events.F("target", target.ID))
	}
}

// failed notes a failed attempt and reports whether another may follow now. It
// waits for the back-off. progress tells that the attempt brought a part of the
// answer: the next one repeats no work, so that it costs no retry.
func (e *requestAttempts) failed(ctx context.Context, target *route.Target, err error, progress bool) bool {
	var attempt *engine.AttemptError
	sent := errors.As(err, &attempt)
	outcome := retry.NotRun
	if sent {
		outcome = attempt.Outcome
	}
	e.lastErr = err
	e.outcome = e.outcome.Combine(outcome)
	e.recordHealth(ctx, target, attempt)
	e.tried = withID(e.tried, target.ID)
	if !retry.Allowed(outcome, e.repeatable) || ctx.Err() != nil || endsRequest(err) {
		return false
	}
	if progress {
		e.withoutProgress, e.backoffPolicy = 0, nil
		e.resumes++
		if !errors.Is(err, errStreamMoved) {
			e.targetFailures++
		}
		return e.resumes <= maxResumes && e.targetFailures <= maxTargetFailures
	}
	if e.withoutProgress++; e.withoutProgress >= maxAttempts {
		return false
	}
	if !sent {
		return true // another queue may have room; no target was troubled
	}
	if !e.server.retries.spend() {
		e.server.Events.Record("retry over budget", events.F("request", e.call.id), events.F("target", target.ID))
		return false
	}
	return e.backOff(ctx)
}

// endsRequest reports whether no other target can change the failure.
func endsRequest(err error) bool {
	var taken *claimHeldError
	return errors.As(err, &taken) || errors.Is(err, errClaimUnconfirmed) || errors.Is(err, errClaimExpired)
}

// recordHealth notes the attempt's failure against the target's health.
func (e *requestAttempts) recordHealth(ctx context.Context, target *route.Target, attempt *engine.AttemptError) {
	r := e.server.retries
	switch {
	case attempt == nil || ctx.Err() != nil || errors.Is(attempt, errStreamMoved):
		r.releaseUnsent(target.ID)
	case attempt.Outcome == retry.Ran:
		r.succeeded(target.ID)
	default:
		size := len(e.server.Loop.Snapshot().RoutingTable.Targets(e.service))
		if r.failed(e.service, target.ID, size) {
			e.server.Events.Record("target ejected", events.F("target", target.ID), events.F("service", e.service))
		}
	}
}

// backOff waits a jittered, growing pause and reports whether time is left.
func (e *requestAttempts) backOff(ctx context.Context) bool {
	if e.backoffPolicy == nil {
		e.backoffPolicy = backoff.NewExponentialBackOff()
		e.backoffPolicy.InitialInterval, e.backoffPolicy.MaxInterval = backOffBase, backOffLimit
	}
	return clock.Sleep(ctx, e.backoffPolicy.NextBackOff())
}

// failure is the request's final answer after its last attempt.
func (e *requestAttempts) failure(ctx context.Context) *failure {
	err := e.lastErr
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	f := *asFailure(err)
	if f.code != codeRequestTooOld {
		f.outcome = e.outcome
	}
	if f.outcome == retry.NotRun && f.status == http.StatusBadGateway {
		f.status, f.code, f.message = http.StatusServiceUnavailable, "unavailable", "no target could be reached"
	}
	e.call.failed = true
	e.server.Events.Record("request failed", events.F("request", e.call.id), events.F("account", e.call.accountName()),
		events.F("outcome", f.outcome.String()), events.F("code", f.code))
	return &f
}
