package hosted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/poison"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// hedgeDelayFraction is the fraction of the target latency after which an idempotent
	// request is sent to a second target. The remaining half suffices for that attempt.
	hedgeDelayFraction = 0.5
	hedgeDelayMin      = 40 * time.Millisecond // twice the mean service time of a plain request
	// allRefusedBackoff is the delay before a request that every target refused is sent
	// again.
	allRefusedBackoff = 30 * time.Millisecond
	// Limits of a response body that is read into memory, in bytes and as a fraction of the
	// instance's memory.
	maxResponseBytes          = 32 << 20
	maxResponseMemoryFraction = 1.0 / 16
)

// plainRequest is a request to a plain service: a caller's, or one of the service itself.
type plainRequest struct {
	id      string
	method  string
	host    string
	header  http.Header                   // without those that each attempt sets
	url     func(address string) *url.URL // at a target's address
	body    []byte
	account string // empty: none
	service string
	kind    catalog.Kind
	// maxAttempts is the maximum number of targets that the request is sent to.
	maxAttempts   int
	targetLatency time.Duration
	software      *string // the targets must have this software version; nil: any
	configVersion int64   // of the configuration that allows the request
	// relayable is set for a caller's request that may go through another instance.
	relayable bool
	// digest returns the digest of a caller's request; nil: the request is one of the service
	// itself, which crashes no target.
	digest func() poison.Digest
}

// plainRequest returns the request to the target that serves the caller's request.
func (c *callerRequest) plainRequest(service string) *plainRequest {
	maxAttempts := c.route.MaxAttempts
	if c.relayed {
		maxAttempts = 1 // the other instance counts the attempts
	}
	return &plainRequest{
		id: c.ID, method: c.r.Method, host: c.r.Host, header: c.r.Header, body: c.body, account: c.account, service: service,
		url:  func(address string) *url.URL { return requestURL(address, c.r) },
		kind: c.route.Kind, maxAttempts: maxAttempts, targetLatency: c.route.TargetLatency,
		configVersion: c.view.Catalog.Version, relayable: !c.relayed,
		digest: sync.OnceValue(func() poison.Digest {
			return poison.DigestOf(c.account, c.r.Method, catalog.Hostname(c.r.Host), c.r.RequestURI, c.body)
		}),
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	target         directory.Target
	outcome        retry.Outcome
	platformHeader platform.ResponseHeader
	status         int
	header         http.Header
	body           []byte
	stream         io.ReadCloser // replaces body for a response that is forwarded as it arrives
	err            error
	sentAt         time.Duration
	brokenOff      bool // the connection broke off before the response was complete
	relayed        bool // the request went through another instance, which counts it
	// refused is set if the other instance refuses the request for a reason that holds at all
	// instances; retryAfter is its Retry-After.
	refused    bool
	retryAfter time.Duration
}

// hasResponse reports whether the attempt has a response that may be forwarded: the
// target has run the request.
func (r *attemptResult) hasResponse() bool { return r.err == nil && !r.platformHeader.NotRun }

// forwardRequest sends a request to a target of the route's service and the response to
// the caller.
func (in *Instance) forwardRequest(c *callerRequest) {
	in.Metrics.Requests.Inc()
	deadline := c.deadline()
	ctx, cancel := in.withDeadline(c, deadline)
	defer cancel()
	software, err := in.softwareFor(ctx, c)
	if err != nil {
		in.refuse(c, err.Error())
		return
	}
	request := c.plainRequest(c.route.Pick(in.Rand64()))
	request.software = software
	if v := in.poisonGuard.check(request); v.Condemned {
		in.refuseCondemned(c, v)
		return
	}
	attempted := in.runAttempts(ctx, request, deadline)
	best, attempts := attempted.best, attempted.startedAttempts
	took := in.Clock.Now() - c.started
	in.Metrics.RequestTime.Update(took.Seconds())
	if attempts > 1 {
		in.Metrics.Retries.Add(attempts - 1)
	}
	if best != nil && best.outcome != retry.NotRun && !best.relayed {
		in.usageCounter.countRequest(c.account, in.Clock.Wall())
	}
	switch {
	case best != nil && best.hasResponse():
		in.forwardResponse(c, request, best, attempts, took)
	case c.r.Context().Err() != nil:
		in.Log("request abandoned", events.F("request", c.ID), events.F("took", took.String()))
	case attempted.heldBack > 0 && best.outcome == retry.NotRun:
		in.refuseFor(c, in.limitedRetryAfter(attempted.allowedIn), "the targets take no further requests now")
	case attempted.condemned != nil && (best == nil || best.outcome == retry.NotRun):
		in.refuseCondemned(c, *attempted.condemned)
	case best != nil && best.refused:
		in.refuseFor(c, best.retryAfter, best.err.Error())
	case attempted.noneAccepts:
		in.refuseFor(c, stoppedRetryAfter, "no target accepts a connection")
	case best == nil || best.outcome == retry.NotRun:
		in.refuse(c, "no target took the request")
	case ctx.Err() != nil:
		in.respond(c, http.StatusGatewayTimeout, fmt.Sprintf("target %s did not answer in time", best.target.ID))
	default:
		in.respond(c, http.StatusBadGateway, fmt.Sprintf("target %s: %v", best.target.ID, best.err))
	}
}

func (in *Instance) forwardResponse(c *callerRequest, request *plainRequest, r *attemptResult, attempts int, took time.Duration) {
	in.Log("request passed", events.F("request", c.ID), events.F("route", c.route.Name), events.F("target", r.target.ID),
		events.F("software", r.target.Software), events.F("status", fmt.Sprint(r.status)), events.F("tries", fmt.Sprint(attempts)), events.F("config", c.configVersion()),
		events.F("took", took.Round(time.Millisecond).String()))
	platform.CopyResponseHeader(c.w.Header(), r.header)
	c.w.Header().Del(headerOwnResponse) // only this instance may set it
	if r.stream != nil {
		in.recordStream(c, r)
		in.forwardStream(c, request, r)
		return
	}
	c.w.Header().Set("Content-Length", fmt.Sprint(len(r.body)))
	if r.status < http.StatusInternalServerError {
		in.poisonGuard.served(request)
	}
	c.w.WriteHeader(r.status)
	_, _ = c.w.Write(r.body) // a caller that has disconnected needs no response
}

// forwardStream forwards a streamed body as it arrives. If the stream is interrupted, it
// cuts the connection to the caller, so that the response does not look complete.
func (in *Instance) forwardStream(c *callerRequest, request *plainRequest, r *attemptResult) {
	defer r.stream.Close()
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(r.status)
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, 16<<10)
	for {
		k, err := r.stream.Read(buffer)
		if k > 0 {
			if _, werr := c.w.Write(buffer[:k]); werr != nil {
				return
			}
			if ferr := flusher.Flush(); ferr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			in.poisonGuard.served(request)
			return
		}
		if err != nil {
			if !r.relayed {
				in.crashDetector.requestLost(c.r.Context(), r.target, lostRequest{request.id, request.digest()}, r.sentAt)
			}
			in.Log("request stream broken", events.F("request", c.ID), events.F("target", r.target.ID), events.F("error", err.Error()))
			panic(http.ErrAbortHandler)
		}
	}
}

var errRequestIDMismatch = errors.New("the answer belongs to another request")

// sendAttempt sends the request to one target, returns the result and releases the
// target. It does not send it if the target limits its rate and grants no allowance soon. An
// attempt that was canceled, as the caller has disconnected or another attempt
// has responded, does not count as a failure of the target.
func (in *Instance) sendAttempt(ctx context.Context, p *plainRequest, target directory.Target, suspected bool, deadline time.Duration, readyTargets int) *attemptResult {
	r := &attemptResult{target: target, outcome: retry.NotRun}
	if err := in.awaitAllowance(ctx, p, target.ID); err != nil {
		in.plainTargets.withdraw(target, suspected)
		r.err = err
		in.Log("request held back", events.F("request", p.id), events.F("target", target.ID), events.F("error", err.Error()))
		return r
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	in.roundTrip(ctx, p, r, deadline)
	if r.err != nil {
		r.outcome = retry.Unknown
		if !connected {
			r.outcome = retry.NotRun
		}
	} else if !r.platformHeader.NotRun {
		r.outcome = retry.Ran
	}
	ok := r.err == nil || ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled)
	if in.plainTargets.release(in.Clock.Now(), target, suspected, readyTargets, ok, float64(in.Rand64()%1000)/1000) {
		in.Log("target ejected", events.F("target", target.ID), events.F("error", fmt.Sprint(r.err)))
	}
	if r.outcome == retry.Unknown && r.brokenOff && p.digest != nil && ctx.Err() == nil {
		in.crashDetector.requestLost(ctx, target, lostRequest{p.id, p.digest()}, r.sentAt)
	}
	if !r.hasResponse() {
		in.Log("request attempt failed", events.F("request", p.id), events.F("target", target.ID),
			events.F("outcome", r.outcome.String()), events.F("status", fmt.Sprint(r.status)), events.F("error", fmt.Sprint(r.err)))
	}
	return r
}

// roundTrip sends the request to r's target and sets the other fields of r from the
// response. It sets r.err for a response that belongs to another request, lacks the
// target's signature or has a content encoding.
func (in *Instance) roundTrip(ctx context.Context, p *plainRequest, r *attemptResult, deadline time.Duration) {
	req := &http.Request{
		Method: p.method, URL: p.url(r.target.Address), Host: p.host,
		Header:        platform.ForwardedHeader(p.header, r.target.ID, p.account, deadline-in.Clock.Now()),
		Body:          nonReplayableBody(p.method, p.header, p.body),
		ContentLength: int64(len(p.body)),
	}
	r.sentAt = in.Clock.Now()
	res, err := in.TargetClient.Do(req.WithContext(ctx))
	if err != nil {
		r.err, r.brokenOff = err, true
		in.NoteNoAnswer(ctx, r.target)
		return
	}
	in.NoteResponse(ctx, r.target, platform.DecodeResponseHeader(res), p.id, r.sentAt)
	in.readResponse(p, r, res)
}

// readResponse sets the fields of r from a response to the request.
func (in *Instance) readResponse(p *plainRequest, r *attemptResult, res *http.Response) {
	r.status, r.header, r.platformHeader = res.StatusCode, res.Header, platform.DecodeResponseHeader(res)
	if r.platformHeader.RequestID != p.id && r.platformHeader.RequestID != "" || r.platformHeader.RequestID == "" && !r.platformHeader.NotRun {
		// This closes the connection, as the body is unread: later responses on it may belong
		// to other requests too.
		_ = res.Body.Close()
		r.err = fmt.Errorf("%w: %q", errRequestIDMismatch, r.platformHeader.RequestID)
		return
	}
	switch {
	case res.StatusCode/100 == 2 && r.platformHeader.Signature == "":
		r.err = errors.New("the answer is not signed")
	case res.Header.Get("Content-Encoding") != "":
		r.err = errors.New("the answer is encoded, which nobody asked for")
	case p.kind == catalog.Stream && res.StatusCode == http.StatusOK:
		r.stream = res.Body
		return
	default:
		r.body, r.err = platform.ReadBody(res.Body, in.responseLimit())
		r.brokenOff = r.err != nil
	}
	_ = res.Body.Close() // its content is read, or not used
}

// responseLimit returns the limit in bytes of a response body that is read into memory.
func (in *Instance) responseLimit() int64 {
	return min(maxResponseBytes, int64(maxResponseMemoryFraction*float64(in.Settings.MemoryBytes)))
}

// nonReplayableBody returns a request body that keeps net/http from sending the request
// again on another connection. net/http does so for a request without a body that it
// considers idempotent, by the method or an idempotency key.
func nonReplayableBody(method string, header http.Header, body []byte) io.ReadCloser {
	replayable := header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != ""
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		replayable = true
	}
	if len(body) == 0 && !replayable {
		return http.NoBody // an empty body of another type would be sent with chunked encoding
	}
	return io.NopCloser(bytes.NewReader(body))
}

// requestURL returns the request's URL at a target's address, with path and query exactly
// as the caller sent them.
func requestURL(address string, r *http.Request) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		u.Opaque = r.RequestURI
		return u
	}
	u.Path, u.RawPath, u.RawQuery = r.URL.Path, r.URL.RawPath, r.URL.RawQuery
	return u
}
