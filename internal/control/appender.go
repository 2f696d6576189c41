package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	maxQueuedEntries = 1024    // entries that wait per class
	maxBatchRecords  = 256     // records per call
	maxBatchBytes    = 1 << 20 // per call, unless one entry is larger
	appendLinger     = 2 * time.Millisecond
	appendTimeout    = 2 * time.Second
	appendBackoff    = 50 * time.Millisecond
	appendMaxBackoff = 2 * time.Second
	laneWorkers      = 2 // calls in flight per lane

	// The rate of calls below the urgent class follows the log's refusals: it
	// halves at each and grows by the same amount a second on every instance, so
	// that the instances that append come to share the log's budget evenly.
	maxAppendRate   = 100.0 // calls a second
	firstAppendRate = 10.0
	minAppendRate   = 1.0
	rateGrowth      = 1.0 // calls a second, each second
	rateBurst       = 4
	rateStepPeriod  = 200 * time.Millisecond
)

// entry is one or several records that must stand together in the log.
type entry struct {
	id             record.ID // of the first record
	class          class
	data           [][]byte
	expiresAt      time.Duration // not sent at or after this reading of the clock; zero: no limit
	sent           bool          // a call that carries it has been started
	outcomeUnknown bool          // the outcome of such a call is unknown
	onRejected     func(error)   // told when the log refuses the entry; may be nil
}

func (e *entry) size() int {
	n := 0
	for _, d := range e.data {
		n += len(d)
	}
	return n
}

// appender gathers records into few append calls and repeats a call until its
// records have been read back, are withdrawn, or are refused for good. Record
// ids make a repeat harmless.
//
// Two lanes with calls of their own keep the urgent class from waiting behind a
// slow call of the others.
type appender struct {
	log     LogClient
	clock   clock.Clock
	events  *events.Recorder
	limiter *adaptiveLimiter
	ready   [numLanes]chan struct{}

	mu        sync.Mutex
	unsettled map[record.ID]*entry // submitted and not settled
	queues    [numClasses][]*entry
	failing   bool
}

// lane is a group of workers.
type lane int

const (
	laneUrgent lane = iota
	laneOthers
	numLanes
)

func laneOf(c class) lane {
	if c == classUrgent {
		return laneUrgent
	}
	return laneOthers
}

func newAppender(log LogClient, c clock.Clock, e *events.Recorder) *appender {
	a := &appender{log: log, clock: c, events: e, limiter: newAdaptiveLimiter(), unsettled: map[record.ID]*entry{}}
	for i := range a.ready {
		a.ready[i] = make(chan struct{}, 1)
	}
	return a
}

// submit queues an entry. It returns ErrOverloaded when its class is full.
func (a *appender) submit(e *entry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queues[e.class]) >= maxQueuedEntries {
		return ErrOverloaded
	}
	a.unsettled[e.id] = e
	a.queues[e.class] = append(a.queues[e.class], e)
	a.signal(laneOf(e.class))
	return nil
}

func (a *appender) signal(l lane) {
	select {
	case a.ready[l] <- struct{}{}:
	default:
	}
}

// remove ends the repeats of an entry and reports whether it was never sent.
func (a *appender) remove(id record.ID) (neverSent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.unsettled[id]
	delete(a.unsettled, id)
	return e != nil && !e.sent
}

func (a *appender) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for l := range numLanes {
		for range laneWorkers {
			g.Go(func() error {
				a.work(ctx, l)
				return nil
			})
		}
	}
	return g.Wait()
}

func (a *appender) work(ctx context.Context, l lane) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = appendBackoff, appendMaxBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.ready[l]:
		}
		clock.Sleep(ctx, appendLinger)
		if l == laneOthers && a.limiter.wait(ctx) != nil {
			return
		}
		batch := a.nextBatch(l)
		if len(batch) == 0 {
			continue
		}
		if err := a.call(ctx, batch); err != nil {
			a.handleFailure(ctx, batch, err)
			if l == laneUrgent || !errors.Is(err, platform.ErrRateLimited) { // the pace waits after a refusal
				clock.Sleep(ctx, retry.NextBackOff())
			}
			a.signal(l)
			continue
		}
		retry.Reset()
	}
}

// nextBatch removes the next batch of a lane, by class and age, and marks it sent.
func (a *appender) nextBatch(l lane) []*entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	var batch []*entry
	records, size := 0, 0
	for c := range numClasses {
		if laneOf(c) != l {
			continue
		}
		for len(a.queues[c]) > 0 {
			e := a.queues[c][0]
			if a.unsettled[e.id] != e || e.expiresAt != 0 && now >= e.expiresAt {
				a.drop(c, e)
				continue
			}
			if records > 0 && (records+len(e.data) > maxBatchRecords || size+e.size() > maxBatchBytes) {
				a.signal(l)
				return batch
			}
			a.queues[c] = a.queues[c][1:]
			e.sent = true
			batch = append(batch, e)
			records += len(e.data)
			size += e.size()
		}
	}
	return batch
}

// drop removes the head of a queue, which is settled or out of time.
func (a *appender) drop(c class, e *entry) {
	a.queues[c] = a.queues[c][1:]
	if a.unsettled[e.id] == e {
		delete(a.unsettled, e.id)
	}
}

func (a *appender) call(ctx context.Context, batch []*entry) error {
	var records [][]byte
	for _, e := range batch {
		records = append(records, e.data...)
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(callCtx, records)
	a.recordAvailability(err)
	a.limiter.update(a.clock.Now(), err)
	return err
}

// recordAvailability records when appends begin to fail and when they work again.
func (a *appender) recordAvailability(err error) {
	a.mu.Lock()
	changed := a.failing != (err != nil)
	a.failing = err != nil
	a.mu.Unlock()
	switch {
	case changed && err != nil:
		a.events.Record("log append failed", events.F("error", err.Error()))
	case changed:
		a.events.Record("log append works again")
	}
}

// handleFailure puts a failed batch back, in order, or gives up an entry that the log
// refuses by itself. What the log refused in company is tried alone.
func (a *appender) handleFailure(ctx context.Context, batch []*entry, err error) {
	if errors.Is(err, platform.ErrRejected) {
		a.handleRejection(ctx, batch, err)
		return
	}
	noEffect := errors.Is(err, platform.ErrRateLimited)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range slices.Backward(batch) {
		e.outcomeUnknown = e.outcomeUnknown || !noEffect
		e.sent = e.outcomeUnknown
		a.queues[e.class] = append([]*entry{e}, a.queues[e.class]...)
	}
}

func (a *appender) handleRejection(ctx context.Context, batch []*entry, err error) {
	if len(batch) > 1 {
		a.appendSeparately(ctx, batch)
		return
	}
	e := batch[0]
	a.remove(e.id)
	a.events.Record("record refused by the log", events.F("id", e.id.String()), events.F("error", err.Error()))
	if e.onRejected != nil && !e.outcomeUnknown {
		e.onRejected(err)
	}
}

func (a *appender) appendSeparately(ctx context.Context, batch []*entry) {
	for _, e := range batch {
		err := a.call(ctx, []*entry{e})
		if err != nil {
			a.handleFailure(ctx, []*entry{e}, err)
		}
	}
}

// adaptiveLimiter bounds the rate of calls below the urgent class.
type adaptiveLimiter struct {
	limiter *rate.Limiter

	mu           sync.Mutex
	lastDecrease time.Duration // when the rate was last halved
	hasDecreased bool
}

func newAdaptiveLimiter() *adaptiveLimiter {
	return &adaptiveLimiter{limiter: rate.NewLimiter(firstAppendRate, rateBurst)}
}

func (p *adaptiveLimiter) wait(ctx context.Context) error { return p.limiter.Wait(ctx) }

// update adapts the rate to the outcome of a call at now.
func (p *adaptiveLimiter) update(now time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(p.limiter.Limit())
	switch {
	case err == nil:
		limit = min(maxAppendRate, limit+rateGrowth/limit)
	case errors.Is(err, platform.ErrRateLimited) && (!p.hasDecreased || now-p.lastDecrease >= rateStepPeriod):
		limit = max(minAppendRate, limit/2)
		p.lastDecrease, p.hasDecreased = now, true
	}
	p.limiter.SetLimit(rate.Limit(limit))
}
