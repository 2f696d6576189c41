// Package caller is the HTTP server for callers: an OpenAI-compatible API for engine
// services and a reverse proxy for plain services.
//
// It is given the control state, the dispatcher of admission slots, the clients of
// engines and peers, and the usage meter. It authenticates requests, applies the
// limits of client accounts over all instances, chooses targets, retries, and resumes
// interrupted streams on another engine. A request on a non-repeatable route reaches at
// most one target. This includes repeats by its caller if the request has an idempotency
// key or a request id. Each error response states whether the request has run. The code
// that uses a Server opens the listeners, calls Run, and routes calls of peers to the
// Handle methods.
package caller

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/listener"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/metering"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	maxBodyBytes    = 8 << 20
	requestTimeout  = 5 * time.Minute // default and upper limit
	requestIDHeader = "X-Request-Id"
)

// Options holds the dependencies of a Server.
type Options struct {
	Loop     *control.Loop
	Dispatch *dispatch.Dispatcher
	Engines  *engine.Client
	Peers    *peer.Pool
	Meter    *metering.Meter
	Clock    clock.Clock
	Events   *events.Recorder
	Measures *measure.Measures // may be nil
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	Options
	activeRequests *activeRequests
	limiter        *limiter
	plainClient    *plainClient
	retries        *retryState
	activeStreams  *activeStreams
	claims         *claimBatcher
	responses      *responseCache
}

// New returns a server. Its background work needs Run.
func New(o Options) *Server {
	return &Server{
		Options: o, activeRequests: newActiveRequests(), limiter: newLimiter(o.Loop, o.Peers, o.Clock), plainClient: newPlainClient(engine.Dial),
		retries: newRetryState(o.Loop, o.Clock), activeStreams: newActiveStreams(),
		claims: newClaimBatcher(o.Loop, o.Clock.Wall), responses: newResponseCache(o.Clock.Now),
	}
}

// Run does the background work until ctx ends: it cancels the requests of withdrawn
// keys, requests allocations of the accounts' limits, moves streams away from targets
// that are about to be reclaimed, and appends claims of non-repeatable requests and
// their cancellations to the log.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.activeRequests.watch(ctx, s.Loop, s.Clock) })
	g.Go(func() error { return s.limiter.run(ctx) })
	g.Go(func() error { return s.activeStreams.watch(ctx, s.Loop, s.Events) })
	g.Go(func() error { return s.claims.run(ctx) })
	g.Go(func() error { return s.claims.runCancellations(ctx) })
	return g.Wait()
}

// CancelAll cancels every request in flight that was admitted with a key. Their callers
// get the error code instance_stopping.
func (s *Server) CancelAll() { s.activeRequests.cancelAll(errStopping) }

// Handler returns the handler of callers' requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, "/v1/completions") })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, "/v1/chat/completions") })
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/services/{service}/{path...}", s.servePlain)
	return mux
}

// call holds what the server tracks of one request of a caller.
type call struct {
	id       string
	account  *config.Account // nil on open routes, which need no key
	snapshot *control.Snapshot
	start    time.Time
	prefix   uint64 // cache-affinity key of a completion's prompt
	failed   bool   // set by requestAttempts.failure
}

// flow returns the name and weight of the call's flow in admission queues.
func (c *call) flow() (name string, weight float64) {
	if c.account == nil {
		return "", 1
	}
	return c.account.Name, c.account.Weight
}

// outcome returns the result of the call for the measures.
func (c *call) outcome() measure.Outcome {
	if c.failed {
		return measure.Failed
	}
	return measure.Served
}

// accountName returns the name of the call's account; empty on open routes.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// admit authenticates the request and applies the account's limits. It returns the
// call, a context, and a function that must be called at the end of the request. The
// context ends at the request's timeout, or when the key is withdrawn, the configuration
// is stale or the instance stops. If admit returns false, it has written the error
// response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*call, context.Context, func(), bool) {
	key := takeKey(r)
	c := s.newCall(w, r)
	timeout, fail := requestTimeoutOf(r)
	if fail != nil {
		fail.write(w)
		return nil, nil, nil, false
	}
	account, ctx, release, fail := s.authenticate(r.Context(), c, key)
	if fail != nil {
		fail.write(w)
		return nil, nil, nil, false
	}
	c.account = account
	if fail := s.limiter.acquire(ctx, account); fail != nil {
		release()
		s.Measures.RecordRequest(account.Name, measure.Refused, 0)
		s.Events.Record("request refused", events.F("request", c.id), events.F("account", account.Name), events.F("code", fail.code))
		fail.write(w)
		return nil, nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return c, ctx, func() {
		cancel()
		release()
		s.limiter.release(account.Name)
		s.Measures.RecordRequest(account.Name, c.outcome(), time.Since(c.start))
	}, true
}

// requestTimeoutOf returns the timeout of the request. The timeout header holds a
// duration such as 1500ms, of which at most requestTimeout is used, or a number of
// seconds less than requestTimeout. Any other value is refused.
func requestTimeoutOf(r *http.Request) (time.Duration, *failure) {
	text := r.Header.Get(engine.TimeoutHeader)
	if text == "" {
		return requestTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if seconds, numErr := strconv.ParseFloat(text, 64); numErr == nil && seconds < requestTimeout.Seconds() {
		d, err = time.Duration(seconds*float64(time.Second)), nil
	}
	if err != nil || d <= 0 {
		return 0, refuse(http.StatusBadRequest, "invalid_timeout", engine.TimeoutHeader+" must be a duration such as 1500ms or a number of seconds")
	}
	return min(d, requestTimeout), nil
}

// newCall returns a call with the request id, generated if the caller sent none, and
// sets the id in the response.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(requestIDHeader, id)
	return &call{id: id, snapshot: s.Loop.Snapshot(), start: time.Now()}
}

// authenticate returns the account of the key, a context that is cancelled when the key
// is withdrawn, and a function that must be called at the end of the request. It refuses
// every key while this instance's snapshot is not fresh.
func (s *Server) authenticate(ctx context.Context, c *call, key string) (*config.Account, context.Context, func(), *failure) {
	cfg := c.snapshot.Config
	if cfg == nil || !c.snapshot.Fresh(s.Clock.Now(), cfg.Control.FreshFor) {
		return nil, nil, nil, refuse(http.StatusServiceUnavailable, "not_fresh", errConfigStale.Error())
	}
	grantedKey, ok := c.snapshot.Key(key)
	if key == "" || !ok {
		return nil, nil, nil, refuse(http.StatusUnauthorized, "invalid_key", "the key is missing or not granted")
	}
	account := cfg.Account(grantedKey.Account)
	if account == nil {
		return nil, nil, nil, refuse(http.StatusUnauthorized, "invalid_key", "the key's client account does not exist")
	}
	ctx, release := s.activeRequests.track(ctx, grantedKey)
	return account, ctx, release, nil
}

// readBody reads the request body, which must be at most maxBodyBytes and arrive within
// listener.BodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	body, err := listener.ReadBody(w, r, maxBodyBytes, listener.BodyTimeout)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is over 8 MiB")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refuse(http.StatusRequestTimeout, "body_too_slow", "the request body did not arrive within "+listener.BodyTimeout.String())
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "body_unreadable", "the request body did not arrive whole")
	}
	return body, nil
}

// meterUsage records billable usage of the call. Open routes are not billed.
func (s *Server) meterUsage(c *call, service string, n usage.Count) {
	if c.account == nil {
		return
	}
	s.Meter.Count(s.Clock.Wall(), usage.Subject{Account: c.account.Name, Service: service}, n)
}

// recordSent records the event "request sent" for a request that the target's queue has
// admitted. requestedAt is when admission was requested.
func (s *Server) recordSent(c *call, target *route.Target, requestedAt time.Duration) {
	account, _ := c.flow()
	waited := (s.Clock.Now() - requestedAt).Milliseconds()
	s.Events.Record("request sent", events.F("request", c.id), events.F("account", account), events.F("target", target.ID),
		events.F("owner", target.Owner), events.F("waitedMillis", strconv.FormatInt(waited, 10)))
}
