package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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

// callerRequest is a request of a caller, with the configuration, route and account that
// apply to it.
type callerRequest struct {
	platform.RequestHeader
	w       http.ResponseWriter
	r       *http.Request
	view    *node.View
	route   *catalog.Route
	account string
	job     string // job that the request refers to; empty: none
	body    []byte
	started time.Duration // arrival, by clock.Now
	relayed bool          // by another instance
	// ownResponse is the header of responses that this instance generates to a relayed request.
	ownResponse string
}

// refuse responds with status 503 and Retry-After to a request that has not run and will
// not run.
func (in *Instance) refuse(c *callerRequest, reason string) { in.refuseFor(c, retryAfter, reason) }

// refuseFor is refuse with a Retry-After of its own.
func (in *Instance) refuseFor(c *callerRequest, delay time.Duration, reason string) {
	in.Metrics.Refused.Inc()
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, delay)
	in.respond(c, http.StatusServiceUnavailable, reason)
}

// respond responds with the status and the reason as the body, and logs the response.
func (in *Instance) respond(c *callerRequest, status int, reason string) {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		in.Metrics.Failed.Inc()
	}
	in.Log("request answered", events.F("request", c.ID), events.F("job", c.job), events.F("method", c.r.Method), events.F("path", c.r.URL.Path),
		events.F("status", fmt.Sprint(status)), events.F("reason", reason), events.F("config", c.configVersion()),
		events.F("config_age", in.ConfigAge().Round(time.Millisecond).String()),
		events.F("took", (in.Clock.Now()-c.started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, 0)
	if c.relayed {
		c.w.Header().Set(headerOwnResponse, c.ownResponse)
	}
	http.Error(c.w, reason, status)
}

func (c *callerRequest) configVersion() string {
	if c.view.Catalog == nil {
		return "none"
	}
	return fmt.Sprint(c.view.Catalog.Version)
}

// deny responds with the status to a request that the configuration does not allow. It
// refuses the request instead if this instance may have missed a newer configuration.
func (in *Instance) deny(c *callerRequest, status int, reason string) {
	if !in.ConfigFresh() {
		in.refuse(c, "configuration may be outdated: "+reason)
		return
	}
	in.respond(c, status, reason)
}

// serveCaller finds the route and the account of a request and serves it: a request about
// a job, a submission of a job, or a request to forward to a plain service.
func (in *Instance) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &callerRequest{RequestHeader: platform.DecodeRequestHeader(r), w: w, r: r, view: in.CurrentView(), started: in.Clock.Now()}
	if !in.awaitConfiguration(c) {
		in.refuse(c, "no configuration is known yet")
		return
	}
	jobRequest, isJobRequest, err := platform.DecodeJobRequest(r)
	c.job = jobRequest.Job
	route, found := c.view.Catalog.Match(r.Host, r.URL.Path)
	isJobRequest = isJobRequest && !found && c.view.Catalog.HasRouteKind(r.Host, catalog.Batch)
	if !found && !isJobRequest {
		in.deny(c, http.StatusNotFound, "no route matches the host and path")
		return
	}
	c.route = route
	if isJobRequest || !route.Public {
		account, keyFound := c.view.Catalog.AccountByKey(c.Key)
		if !keyFound {
			in.deny(c, http.StatusUnauthorized, "the key is not known")
			return
		}
		c.account = account.Name
	}
	switch {
	case isJobRequest && err != nil:
		in.respond(c, http.StatusBadRequest, err.Error())
	case isJobRequest:
		in.serveJobRequest(c, jobRequest)
	case !in.readBody(c):
	case route.Kind == catalog.Batch:
		in.submit(c)
	default:
		in.forwardRequest(c)
	}
}

// awaitConfiguration waits until the configuration and the targets have been read, after
// the start of the instance. It waits for StaleAfter at most, and for a third of the
// caller's time at most, so that the caller can still try another instance. It reports
// whether the configuration has been read.
func (in *Instance) awaitConfiguration(c *callerRequest) bool {
	limit := node.StaleAfter
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft/3)
	}
	ctx, cancel := in.withDeadline(c, c.started+limit)
	defer cancel()
	for {
		changed := in.StateLoop.NextChange()
		c.view = in.CurrentView()
		if c.view.Catalog != nil && len(c.view.Targets) > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.view.Catalog != nil
		}
	}
}

// readBody reads the complete request body. If that fails, it responds and reports false.
func (in *Instance) readBody(c *callerRequest) bool {
	limit := c.view.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		in.respond(c, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
		return false
	case err != nil:
		in.respond(c, http.StatusBadRequest, "the body did not arrive whole: "+err.Error())
		return false
	}
	c.body = body
	return true
}

// deadline returns when the response is due: timeoutMargin before the earlier of the
// route's timeout and the caller's own deadline.
func (c *callerRequest) deadline() time.Duration {
	left := c.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if c.TimeLeft > 0 {
		left = min(left, c.TimeLeft)
	}
	return c.started + left - timeoutMargin
}

// withDeadline returns a context that ends at the deadline, a reading of clock.Now, or
// when the caller disconnects.
func (in *Instance) withDeadline(c *callerRequest, deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.r.Context(), deadline-in.Clock.Now())
}
