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
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// hedgeDelayFraction of the target latency passes before an idempotent request is
	// offered to a second target: the rest is time enough for the usual answer.
	hedgeDelayFraction = 0.5
	hedgeDelayMin      = 40 * time.Millisecond // twice the mean work of a plain request
	// allRefusedBackoff passes before a request that every target refused is offered again.
	allRefusedBackoff = 30 * time.Millisecond
	maxResponseBytes  = 32 << 20 // bytes of an answer that is read into memory
)

// plainTargets chooses targets of requests that are passed on one by one.
type plainTargets struct {
	mu       sync.Mutex
	health   *retry.OutlierDetector
	inFlight map[string]int    // requests of this instance at each target
	lastUsed map[string]string // target asked last, by service
}

func newPlainTargets(l retry.EjectionLimits) *plainTargets {
	return &plainTargets{health: retry.NewOutlierDetector(l), inFlight: map[string]int{}, lastUsed: map[string]string{}}
}

// choose returns the least busy target of the service that was not tried, in the
// own data centre among equals. A target that keeps failing is left out while
// another one will do.
func (p *plainTargets) choose(now time.Duration, view *View, service, dataCentre string, tried map[string]bool, random uint64) (directory.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best, spare directory.Target
	bestRank := 0.0
	offset := int(random % uint64(max(1, len(view.Targets))))
	for i := range view.Targets {
		t := view.Targets[(i+offset)%len(view.Targets)]
		if t.Service != service || !t.Ready || tried[t.ID] {
			continue
		}
		spare = t
		rank := 1 + float64(p.inFlight[t.ID])/float64(max(1, t.Slots))
		if t.DataCentre == dataCentre {
			rank -= localDataCentreBonus
		}
		if p.lastUsed[service] == t.ID {
			rank -= openConnectionBonus
		}
		if best.ID != "" && rank >= bestRank || !p.health.Allow(now, t.ID) {
			continue
		}
		if best.ID != "" {
			p.health.CancelProbe(best.ID)
		}
		best, bestRank = t, rank
	}
	if best.ID == "" {
		best = spare
	}
	if best.ID == "" {
		return best, false
	}
	p.inFlight[best.ID]++
	p.lastUsed[service] = best.ID
	return best, true
}

// Preferences among targets, in requests for each slot. Together they outweigh
// less than one request more at a target of six slots.
const (
	localDataCentreBonus = 0.08 // the own data centre
	openConnectionBonus  = 0.07 // the target asked last: its connection is open
)

func (p *plainTargets) release(now time.Duration, t directory.Target, size int, ok bool, jitter float64) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[t.ID]--; p.inFlight[t.ID] <= 0 {
		delete(p.inFlight, t.ID)
	}
	if ok {
		p.health.RecordSuccess(t.ID)
		return false
	}
	p.health.Prune(now)
	return p.health.RecordFailure(now, t.Service, t.ID, size, jitter)
}

// attemptResult is what became of one attempt.
type attemptResult struct {
	target  directory.Target
	outcome retry.Outcome
	answer  platform.ResponseHeader
	status  int
	header  http.Header
	body    []byte
	stream  io.ReadCloser // set instead of body where the answer is passed on as it arrives
	err     error
}

// hasResponse reports whether the attempt brought an answer that may be passed on.
func (t *attemptResult) hasResponse() bool { return t.err == nil && !t.answer.NotRun }

// serveRequest passes one request on to a target and its answer back.
func (n *Instance) serveRequest(c *call) {
	n.metrics.calls.Inc()
	deadline := c.deadline()
	ctx, cancel := n.withDeadline(c, deadline)
	defer cancel()
	last, tries := n.runAttempts(ctx, c, deadline)
	took := n.clock.Now() - c.started
	n.metrics.callTime.Update(took.Seconds())
	if tries > 1 {
		n.metrics.retries.Add(tries - 1)
	}
	if last != nil && last.outcome != retry.NotRun {
		n.usage.countRequest(c.account, n.clock.Wall())
	}
	switch {
	case last != nil && last.hasResponse():
		n.forwardResponse(c, last, tries, took)
	case c.r.Context().Err() != nil:
		n.log("request abandoned", events.F("request", c.ID), events.F("took", took.String()))
	case last == nil || last.outcome == retry.NotRun:
		n.refuse(c, "no target took the request")
	case ctx.Err() != nil:
		n.respond(c, http.StatusGatewayTimeout, fmt.Sprintf("target %s did not answer in time", last.target.ID))
	default:
		n.respond(c, http.StatusBadGateway, fmt.Sprintf("target %s: %v", last.target.ID, last.err))
	}
}

func (n *Instance) forwardResponse(c *call, t *attemptResult, tries int, took time.Duration) {
	n.log("request passed", events.F("request", c.ID), events.F("route", c.route.Name), events.F("target", t.target.ID),
		events.F("status", fmt.Sprint(t.status)), events.F("tries", fmt.Sprint(tries)), events.F("config", c.configVersion()),
		events.F("took", took.Round(time.Millisecond).String()))
	platform.CopyResponseHeader(c.w.Header(), t.header)
	if t.stream != nil {
		n.forwardStream(c, t)
		return
	}
	c.w.Header().Set("Content-Length", fmt.Sprint(len(t.body)))
	c.w.WriteHeader(t.status)
	_, _ = c.w.Write(t.body) // a caller that has left needs no answer
}

// forwardStream passes events on as they arrive. A stream that breaks off must not
// look complete, so its connection is cut.
func (n *Instance) forwardStream(c *call, t *attemptResult) {
	defer t.stream.Close()
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(t.status)
	flusher := http.NewResponseController(c.w)
	buffer := make([]byte, 16<<10)
	for {
		k, err := t.stream.Read(buffer)
		if k > 0 {
			if _, werr := c.w.Write(buffer[:k]); werr != nil {
				return
			}
			if ferr := flusher.Flush(); ferr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			n.log("request stream broken", events.F("request", c.ID), events.F("target", t.target.ID), events.F("error", err.Error()))
			panic(http.ErrAbortHandler)
		}
	}
}

func countReadyTargets(view *View, service string) int {
	count := 0
	for i := range view.Targets {
		if view.Targets[i].Service == service && view.Targets[i].Ready {
			count++
		}
	}
	return count
}

var errRequestIDMismatch = errors.New("the answer belongs to another request")

// sendAttempt sends the request to one target and reads its answer.
func (n *Instance) sendAttempt(ctx context.Context, c *call, target directory.Target, deadline time.Duration, size int) *attemptResult {
	t := &attemptResult{target: target, outcome: retry.NotRun}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	n.roundTrip(ctx, c, t, deadline)
	if t.err != nil {
		t.outcome = retry.Unknown
		if !connected {
			t.outcome = retry.NotRun
		}
	} else if !t.answer.NotRun {
		t.outcome = retry.Ran
	}
	ok := t.err == nil || ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled)
	if n.plain.release(n.clock.Now(), target, size, ok, float64(n.rand64()%1000)/1000) {
		n.log("target ejected", events.F("target", target.ID), events.F("error", fmt.Sprint(t.err)))
	}
	if !t.hasResponse() {
		n.log("request attempt failed", events.F("request", c.ID), events.F("target", target.ID),
			events.F("outcome", t.outcome.String()), events.F("status", fmt.Sprint(t.status)), events.F("error", fmt.Sprint(t.err)))
	}
	return t
}

func (n *Instance) roundTrip(ctx context.Context, c *call, t *attemptResult, deadline time.Duration) {
	req := &http.Request{
		Method: c.r.Method, URL: requestURL(t.target.Address, c.r), Host: c.r.Host,
		Header:        platform.ForwardedHeader(c.r.Header, t.target.ID, c.account, deadline-n.clock.Now()),
		Body:          nonReplayableBody(c.r.Method, c.r.Header, c.body),
		ContentLength: int64(len(c.body)),
	}
	res, err := n.targets.Do(req.WithContext(ctx))
	if err != nil {
		t.err = err
		return
	}
	t.status, t.header, t.answer = res.StatusCode, res.Header, platform.DecodeResponseHeader(res)
	if t.answer.RequestID != c.ID && t.answer.RequestID != "" || t.answer.RequestID == "" && !t.answer.NotRun {
		_ = res.Body.Close() // an unread body closes the connection: whatever else is on it is not ours either
		t.err = fmt.Errorf("%w: %q", errRequestIDMismatch, t.answer.RequestID)
		return
	}
	if c.route.Kind == catalog.Stream && res.StatusCode == http.StatusOK {
		t.stream = res.Body
		return
	}
	defer res.Body.Close()
	t.body, t.err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	switch {
	case t.err != nil:
	case res.StatusCode/100 == 2 && !t.answer.Signed:
		t.err = errors.New("the answer is not signed")
	case res.Header.Get("Content-Encoding") != "":
		t.err = errors.New("the answer is encoded, which nobody asked for")
	}
}

// nonReplayableBody returns a request body that keeps net/http from sending the request again
// by itself on another connection: it does so with requests that it takes for
// repeatable, where it knows the body to be empty.
func nonReplayableBody(method string, header http.Header, body []byte) io.ReadCloser {
	repeated := header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != ""
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		repeated = true
	}
	if len(body) == 0 && !repeated {
		return http.NoBody // other bodies would make it chunked
	}
	return io.NopCloser(bytes.NewReader(body))
}

// requestURL keeps the path and query as the caller wrote them.
func requestURL(address string, r *http.Request) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		u.Opaque = r.RequestURI
		return u
	}
	u.Path, u.RawPath, u.RawQuery = r.URL.Path, r.URL.RawPath, r.URL.RawQuery
	return u
}
