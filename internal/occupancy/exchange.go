// Package occupancy exchanges the occupancy of engines between the runners; see
// core/occupancy. Messages are POST requests on the listener for other instances.
package occupancy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// Path is the path of the requests between instances.
const Path = "/occupancy"

const (
	// callTimeout bounds a call to another runner, which takes some milliseconds.
	callTimeout = 100 * time.Millisecond
	// lookInterval is the shortest time between two looks at the runner's loads. Scheduler and
	// publisher go through all runs for each.
	lookInterval = 20 * time.Millisecond
	// idleInterval is the time between two looks while the runner has no runs. It notices runs
	// earlier by Changed.
	idleInterval = time.Second
	// maxCalls is the number of messages that are read at once. Each takes some times
	// occupancy.MaxMessageBytes at most.
	maxCalls = 16
)

// Runner is an instance that runs jobs.
type Runner struct{ Name, Address string }

// Config holds what an Exchange works with. All functions must be safe for concurrent use.
type Config struct {
	Self        string
	Incarnation int64 // start of the process, Unix milliseconds
	Clock       clock.Clock
	// Loads returns the runs and tokens of this runner on each engine.
	Loads func() []occupancy.Load
	// Runners returns the runners. This one may be among them.
	Runners func() []Runner
	// Known reports whether an instance of the name is known. Messages of others are refused.
	Known func(name string) bool
	// MaySend reports whether a request may come from the instance of the name. nil: it may
	MaySend func(ctx context.Context, name string) bool
	// News is called after each message that was applied. nil: nothing is called
	News func()
	// Gone is called when the listener of a runner refuses connections. nil: nothing is called
	Gone    func(name string)
	Client  *http.Client
	Log     func(event string, fields ...events.Field)
	Metrics *metrics.Set
}

// Exchange sends this runner's loads to the other runners and holds theirs. It is safe for
// concurrent use.
type Exchange struct {
	cfg     Config
	changed chan struct{}
	results chan result
	slots   chan struct{} // holds one value for each message that is read
	metrics metricSet

	publisher *occupancy.Publisher // used by the goroutine of Run

	mu           sync.Mutex
	table        *occupancy.Table
	refusalUntil time.Duration // until when refused messages are not logged
}

// result is the result of a call.
type result struct {
	runner string
	err    error
}

type metricSet struct{ sent, failed, received, rejected *metrics.Counter }

// New returns an Exchange that has not been started.
func New(cfg Config) *Exchange {
	e := &Exchange{
		cfg: cfg, changed: make(chan struct{}, 1), results: make(chan result), slots: make(chan struct{}, maxCalls),
		publisher: occupancy.NewPublisher(cfg.Self, cfg.Incarnation, 0), table: occupancy.NewTable(cfg.Self),
		metrics: metricSet{
			sent:     cfg.Metrics.NewCounter(`amaranth_hosted_occupancy_messages_total{outcome="sent"}`),
			failed:   cfg.Metrics.NewCounter(`amaranth_hosted_occupancy_messages_total{outcome="failed"}`),
			received: cfg.Metrics.NewCounter(`amaranth_hosted_occupancy_messages_total{outcome="received"}`),
			rejected: cfg.Metrics.NewCounter(`amaranth_hosted_occupancy_messages_total{outcome="rejected"}`),
		},
	}
	cfg.Metrics.NewGauge("amaranth_hosted_occupancy_age_seconds", func() float64 { return e.Sum(cfg.Clock.Now()).OldestNews.Seconds() })
	return e
}

func (e *Exchange) log(event string, fields ...events.Field) { e.cfg.Log(event, fields...) }

// Changed tells that the loads of this runner have changed. It does not block.
func (e *Exchange) Changed() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Sum returns the sum of the loads of the other runners.
func (e *Exchange) Sum(now time.Duration) occupancy.Sum {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Sum(now)
}

// Run sends messages until ctx ends. It waits for the calls in progress.
func (e *Exchange) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextLook time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-e.results:
			e.finish(r)
			timer.Reset(max(0, nextLook-e.cfg.Clock.Now()))
		case <-e.changed:
			timer.Reset(max(0, nextLook-e.cfg.Clock.Now()))
		case <-timer.C:
			now := e.cfg.Clock.Now()
			nextLook = now + lookInterval
			e.send(ctx, &calls, now)
			timer.Reset(min(idleInterval, max(nextLook, e.publisher.WakeAt())-now))
		}
	}
}

// send starts the calls for the messages that are due.
func (e *Exchange) send(ctx context.Context, calls *sync.WaitGroup, now time.Duration) {
	var names []string
	addresses := map[string]string{}
	for _, r := range e.cfg.Runners() {
		if r.Name != e.cfg.Self {
			names = append(names, r.Name)
			addresses[r.Name] = r.Address
		}
	}
	for _, m := range e.publisher.Next(now, e.cfg.Loads(), names) {
		data, err := occupancy.Encode(m)
		for _, name := range m.To {
			calls.Go(func() {
				callErr := err
				if callErr == nil {
					callErr = e.call(ctx, addresses[name], data)
				}
				select {
				case e.results <- result{name, callErr}:
				case <-ctx.Done():
				}
			})
		}
	}
}

// finish handles the result of a call.
func (e *Exchange) finish(r result) {
	if r.err == nil {
		e.metrics.sent.Inc()
		if e.publisher.Delivered(r.runner) {
			e.log("runner regained", events.F("runner", r.runner))
		}
		return
	}
	e.metrics.failed.Inc()
	if e.publisher.Failed(e.cfg.Clock.Now(), r.runner) {
		e.log("runner lost", events.F("runner", r.runner), events.F("error", r.err.Error()))
	}
	// Nothing listens there any more: the process has ended, and its runs with it. A runner that
	// only does not answer in time keeps its runs, and its entry until that is too old.
	if errors.Is(r.err, syscall.ECONNREFUSED) {
		e.mu.Lock()
		e.table.Drop(r.runner)
		e.mu.Unlock()
		if e.cfg.Gone != nil {
			e.cfg.Gone(r.runner)
		}
	}
}
