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
	maxQueuedEntries = 1024                 // per class
	maxBatchRecords  = 256                  // records per call
	maxBatchBytes    = 1 << 20              // per call, unless one entry is larger
	appendLinger     = 2 * time.Millisecond // wait for more records before a call
	appendTimeout    = 2 * time.Second
	appendBackoff    = 50 * time.Millisecond
	appendMaxBackoff = 2 * time.Second
	laneWorkers      = 2 // calls in flight per lane

	// The rate of calls below the urgent class follows AIMD. It halves when the log
	// rate-limits a call, and grows by the same amount a second on every instance, so that
	// the rates of the appending instances converge to equal shares of the log's limit.
	maxAppendRate       = 100.0 // calls a second, like the next two rates
	initialAppendRate   = 10.0
	minAppendRate       = 1.0
	rateGrowth          = 1.0                    // calls a second, each second
	rateBurst           = 4                      // calls
	minDecreaseInterval = 200 * time.Millisecond // least time between two decreases
)

// entry holds one or several records that must be contiguous in the log, such as the
// parts of a checkpoint. They go into one append call.
type entry struct {
	id             record.ID // of the first record
	class          class
	data           [][]byte
	expiresAt      time.Duration // reading of the clock from which on the entry is not sent; zero: no limit
	sent           bool          // a call with the entry was started and may have taken effect
	outcomeUnknown bool          // a call with the entry failed and may still have taken effect
	onRejected     func(error)   // called when the log rejects the entry; may be nil
}

func (e *entry) size() int {
	n := 0
	for _, d := range e.data {
		n += len(d)
	}
	return n
}

// appender batches records into append calls. A failed call is repeated until a call
// succeeds, or until its records have been read back, removed, expired, or rejected by the
// log. Records have unique ids, so that a repeated append has no further effect.
//
// There are two lanes, each with its own workers, so that records of the urgent class do
// not wait behind a slow call of the other classes.
type appender struct {
	log     LogClient
	clock   clock.Clock
	events  *events.Recorder
	limiter *adaptiveLimiter
	ready   [numLanes]chan struct{}

	mu      sync.Mutex
	pending map[record.ID]*entry // submitted and not removed
	queues  [numClasses][]*entry
	failing bool
}

// lane is a group of workers with its own append calls.
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
	a := &appender{log: log, clock: c, events: e, limiter: newAdaptiveLimiter(), pending: map[record.ID]*entry{}}
	for i := range a.ready {
		a.ready[i] = make(chan struct{}, 1)
	}
	return a
}

// submit queues an entry. It returns ErrOverloaded when the queue of its class is full.
func (a *appender) submit(e *entry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queues[e.class]) >= maxQueuedEntries {
		return ErrOverloaded
	}
	a.pending[e.id] = e
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

// remove cancels a pending entry. It reports whether the entry cannot have taken effect:
// no call with it was started, or the log rate-limited every such call. It returns false
// for an entry that is not pending.
func (a *appender) remove(id record.ID) (noEffect bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.pending[id]
	delete(a.pending, id)
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
			if l == laneUrgent || !errors.Is(err, platform.ErrRateLimited) { // limiter.wait delays the call after a rate limit
				clock.Sleep(ctx, retry.NextBackOff())
			}
			a.signal(l)
			continue
		}
		retry.Reset()
	}
}

// nextBatch removes the next batch of a lane from the queues, by class and then in queue
// order, and marks its entries as sent.
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
			if a.pending[e.id] != e || e.expiresAt != 0 && now >= e.expiresAt {
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

// drop removes the head of a queue, whose entry was removed or has expired.
func (a *appender) drop(c class, e *entry) {
	a.queues[c] = a.queues[c][1:]
	if a.pending[e.id] == e {
		delete(a.pending, e.id)
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

// handleFailure puts the entries of a failed batch back at the head of their queues, in
// order. A batch that the log rejects is appended entry by entry; an entry that is
// rejected alone is removed.
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

// handleRejection appends the entries of a rejected batch separately, or removes a single
// rejected entry. onRejected is not called if an earlier call with the entry may have
// taken effect.
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

// appendSeparately appends each entry in a call of its own. Each entry that fails is put
// back at the head of its queue, so that several failed entries are in reverse order there.
func (a *appender) appendSeparately(ctx context.Context, batch []*entry) {
	for _, e := range batch {
		err := a.call(ctx, []*entry{e})
		if err != nil {
			a.handleFailure(ctx, []*entry{e}, err)
		}
	}
}

// adaptiveLimiter is an AIMD limiter of the calls below the urgent class: the rate grows
// additively with each successful call and halves when the log rate-limits a call.
type adaptiveLimiter struct {
	limiter *rate.Limiter

	mu           sync.Mutex
	lastDecrease time.Duration // reading of the clock at the last decrease
	hasDecreased bool
}

func newAdaptiveLimiter() *adaptiveLimiter {
	return &adaptiveLimiter{limiter: rate.NewLimiter(initialAppendRate, rateBurst)}
}

func (p *adaptiveLimiter) wait(ctx context.Context) error { return p.limiter.Wait(ctx) }

// update adapts the rate to the result of a call that ended at now.
func (p *adaptiveLimiter) update(now time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(p.limiter.Limit())
	switch {
	case err == nil:
		limit = min(maxAppendRate, limit+rateGrowth/limit)
	case errors.Is(err, platform.ErrRateLimited) && (!p.hasDecreased || now-p.lastDecrease >= minDecreaseInterval):
		limit = max(minAppendRate, limit/2)
		p.lastDecrease, p.hasDecreased = now, true
	}
	p.limiter.SetLimit(rate.Limit(limit))
}
