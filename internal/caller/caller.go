// Package caller serves callers: the OpenAI-compatible API before engine
// services and plain HTTP before plain services.
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
	maxBody         = 8 << 20 // bytes of a request body
	requestTimeout  = 5 * time.Minute
	requestIDHeader = "X-Request-Id"
)

// Options are what the listener works with.
type Options struct {
	Loop     *control.Loop
	Dispatch *dispatch.Dispatcher
	Engines  *engine.Client
	Peers    *peer.Pool
	Meter    *metering.Meter
	Clock    clock.Clock
	Events   *events.Recorder
	Measures *measure.Measures // nil: none
}

// Server answers callers.
type Server struct {
	Options
	sessions *activeRequests
	limiter  *limiter
	plain    *plainClient
	retries  *retryState
	moves    *streamMoves
	claims   *claimBatcher
	answers  *responseCache
}

// New returns a server.
func New(o Options) *Server {
	return &Server{
		Options: o, sessions: newSessions(), limiter: newLimiter(o.Loop, o.Peers, o.Clock), plain: newPlainClient(),
		retries: newRetryState(o.Loop, o.Clock), moves: newStreamMoves(),
		claims: newClaimBatcher(o.Loop, o.Clock.Wall), answers: newAnswers(o.Clock.Now),
	}
}

// Run ends the requests of withdrawn keys, asks for the accounts' limits, moves
// the streams of targets that are about to vanish, and claims non-repeatable
// requests, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.sessions.watch(ctx, s.Loop, s.Clock) })
	g.Go(func() error { return s.limiter.run(ctx) })
	g.Go(func() error { return s.moves.watch(ctx, s.Loop, s.Events) })
	g.Go(func() error { return s.claims.run(ctx) })
	g.Go(func() error { return s.claims.runCancellations(ctx) })
	return g.Wait()
}

// CancelAll ends every keyed request in flight with a typed error.
func (s *Server) CancelAll() { s.sessions.cancelAll(errStopping) }

// Handler routes callers' requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, "/v1/completions") })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, "/v1/chat/completions") })
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/services/{service}/{path...}", s.servePlain)
	return mux
}

// call is one admitted caller's request.
type call struct {
	id       string
	account  *config.Account // nil on open routes
	snapshot *control.Snapshot
	start    time.Time
	prefix   uint64 // of an engine call's prompt
	failed   bool
}

// flow names the call's flow in admission queues.
func (c *call) flow() (name string, weight float64) {
	if c.account == nil {
		return "", 1
	}
	return c.account.Name, c.account.Weight
}

// outcome returns how the call ended, for measures.
func (c *call) outcome() measure.Outcome {
	if c.failed {
		return measure.Failed
	}
	return measure.Served
}

// accountName names the call's account in events; empty on open routes.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// admit authenticates the request, applies the account's limits and returns the
// call with a context that ends when the key is withdrawn. After a failure it
// has answered.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*call, context.Context, func(), bool) {
	key := takeKey(r)
	c := s.newCall(w, r)
	timeout, fail := timeoutOf(r)
	if fail != nil {
		fail.write(w)
		return nil, nil, nil, false
	}
	account, ctx, end, fail := s.authenticate(r.Context(), c, key)
	if fail != nil {
		fail.write(w)
		return nil, nil, nil, false
	}
	c.account = account
	if fail := s.limiter.enter(ctx, account); fail != nil {
		end()
		s.Measures.RecordRequest(account.Name, measure.Refused, 0)
		s.Events.Record("request refused", events.F("request", c.id), events.F("account", account.Name), events.F("code", fail.code))
		fail.write(w)
		return nil, nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return c, ctx, func() {
		cancel()
		end()
		s.limiter.leave(account.Name)
		s.Measures.RecordRequest(account.Name, c.outcome(), time.Since(c.start))
	}, true
}

// timeoutOf returns how long the caller waits: a duration such as 1500ms or a
// number of seconds in the timeout header.
func timeoutOf(r *http.Request) (time.Duration, *failure) {
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

func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(requestIDHeader, id)
	return &call{id: id, snapshot: s.Loop.Snapshot(), start: time.Now()}
}

func (s *Server) authenticate(ctx context.Context, c *call, key string) (*config.Account, context.Context, func(), *failure) {
	cfg := c.snapshot.Config
	if cfg == nil || !c.snapshot.Fresh(s.Clock.Now(), cfg.Control.FreshFor) {
		return nil, nil, nil, refuse(http.StatusServiceUnavailable, "not_fresh", errConfigStale.Error())
	}
	granted, ok := c.snapshot.Key(key)
	if key == "" || !ok {
		return nil, nil, nil, refuse(http.StatusUnauthorized, "invalid_key", "the key is missing or not granted")
	}
	account := cfg.Account(granted.Account)
	if account == nil {
		return nil, nil, nil, refuse(http.StatusUnauthorized, "invalid_key", "the key's client account does not exist")
	}
	ctx, end := s.sessions.track(ctx, granted)
	return account, ctx, end, nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	body, err := listener.ReadBody(w, r, maxBody, listener.BodyTimeout)
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

// meterUsage notes the call's use for the bill.
func (s *Server) meterUsage(c *call, service string, n usage.Count) {
	if c.account == nil {
		return
	}
	s.Meter.Count(s.Clock.Wall(), usage.Subject{Account: c.account.Name, Service: service}, n)
}

// recordSent puts a request on the time line that was admitted since asked.
func (s *Server) recordSent(c *call, target *route.Target, asked time.Duration) {
	account, _ := c.flow()
	waited := (s.Clock.Now() - asked).Milliseconds()
	s.Events.Record("request sent", events.F("request", c.id), events.F("account", account), events.F("target", target.ID),
		events.F("owner", target.Owner), events.F("waitedMillis", strconv.FormatInt(waited, 10)))
}
