package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// allRefusedBackoff is the delay before a request that every target refused is sent
	// again.
	allRefusedBackoff = 30 * time.Millisecond
	// Limits of a response body that is read into memory, in bytes and as a fraction of the
	// instance's memory.
	maxResponseBytes          = 32 << 20
	maxResponseMemoryFraction = 1.0 / 16
	// responseWriteTimeout bounds how long a caller that reads nothing keeps a large response in
	// memory. A smaller one is taken by the buffers of the connection.
	responseWriteTimeout = 30 * time.Second
	largeResponseBytes   = 64 << 10
)

// PlainRequest is a request to a plain service: a caller's, or one of the service itself.
type PlainRequest struct {
	ID      string
	Method  string
	Host    string
	Header  http.Header                   // without those that each attempt sets
	URL     func(address string) *url.URL // at a target's address
	Body    []byte
	account string // empty: none
	Service string
	Kind    catalog.Kind
	// MaxAttempts is the maximum number of targets that the request is sent to.
	MaxAttempts   int
	TargetLatency time.Duration
	software      *string // the targets must have this software version; nil: any
	configVersion int64   // of the configuration that allows the request
	// relayable is set for a caller's request that may go through another instance.
	relayable bool
	// digest returns the digest of a caller's request; nil: the request is one of the service
	// itself, which crashes no target.
	digest func() poison.Digest
}

// plainRequest returns the request to the target that serves the caller's request.
func (c *CallerRequest) plainRequest(service string) *PlainRequest {
	maxAttempts := c.Route.MaxAttempts
	if c.relayed {
		maxAttempts = 1 // the other instance counts the attempts
	}
	return &PlainRequest{
		ID: c.ID, Method: c.Request.Method, Host: c.Request.Host, Header: c.Request.Header, Body: c.Body, account: c.Account, Service: service,
		URL:  func(address string) *url.URL { return requestURL(address, c.Request) },
		Kind: c.Route.Kind, MaxAttempts: maxAttempts, TargetLatency: c.Route.TargetLatency,
		configVersion: c.View.Catalog.Version, relayable: !c.relayed,
		digest: sync.OnceValue(func() poison.Digest {
			return poison.DigestOf(c.Account, c.Request.Method, catalog.Hostname(c.Request.Host), c.Request.RequestURI, c.Body)
		}),
	}
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Target         directory.Target
	Outcome        retry.Outcome
	PlatformHeader platform.ResponseHeader
	Status         int
	header         http.Header
	body           []byte
	hold           *httpclient.Hold // of body
	stream         io.ReadCloser    // replaces body for a response that is forwarded as it arrives
	Err            error
	sentAt         time.Duration
	connection     net.Conn // that the request was sent on; nil: none
	brokenOff      bool     // the connection broke off before the response was complete
	relayed        bool     // the request went through another instance, which counts it
	// refused is set if the other instance refuses the request for a reason that holds at all
	// instances; retryAfter is its Retry-After.
	refused    bool
	retryAfter time.Duration
}

// HasResponse reports whether the attempt has a response that may be forwarded: the
// target has run the request.
func (r *AttemptResult) HasResponse() bool { return r.Err == nil && !r.PlatformHeader.NotRun }

// ForwardRequest sends a request to a target of the route's service and the response to
// the caller.
func (f *Forwarder) ForwardRequest(c *CallerRequest) {
	f.Metrics.Requests.Inc()
	deadline := c.deadline()
	ctx, cancel := f.withDeadline(c, deadline)
	defer cancel()
	service, software, err := f.destination(ctx, c)
	if err != nil {
		f.Refuse(c, err.Error())
		return
	}
	request := c.plainRequest(service)
	request.software = software
	if v := f.poisonGuard.check(request); v.Condemned {
		f.refuseCondemned(c, v)
		return
	}
	if request.Kind != catalog.Stream && f.Responses.Spent() {
		c.ownResponse = ownTryAnother // for a relayed request
		f.Refuse(c, "the responses that wait for their callers hold the memory for responses")
		return
	}
	attempted := f.RunAttempts(ctx, request, deadline)
	defer attempted.Release()
	best, attempts := attempted.Best, attempted.StartedAttempts
	took := f.Clock.Now() - c.Started
	f.Metrics.RequestTime.Update(took.Seconds())
	if attempts > 1 {
		f.Metrics.Retries.Add(attempts - 1)
	}
	if best != nil && best.Outcome != retry.NotRun && !best.relayed {
		f.countRequest(c.Account, f.Clock.Wall())
	}
	switch {
	case best != nil && best.HasResponse():
		f.forwardResponse(ctx, c, request, best, attempts, took)
	case callerGone(c.Request.Context()):
		f.Log("request abandoned", events.F("request", c.ID), events.F("took", took.String()))
		panic(http.ErrAbortHandler) // a return would be an empty response of status 200
	case attempted.heldBack > 0 && best.Outcome == retry.NotRun:
		f.refuseFor(c, f.limitedRetryAfter(attempted.allowedIn), "the targets take no further requests now")
	case attempted.refusal != nil && (best == nil || best.Outcome == retry.NotRun):
		f.refuseForRoom(c, request, *attempted.refusal)
	case attempted.condemned != nil && (best == nil || best.Outcome == retry.NotRun):
		f.refuseCondemned(c, *attempted.condemned)
	case best != nil && best.refused:
		f.refuseFor(c, best.retryAfter, best.Err.Error())
	case attempted.noneAccepts:
		f.refuseFor(c, stoppedRetryAfter, "no target accepts a connection")
	case best == nil || best.Outcome == retry.NotRun:
		f.Refuse(c, "no target took the request")
	case ctx.Err() != nil:
		f.Respond(c, http.StatusGatewayTimeout, fmt.Sprintf("target %s did not answer in time", best.Target.ID))
	default:
		f.Respond(c, http.StatusBadGateway, fmt.Sprintf("target %s: %v", best.Target.ID, best.Err))
	}
}

func (f *Forwarder) forwardResponse(ctx context.Context, c *CallerRequest, request *PlainRequest, r *AttemptResult, attempts int, took time.Duration) {
	f.Log("request passed", events.F("request", c.ID), events.F("route", c.Route.Name), events.F("target", r.Target.ID),
		events.F("software", r.Target.Software), events.F("status", fmt.Sprint(r.Status)), events.F("tries", fmt.Sprint(attempts)), events.F("config", c.configVersion()),
		events.F("took", took.Round(time.Millisecond).String()))
	platform.CopyResponseHeader(c.Writer.Header(), r.header)
	c.Writer.Header().Del(headerOwnResponse) // only this instance may set it
	if r.stream != nil {
		go f.recordStream(context.WithoutCancel(ctx), c, r)
		f.forwardStream(ctx, c, request, r)
		return
	}
	if c.Request.Method != http.MethodHead { // its length is that of a body that is not sent
		c.Writer.Header().Set("Content-Length", fmt.Sprint(len(r.body)))
	}
	if r.Status < http.StatusInternalServerError {
		f.poisonGuard.served(request)
	}
	if connection := http.NewResponseController(c.Writer); len(r.body) > largeResponseBytes {
		_ = connection.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) // the server's connections support it
		defer func() { _ = connection.SetWriteDeadline(time.Time{}) }()       // for later requests on the connection
	}
	c.Writer.WriteHeader(r.Status)
	_, _ = c.Writer.Write(r.body) // a caller that has disconnected needs no response
}

// ErrRequestIDMismatch is the error of a response that names another request.
var ErrRequestIDMismatch = errors.New("the answer belongs to another request")

// errMisdirected is the error of an attempt whose target is not at its address. Nothing is known of
// its slots.
var errMisdirected = errors.New("another process has the address of the target")

// sendAttempt sends the request to one target, returns the result and releases the
// target. It does not send it if the target limits its rate and grants no allowance soon. An
// attempt that was canceled, as the caller has disconnected or another attempt
// has responded, does not count as a failure of the target.
func (f *Forwarder) sendAttempt(ctx context.Context, p *PlainRequest, target directory.Target, suspected bool, deadline time.Duration, readyTargets int) *AttemptResult {
	r := &AttemptResult{Target: target, Outcome: retry.NotRun}
	err := f.awaitAllowance(ctx, p, target.ID)
	if err == nil && p.software != nil {
		err = f.CheckStart(ctx, target)
	}
	if err != nil {
		f.plainTargets.withdraw(target, suspected)
		r.Err = err
		f.intakes.ended(ctx, p, r, false)
		f.Log("request held back", events.F("request", p.ID), events.F("target", target.ID), events.F("error", err.Error()))
		return r
	}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.connection = info.Conn },
	})
	f.roundTrip(traced, p, r, deadline)
	if r.stream != nil && p.software != nil {
		if r.Err = f.ConfirmStart(ctx, target, r.connection); r.Err != nil {
			_ = r.stream.Close() // the rest of the stream may be of another software version
		}
	}
	if r.Err != nil {
		r.Outcome = retry.Unknown
		if r.connection == nil || errors.Is(r.Err, errMisdirected) {
			r.Outcome = retry.NotRun
		}
	} else if !r.PlatformHeader.NotRun {
		r.Outcome = retry.Ran
	}
	f.intakes.ended(ctx, p, r, true)
	ok := r.Err == nil || errors.Is(r.Err, httpclient.ErrBudgetSpent) || ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled)
	if f.plainTargets.release(f.Clock.Now(), target, suspected, readyTargets, ok, float64(f.Rand64()%1000)/1000) {
		f.Log("target ejected", events.F("target", target.ID), events.F("error", fmt.Sprint(r.Err)))
	}
	if r.Outcome == retry.Unknown && r.brokenOff && p.digest != nil && ctx.Err() == nil {
		f.crashDetector.requestLost(ctx, target, lostRequest{p.ID, p.digest()}, r.sentAt)
	}
	if !r.HasResponse() {
		f.Log("request attempt failed", events.F("request", p.ID), events.F("target", target.ID),
			events.F("outcome", r.Outcome.String()), events.F("status", fmt.Sprint(r.Status)), events.F("error", fmt.Sprint(r.Err)))
	}
	return r
}

// roundTrip sends the request to r's target and sets the other fields of r from the
// response. It sets r.err for a response that belongs to another request, lacks the
// target's signature or has a content encoding.
func (f *Forwarder) roundTrip(ctx context.Context, p *PlainRequest, r *AttemptResult, deadline time.Duration) {
	req := &http.Request{
		Method: p.Method, URL: p.URL(r.Target.Address), Host: p.Host,
		Header:        platform.ForwardedHeader(p.Header, r.Target.ID, p.account, deadline-f.Clock.Now()),
		Body:          NonReplayableBody(p.Method, p.Header, p.Body),
		ContentLength: int64(len(p.Body)),
	}
	r.sentAt = f.Clock.Now()
	res, err := f.TargetClient.Do(req.WithContext(ctx))
	if err != nil {
		r.Err, r.brokenOff = err, true
		f.NoteNoAnswer(ctx, r.Target)
		return
	}
	f.NoteResponse(ctx, r.Target, platform.DecodeResponseHeader(res), p.ID, r.sentAt)
	f.readResponse(p, r, res)
}

// readResponse sets the fields of r from a response to the request.
func (f *Forwarder) readResponse(p *PlainRequest, r *AttemptResult, res *http.Response) {
	r.Status, r.header, r.PlatformHeader = res.StatusCode, res.Header, platform.DecodeResponseHeader(res)
	if r.PlatformHeader.RequestID != p.ID && r.PlatformHeader.RequestID != "" || r.PlatformHeader.RequestID == "" && !r.PlatformHeader.NotRun {
		// This closes the connection, as the body is unread: later responses on it may belong
		// to other requests too.
		_ = res.Body.Close()
		r.Err = fmt.Errorf("%w: %q", ErrRequestIDMismatch, r.PlatformHeader.RequestID)
		return
	}
	switch {
	case r.PlatformHeader.Misdirected:
		r.Err = errMisdirected
	case res.StatusCode == http.StatusSwitchingProtocols: // its body is the connection, without an end
		r.Err = errors.New("the target switches to another protocol, which nobody asked for")
	case res.StatusCode/100 == 2 && r.PlatformHeader.Signature == "":
		r.Err = errors.New("the answer is not signed")
	case r.PlatformHeader.Encoded:
		r.Err = errors.New("the answer is encoded, which nobody asked for")
	case p.Kind == catalog.Stream && res.StatusCode == http.StatusOK && p.Method != http.MethodHead:
		r.stream = res.Body
		return
	default:
		r.body, r.hold, r.Err = httpclient.ReadBody(res.Body, f.responseLimit())
		r.brokenOff = r.Err != nil && !errors.Is(r.Err, httpclient.ErrBudgetSpent)
	}
	_ = res.Body.Close() // its content is read, or not used
}

// responseLimit returns the limit in bytes of a response body that is read into memory.
func (f *Forwarder) responseLimit() int64 {
	return min(maxResponseBytes, int64(maxResponseMemoryFraction*float64(f.Settings.MemoryBytes)))
}

// NonReplayableBody returns a request body that keeps net/http from sending the request
// again on another connection. net/http does so for a request without a body that it
// considers idempotent, by the method or an idempotency key.
func NonReplayableBody(method string, header http.Header, body []byte) io.ReadCloser {
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
