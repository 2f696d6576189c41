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
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// timeoutMargin is how long before a route's timeout the final answer leaves.
	timeoutMargin = 20 * time.Millisecond
	// retryAfter is what refused callers are told: a few registry updates.
	retryAfter = 250 * time.Millisecond
	// defaultTimeout bounds requests of routes and callers that state none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds bodies while no configuration is known, in bytes.
	defaultMaxBodyBytes = 1 << 20
)

// call is one request of a caller on its way.
type call struct {
	platform.RequestHeader
	w       http.ResponseWriter
	r       *http.Request
	view    *View
	route   *catalog.Route
	account string
	job     string // that the call is about, empty for other requests
	body    []byte
	started time.Duration
}

// refuse ends a request that has not run and never will.
func (n *Instance) refuse(c *call, reason string) {
	n.metrics.refused.Inc()
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, retryAfter)
	n.respond(c, http.StatusServiceUnavailable, reason)
}

// respond ends a request with an answer of this instance.
func (n *Instance) respond(c *call, status int, reason string) {
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		n.metrics.failed.Inc()
	}
	n.log("request answered", events.F("request", c.ID), events.F("job", c.job), events.F("method", c.r.Method), events.F("path", c.r.URL.Path),
		events.F("status", fmt.Sprint(status)), events.F("reason", reason), events.F("config", c.configVersion()),
		events.F("config_age", n.sinceLastRead(&n.stateLoop.lastOperatorRead).Round(time.Millisecond).String()),
		events.F("took", (n.clock.Now()-c.started).Round(time.Millisecond).String()))
	platform.SetOwnResponseHeader(c.w.Header(), c.ID, 0)
	http.Error(c.w, reason, status)
}

func (c *call) configVersion() string {
	if c.view.Catalog == nil {
		return "none"
	}
	return fmt.Sprint(c.view.Catalog.Version)
}

// deny answers a request that the known configuration does not allow. An
// instance that may have missed a newer configuration cannot tell, and refuses.
func (n *Instance) deny(c *call, status int, reason string) {
	if !n.configFresh() {
		n.refuse(c, "configuration may be outdated: "+reason)
		return
	}
	n.respond(c, status, reason)
}

func (n *Instance) serveCall(w http.ResponseWriter, r *http.Request) {
	c := &call{RequestHeader: platform.DecodeRequestHeader(r), w: w, r: r, view: n.stateLoop.view.Load(), started: n.clock.Now()}
	if !n.awaitConfiguration(c) {
		n.refuse(c, "no configuration is known yet")
		return
	}
	about, isJobCall, err := platform.DecodeJobRequest(r)
	c.job = about.Job
	route, found := c.view.Catalog.Match(r.Host, r.URL.Path)
	isJobCall = isJobCall && !found && c.view.Catalog.HasRouteKind(r.Host, catalog.Batch)
	if !found && !isJobCall {
		n.deny(c, http.StatusNotFound, "no route matches the host and path")
		return
	}
	c.route = route
	if isJobCall || !route.Public {
		account, known := c.view.Catalog.AccountByKey(c.Key)
		if !known {
			n.deny(c, http.StatusUnauthorized, "the key is not known")
			return
		}
		c.account = account.Name
	}
	switch {
	case isJobCall && err != nil:
		n.respond(c, http.StatusBadRequest, err.Error())
	case isJobCall:
		n.serveJobCall(c, about)
	case !n.readBody(c):
	case route.Kind == catalog.Batch:
		n.submit(c)
	default:
		n.serveRequest(c)
	}
}

// awaitConfiguration waits at an instance that has just started until it knows the
// configuration and the targets: for a third of the caller's time at most, so that
// another instance can still be asked, and not once the instance counts as cut off. It
// reports whether the configuration is known.
func (n *Instance) awaitConfiguration(c *call) bool {
	limit := staleAfter
	if c.TimeLeft > 0 {
		limit = min(limit, c.TimeLeft/3)
	}
	ctx, cancel := n.withDeadline(c, c.started+limit)
	defer cancel()
	for {
		changed := n.stateLoop.nextChange()
		c.view = n.stateLoop.view.Load()
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

// readBody reads the whole body, and answers where that fails.
func (n *Instance) readBody(c *call) bool {
	limit := c.view.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		n.respond(c, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
		return false
	case err != nil:
		n.respond(c, http.StatusBadRequest, "the body did not arrive whole: "+err.Error())
		return false
	}
	c.body = body
	return true
}

// deadline returns when the caller's answer is due: the route's timeout or the end
// of the caller's own time, whichever comes first.
func (c *call) deadline() time.Duration {
	left := c.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if c.TimeLeft > 0 {
		left = min(left, c.TimeLeft)
	}
	return c.started + left - timeoutMargin
}

// withDeadline returns a context that ends at the deadline or when the caller leaves.
func (n *Instance) withDeadline(c *call, deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.r.Context(), deadline-n.clock.Now())
}
