package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
	raw "github.com/amaranthfold/amaranthfold/internal/standin/rawtarget"
)

// sender sends one request and returns its outcome.
type sender func(ctx context.Context, base string) retry.Outcome

func plainSender(p *plainClient, method string, header http.Header, body string, repeatable bool) sender {
	return func(ctx context.Context, base string) retry.Outcome {
		job := &plainRequest{
			call: &call{id: "r"}, route: &config.Route{Name: "/holds", Repeatable: repeatable},
			method: method, path: "/holds", header: header, body: []byte(body),
		}
		_, err := p.do(ctx, job, base)
		return outcomeOf(err)
	}
}

func engineSender(c *engine.Client) sender {
	return func(ctx context.Context, base string) retry.Outcome {
		stream, err := c.Open(ctx, base, "/v1/completions", []byte(`{"model":"m"}`))
		if err != nil {
			return outcomeOf(err)
		}
		defer stream.Close()
		_, err = stream.ReadAll()
		return outcomeOf(err)
	}
}

func outcomeOf(err error) retry.Outcome {
	if err == nil {
		return retry.Ran
	}
	return err.(*engine.AttemptError).Outcome //nolint:errorlint // the clients promise this very type
}

// Of each request a target sees one sending at most, however its connection
// ends, also where net/http would send it again by itself.
func TestEachRequestIsSentOnce(t *testing.T) {
	idempotent := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	senders := map[string]func() sender{
		"POST":                        func() sender { return plainSender(newPlainClient(), "POST", http.Header{}, "x", false) },
		"POST without body":           func() sender { return plainSender(newPlainClient(), "POST", http.Header{}, "", false) },
		"POST with idempotency key":   func() sender { return plainSender(newPlainClient(), "POST", idempotent, "x", false) },
		"bodyless, idempotency key":   func() sender { return plainSender(newPlainClient(), "POST", idempotent, "", false) },
		"GET":                         func() sender { return plainSender(newPlainClient(), "GET", http.Header{}, "", false) },
		"DELETE":                      func() sender { return plainSender(newPlainClient(), "DELETE", http.Header{}, "", false) },
		"completion":                  func() sender { return engineSender(engine.NewClient()) },
		"repeatable POST with a body": func() sender { return plainSender(newPlainClient(), "POST", idempotent, "x", true) },
	}
	faults := []struct {
		name    string
		steps   []raw.Behavior
		last    retry.Outcome // of the last request; one for each step
		atLeast int           // requests read by the target
	}{
		{"answers", []raw.Behavior{raw.Respond, raw.Respond}, retry.Ran, 2},
		{"reads and closes", []raw.Behavior{raw.ReadThenClose}, retry.Unknown, 1},
		{"reads and resets", []raw.Behavior{raw.ReadThenReset}, retry.Unknown, 1},
		{"closes unread", []raw.Behavior{raw.CloseBeforeRead}, retry.Unknown, 0},
		{"half an answer", []raw.Behavior{raw.RespondPartially}, retry.Unknown, 1},
		{"reads on a kept connection and closes", []raw.Behavior{raw.Respond, raw.ReadThenClose}, retry.Unknown, 2},
		{"reads on a kept connection and resets", []raw.Behavior{raw.Respond, raw.ReadThenReset}, retry.Unknown, 2},
	}
	for name, make := range senders {
		for _, f := range faults {
			t.Run(name+"/"+f.name, func(t *testing.T) {
				target, err := raw.Start(append(f.steps, raw.Respond)...)
				if err != nil {
					t.Fatal(err)
				}
				defer target.Close()
				send := make()
				var got retry.Outcome
				for range f.steps {
					got = send(t.Context(), target.URL)
				}
				if got != f.last {
					t.Errorf("outcome is %s, want %s", got, f.last)
				}
				if seen := len(target.RequestLines()); seen < f.atLeast || seen > len(f.steps) {
					t.Errorf("the target read %d requests of %d: %v", seen, len(f.steps), target.RequestLines())
				}
			})
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	target, err := raw.Start(raw.Respond)
	if err != nil {
		t.Fatal(err)
	}
	target.Close()
	for name, send := range map[string]sender{
		"plain":  plainSender(newPlainClient(), "POST", http.Header{}, "x", false),
		"engine": engineSender(engine.NewClient()),
	} {
		if got := send(t.Context(), target.URL); got != retry.NotRun {
			t.Errorf("%s: outcome is %s, want not run", name, got)
		}
	}
}

// idleServer is a server whose control state has read nothing.
func idleServer() *Server {
	recorder := events.New("test", nil, clock.System{}.Wall)
	loop := control.New(control.Options{Clock: clock.System{}, Events: recorder})
	return New(Options{Loop: loop, Clock: clock.System{}, Events: recorder})
}

// The last attempt's "not run" must not hide an earlier attempt that may have
// run: the caller is told the outcome of all.
func TestOutcomeOverAllAttempts(t *testing.T) {
	reached := &engine.AttemptError{Outcome: retry.Unknown, Err: engine.ErrTruncated}
	unreached := &engine.AttemptError{Outcome: retry.NotRun, Err: errors.New("connection refused")}
	refused := &dispatch.RefusedError{Target: "t", Reason: admit.QueueFull}
	for _, c := range []struct {
		name     string
		attempts []error
		want     retry.Outcome
		status   int
	}{
		{"no target reached", []error{unreached, unreached}, retry.NotRun, http.StatusServiceUnavailable},
		{"no slot", []error{refused}, retry.NotRun, http.StatusServiceUnavailable},
		{"reached, then not", []error{reached, unreached}, retry.Unknown, http.StatusServiceUnavailable},
		{"reached, then no slot", []error{reached, refused}, retry.Unknown, http.StatusServiceUnavailable},
		{"not reached, then reached", []error{unreached, reached}, retry.Unknown, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := idleServer().newRequestAttempts(&call{id: "r"}, "s", true)
			for i, err := range c.attempts {
				e.failed(t.Context(), &route.Target{ID: fmt.Sprint(i)}, err, false)
			}
			f := e.failure(t.Context())
			if f.outcome != c.want {
				t.Errorf("outcome is %s, want %s", f.outcome, c.want)
			}
			if f.outcome == retry.NotRun && f.status != c.status {
				t.Errorf("status is %d, want %d", f.status, c.status)
			}
		})
	}
}

// A non-repeatable request is never sent again once a byte may have left.
func TestNonRepeatableStopsAtUnknown(t *testing.T) {
	e := idleServer().newRequestAttempts(&call{id: "r"}, "s", false)
	if !e.failed(t.Context(), &route.Target{ID: "a"}, &engine.AttemptError{Outcome: retry.NotRun}, false) {
		t.Error("an attempt that did not run may be followed by another")
	}
	if e.failed(t.Context(), &route.Target{ID: "b"}, &engine.AttemptError{Outcome: retry.Unknown}, false) {
		t.Error("an attempt that may have run must be the last")
	}
}

// Retries stay within the budget; a stream that makes progress costs none.
func TestRetriesKeepToTheBudget(t *testing.T) {
	s := idleServer()
	s.retries.budget.SetLimits(0.1, 2)
	broken := &engine.AttemptError{Outcome: retry.Unknown, Err: engine.ErrTruncated}
	retried := 0
	for range 50 {
		e := s.newRequestAttempts(&call{id: "r"}, "s", true)
		if e.failed(t.Context(), &route.Target{ID: "a"}, broken, false) {
			retried++
		}
	}
	if retried > 2+5 {
		t.Errorf("%d of 50 requests were sent again, want at most 7", retried)
	}
	for _, c := range []struct {
		name  string
		err   error
		bound int
	}{{"moved", errStreamMoved, maxResumes}, {"cut", broken, maxTargetFailures}} {
		e := s.newRequestAttempts(&call{id: "r"}, "s", true)
		for range c.bound {
			if !e.failed(t.Context(), &route.Target{ID: "a"}, c.err, true) {
				t.Fatalf("a stream with progress was not resumed after it was %s", c.name)
			}
		}
		if e.failed(t.Context(), &route.Target{ID: "a"}, c.err, true) {
			t.Errorf("resumes of a stream that is %s are not bounded", c.name)
		}
	}
}
