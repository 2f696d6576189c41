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
	maxAttempts = 3  // consecutive attempts without progress
	maxResumes  = 16 // resumptions of a request after attempts with progress
	// maxTargetFailures is the maximum of those resumptions that follow a failure of
	// the target. It is lower, since the request itself may crash targets.
	maxTargetFailures = 5
)

// requestAttempts holds the state of one request over all its attempts.
//
// Invariant: outcome is NotRun only while it is certain that no attempt has sent a byte.
type requestAttempts struct {
	server          *Server
	call            *call
	service         string
	repeatable      bool
	outcome         retry.Outcome
	withoutProgress int // consecutive attempts without progress
	resumes         int // failed attempts with progress or with a moved stream
	targetFailures  int // of the resumes, those after a failure of the target
	tried           map[string]bool
	lastErr         error
	backoffPolicy   *backoff.ExponentialBackOff
}

// newRequestAttempts starts the attempts of a request, which adds to the retry budget.
func (s *Server) newRequestAttempts(c *call, service string, repeatable bool) *requestAttempts {
	s.retries.recordRequest()
	return &requestAttempts{server: s, call: c, service: service, repeatable: repeatable, outcome: retry.NotRun}
}

// chooseTarget returns a target that this request has not tried and that is not
// ejected. If there is none, it returns any untried target, and if there is none of
// these either, any target.
func (a *requestAttempts) chooseTarget() (*route.Target, error) {
	snapshot := a.server.Loop.Snapshot()
	q := route.Query{
		Service: a.service, DataCentre: snapshot.Self.DataCentre,
		AvoidCheap: !a.repeatable, Exclude: a.tried, Prefix: a.call.prefix, Random: rand.Uint64(),
	}
	excluded := a.tried
	for {
		q.Exclude = excluded
		target, err := snapshot.RoutingTable.Choose(q)
		if err != nil {
			break
		}
		if a.server.retries.allow(target.ID) {
			return target, nil
		}
		excluded = withID(excluded, target.ID)
	}
	q.Exclude = a.tried
	if target, err := snapshot.RoutingTable.Choose(q); err == nil {
		return target, nil
	}
	q.Exclude = nil
	return snapshot.RoutingTable.Choose(q)
}

// withID returns a copy of the set with id added.
func withID(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k := range set {
		out[k] = true
	}
	out[id] = true
	return out
}

// succeeded records that the target has responded.
func (a *requestAttempts) succeeded(target *route.Target) {
	a.outcome = retry.Ran
	if a.server.retries.succeeded(target.ID) {
		a.server.Events.Record("target back", events.F("target", target.ID))
	}
}

// failed records a failed attempt and reports whether another may follow. It waits for
// the backoff before a retry that counts against the retry budget. progress means that
// the attempt delivered a part of the response or that the stream was moved: the next
// attempt repeats no work and does not count against the budget.
func (a *requestAttempts) failed(ctx context.Context, target *route.Target, err error, progress bool) bool {
	var attempt *engine.AttemptError
	sent := errors.As(err, &attempt)
	outcome := retry.NotRun
	if sent {
		outcome = attempt.Outcome
	}
	a.lastErr = err
	a.outcome = a.outcome.Combine(outcome)
	a.recordHealth(ctx, target, attempt)
	a.tried = withID(a.tried, target.ID)
	if !retry.Allowed(outcome, a.repeatable) || ctx.Err() != nil || endsRequest(err) {
		return false
	}
	if progress {
		a.withoutProgress, a.backoffPolicy = 0, nil
		a.resumes++
		if !errors.Is(err, errStreamMoved) {
			a.targetFailures++
		}
		return a.resumes <= maxResumes && a.targetFailures <= maxTargetFailures
	}
	if a.withoutProgress++; a.withoutProgress >= maxAttempts {
		return false
	}
	if !sent {
		return true // no target got the request, and another queue may have a free slot
	}
	if !a.server.retries.spend() {
		a.server.Events.Record("retry over budget", events.F("request", a.call.id), events.F("target", target.ID))
		return false
	}
	return a.waitBackoff(ctx)
}

// endsRequest reports whether the error would be the same with any other target.
func endsRequest(err error) bool {
	var held *claimHeldError
	return errors.As(err, &held) || errors.Is(err, errClaimUnconfirmed) || errors.Is(err, errClaimExpired)
}

// recordHealth records the attempt's result for outlier detection. An attempt that was
// not sent, or that ended with the request's context or by a move, counts neither as a
// success nor as a failure of the target.
func (a *requestAttempts) recordHealth(ctx context.Context, target *route.Target, attempt *engine.AttemptError) {
	r := a.server.retries
	switch {
	case attempt == nil || ctx.Err() != nil || errors.Is(attempt, errStreamMoved):
		r.cancelProbe(target.ID)
	case attempt.Outcome == retry.Ran:
		r.succeeded(target.ID)
	default:
		targetCount := len(a.server.Loop.Snapshot().RoutingTable.Targets(a.service))
		if r.failed(a.service, target.ID, targetCount) {
			a.server.Events.Record("target ejected", events.F("target", target.ID), events.F("service", a.service))
		}
	}
}

// waitBackoff waits for the next backoff interval, which grows exponentially with
// jitter. It returns false if ctx ends first.
func (a *requestAttempts) waitBackoff(ctx context.Context) bool {
	if a.backoffPolicy == nil {
		a.backoffPolicy = backoff.NewExponentialBackOff()
		a.backoffPolicy.InitialInterval, a.backoffPolicy.MaxInterval = initialBackoff, maxBackoff
	}
	return clock.Sleep(ctx, a.backoffPolicy.NextBackOff())
}

// failure returns the final failure of the request and records it as an event.
func (a *requestAttempts) failure(ctx context.Context) *failure {
	err := a.lastErr
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	f := *asFailure(err)
	if f.code != codeRequestTooOld {
		f.outcome = a.outcome
	}
	if f.outcome == retry.NotRun && f.status == http.StatusBadGateway {
		f.status, f.code, f.message = http.StatusServiceUnavailable, "unavailable", "no target could be reached"
	}
	a.call.failed = true
	a.server.Events.Record("request failed", events.F("request", a.call.id), events.F("account", a.call.accountName()),
		events.F("outcome", f.outcome.String()), events.F("code", f.code))
	return &f
}
