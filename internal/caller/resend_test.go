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
		req := &plainRequest{
			call: &call{id: "r"}, route: &config.Route{Name: "/holds", Repeatable: repeatable},
			method: method, path: "/holds", header: header, body: []byte(body),
		}
		_, err := p.do(ctx, req, base)
		return outcomeOf(err)
	}
}

func engineSender(c *engine.Client) sender { return completionSender(c, `{"model":"m"}`) }

func completionSender(c *engine.Client, body string) sender {
	return func(ctx context.Context, base string) retry.Outcome {
		stream, err := c.Open(ctx, base, "/v1/completions", []byte(body))
		if err != nil {
			return outcomeOf(err)
		}
		defer stream.Close()
		_, hold, err := stream.ReadAll()
		hold.Close()
		return outcomeOf(err)
	}
}

// outcomeOf returns the outcome of a sender's attempt.
func outcomeOf(err error) retry.Outcome {
	if err == nil {
		return retry.Ran
	}
	return err.(*engine.AttemptError).Outcome //nolint:errorlint // the clients guarantee this type
}

// Each request is sent to a target at most once, no matter how its connection ends. This
// includes the cases in which net/http would resend a request automatically.
func TestEachRequestIsSentOnce(t *testing.T) {
	idempotent := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	senders := map[string]func() sender{
		"POST":                        func() sender { return plainSender(newPlainClient(engine.Dial), "POST", http.Header{}, "x", false) },
		"POST without body":           func() sender { return plainSender(newPlainClient(engine.Dial), "POST", http.Header{}, "", false) },
		"POST with idempotency key":   func() sender { return plainSender(newPlainClient(engine.Dial), "POST", idempotent, "x", false) },
		"bodyless, idempotency key":   func() sender { return plainSender(newPlainClient(engine.Dial), "POST", idempotent, "", false) },
		"GET":                         func() sender { return plainSender(newPlainClient(engine.Dial), "GET", http.Header{}, "", false) },
		"DELETE":                      func() sender { return plainSender(newPlainClient(engine.Dial), "DELETE", http.Header{}, "", false) },
		"completion":                  func() sender { return engineSender(engine.NewClient()) },
		"repeatable POST with a body": func() sender { return plainSender(newPlainClient(engine.Dial), "POST", idempotent, "x", true) },
	}
	faults := []struct {
		name    string
		steps   []raw.Behavior
		last    retry.Outcome // of the last request; one request is sent for each step
		atLeast int           // requests read by the target
	}{
		{"answers", []raw.Behavior{raw.Respond, raw.Respond}, retry.Ran, 2},
		{"reads and closes", []raw.Behavior{raw.ReadThenClose}, retry.Unknown, 1},
		{"reads and resets", []raw.Behavior{raw.ReadThenReset}, retry.Unknown, 1},
		{"closes unread", []raw.Behavior{raw.CloseBeforeRead}, retry.Unknown, 0},
		{"responds partially", []raw.Behavior{raw.RespondPartially}, retry.Unknown, 1},
		{"reads on a kept-alive connection and closes", []raw.Behavior{raw.Respond, raw.ReadThenClose}, retry.Unknown, 2},
		{"reads on a kept-alive connection and resets", []raw.Behavior{raw.Respond, raw.ReadThenReset}, retry.Unknown, 2},
	}
	for name, newSender := range senders {
		for _, f := range faults {
			t.Run(name+"/"+f.name, func(t *testing.T) {
				target, err := raw.Start(append(f.steps, raw.Respond)...)
				if err != nil {
					t.Fatal(err)
				}
				defer target.Close()
				send := newSender()
				var got retry.Outcome
				for range f.steps {
					got = send(t.Context(), target.URL)
				}
				if got != f.last {
					t.Errorf("outcome is %s, want %s", got, f.last)
				}
				if received := len(target.RequestLines()); received < f.atLeast || received > len(f.steps) {
					t.Errorf("the target read %d requests of %d: %v", received, len(f.steps), target.RequestLines())
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
		"plain":  plainSender(newPlainClient(engine.Dial), "POST", http.Header{}, "x", false),
		"engine": engineSender(engine.NewClient()),
	} {
		if got := send(t.Context(), target.URL); got != retry.NotRun {
			t.Errorf("%s: outcome is %s, want not run", name, got)
		}
	}
}

// idleServer returns a server whose control state has read no records.
func idleServer() *Server {
	recorder := events.New("test", nil, clock.System{}.Wall)
	loop := control.New(control.Options{Clock: clock.System{}, Events: recorder})
	return New(Options{Loop: loop, Clock: clock.System{}, Events: recorder})
}

// The outcome sent to the caller combines all attempts: an attempt that was not run must
// not hide an earlier one that may have run.
func TestOutcomeOverAllAttempts(t *testing.T) {
	sent := &engine.AttemptError{Outcome: retry.Unknown, Err: engine.ErrTruncated}
	notSent := &engine.AttemptError{Outcome: retry.NotRun, Err: errors.New("connection refused")}
	refused := &dispatch.RefusedError{Target: "t", Reason: admit.QueueFull}
	for _, c := range []struct {
		name     string
		attempts []error
		want     retry.Outcome
		status   int
	}{
		{"no target reached", []error{notSent, notSent}, retry.NotRun, http.StatusServiceUnavailable},
		{"no slot", []error{refused}, retry.NotRun, http.StatusServiceUnavailable},
		{"reached, then not reached", []error{sent, notSent}, retry.Unknown, http.StatusServiceUnavailable},
		{"reached, then no slot", []error{sent, refused}, retry.Unknown, http.StatusServiceUnavailable},
		{"not reached, then reached", []error{notSent, sent}, retry.Unknown, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempts := idleServer().newRequestAttempts(&call{id: "r"}, "s", true)
			for i, err := range c.attempts {
				attempts.failed(t.Context(), &route.Target{ID: fmt.Sprint(i)}, err, false)
			}
			f := attempts.failure(t.Context())
			if f.outcome != c.want {
				t.Errorf("outcome is %s, want %s", f.outcome, c.want)
			}
			if f.outcome == retry.NotRun && f.status != c.status {
				t.Errorf("status is %d, want %d", f.status, c.status)
			}
		})
	}
}

// A non-repeatable request is never sent again once a byte may have been sent.
func TestNonRepeatableStopsAtUnknown(t *testing.T) {
	attempts := idleServer().newRequestAttempts(&call{id: "r"}, "s", false)
	if !attempts.failed(t.Context(), &route.Target{ID: "a"}, &engine.AttemptError{Outcome: retry.NotRun}, false) {
		t.Error("no further attempt was allowed after one that did not run")
	}
	if attempts.failed(t.Context(), &route.Target{ID: "b"}, &engine.AttemptError{Outcome: retry.Unknown}, false) {
		t.Error("a further attempt was allowed after one that may have run")
	}
}

// Retries stay within the budget. Resumptions of a stream that makes progress are not
// charged to it but limited in number.
func TestRetriesStayWithinBudget(t *testing.T) {
	s := idleServer()
	s.retries.budget.SetLimits(0.1, 2)
	truncated := &engine.AttemptError{Outcome: retry.Unknown, Err: engine.ErrTruncated}
	retried := 0
	for range 50 {
		attempts := s.newRequestAttempts(&call{id: "r"}, "s", true)
		if attempts.failed(t.Context(), &route.Target{ID: "a"}, truncated, false) {
			retried++
		}
	}
	if retried > 2+5 { // the burst of 2, and 0.1 for each of 50 requests
		t.Errorf("%d of 50 requests were retried, want at most 7", retried)
	}
	for _, c := range []struct {
		name  string
		err   error
		bound int
	}{{"moved", errStreamMoved, maxResumes}, {"cut", truncated, maxTargetFailures}} {
		attempts := s.newRequestAttempts(&call{id: "r"}, "s", true)
		for range c.bound {
			if !attempts.failed(t.Context(), &route.Target{ID: "a"}, c.err, true) {
				t.Fatalf("a stream with progress was not resumed after it was %s", c.name)
			}
		}
		if attempts.failed(t.Context(), &route.Target{ID: "a"}, c.err, true) {
			t.Errorf("the resumptions of a stream that is %s are not limited", c.name)
		}
	}
}
