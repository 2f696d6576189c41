package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// timeoutMargin is how long before a route's timeout the final response is sent.
	timeoutMargin = 20 * time.Millisecond
	// retryAfter is the Retry-After of refused requests: a few polls of the registry.
	retryAfter = 250 * time.Millisecond
	// stoppedRetryAfter is the Retry-After while no target of a service accepts a connection:
	// targets take seconds to start.
	stoppedRetryAfter = time.Second
	// defaultTimeout bounds requests for which neither route nor caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
)

// ErrStopping is the cause of the end of a request's context when the instance stops before the
// request has ended. Its caller still waits for a response.
var ErrStopping = errors.New("the instance stops")

// callerGone reports whether the caller of the request has disconnected.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStopping)
}

// CallerRequest is a request of a caller, with the configuration, route and account that
// apply to it.
type CallerRequest struct {
	platform.RequestHeader
	Writer  http.ResponseWriter
	Request *http.Request
	View    *node.View
	Route   *catalog.Route
	Account string
	Job     string // job that the request refers to; empty: none
	Body    []byte
	Started time.Duration // arrival, by clock.Now
	relayed bool          // by another instance
	// ownResponse is the header of responses that this instance generates to a relayed request.
	ownResponse string
}

// NewRequest returns the request of a caller, as the latest view has it.
func (f *Forwarder) NewRequest(w http.ResponseWriter, r *http.Request) *CallerRequest {
	return &CallerRequest{RequestHeader: platform.DecodeRequestHeader(r), Writer: w, Request: r, View: f.CurrentView(), Started: f.Clock.Now()}
}

// Refuse responds with status 503 and Retry-After to a request that has not run and will
// not run.
func (f *Forwarder) Refuse(c *CallerRequest, reason string) { f.refuseFor(c, retryAfter, reason) }

// refuseFor is refuse with a Retry-After of its own.
func (f *Forwarder) refuseFor(c *CallerRequest, delay time.Duration, reason string) {
	f.Metrics.Refused.Inc()
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, delay)
	f.Respond(c, http.StatusServiceUnavailable, reason)
}

// Respond responds with the status and the reason as the body, and logs the response.
func (f *Forwarder) Respond(c *CallerRequest, status int, reason string) {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		f.Metrics.Failed.Inc()
	}
	f.Log("request answered", events.F("request", c.ID), events.F("job", c.Job), events.F("method", c.Request.Method), events.F("path", c.Request.URL.Path),
		events.F("status", fmt.Sprint(status)), events.F("reason", reason), events.F("config", c.configVersion()),
		events.F("config_age", f.ConfigAge().Round(time.Millisecond).String()),
		events.F("took", (f.Clock.Now()-c.Started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.Writer.Header(), c.ID, 0)
	if c.relayed {
		c.Writer.Header().Set(headerOwnResponse, c.ownResponse)
	}
	http.Error(c.Writer, reason, status)
}

func (c *CallerRequest) configVersion() string {
	if c.View.Catalog == nil {
		return "none"
	}
	return fmt.Sprint(c.View.Catalog.Version)
}

// Deny responds with the status to a request that the configuration does not allow. It
// refuses the request instead if this instance may have missed a newer configuration.
func (f *Forwarder) Deny(c *CallerRequest, status int, reason string) {
	if !f.ConfigFresh() {
		f.Refuse(c, "configuration may be outdated: "+reason)
		return
	}
	f.Respond(c, status, reason)
}

// AwaitConfiguration waits until the configuration and the targets have been read, after
// the start of the instance. It waits for StaleAfter at most, and for a third of the
// caller's time at most, so that the caller can still try another instance. It reports
// whether the configuration has been read.
func (f *Forwarder) AwaitConfiguration(c *CallerRequest) bool {
	limit := node.StaleAfter
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft/3)
	}
	ctx, cancel := f.withDeadline(c, c.Started+limit)
	defer cancel()
	for {
		changed := f.StateLoop.NextChange()
		c.View = f.CurrentView()
		if c.View.Catalog != nil && len(c.View.Targets) > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.View.Catalog != nil
		}
	}
}

// ReadBody reads the complete request body, until the response is due at the latest. If that
// fails, it responds and reports false.
func (f *Forwarder) ReadBody(c *CallerRequest) bool {
	limit := c.View.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	connection := http.NewResponseController(c.Writer)
	_ = connection.SetReadDeadline(time.Now().Add(c.deadline() - f.Clock.Now())) // the server's connections support it
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
	} else {
		// The deadline stays: the server reads what is left of the body before it closes.
		c.Writer.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Respond(c, http.StatusRequestTimeout, "the body did not arrive in time")
		return false
	case errors.As(err, &tooLarge):
		f.Respond(c, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
		return false
	case err != nil:
		f.Respond(c, http.StatusBadRequest, "the body did not arrive whole: "+err.Error())
		return false
	}
	c.Body = body
	return true
}

// deadline returns when the response is due: timeoutMargin before the earlier of the
// route's timeout and the caller's own deadline.
func (c *CallerRequest) deadline() time.Duration {
	left := c.Route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if c.TimeLeft > 0 {
		left = min(left, c.TimeLeft)
	}
	return c.Started + left - timeoutMargin
}

// withDeadline returns a context that ends at the deadline, a reading of clock.Now, or
// when the caller disconnects.
func (f *Forwarder) withDeadline(c *CallerRequest, deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request.Context(), deadline-f.Clock.Now())
}
