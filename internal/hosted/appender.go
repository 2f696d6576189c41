package hosted

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Errors of append beside the platform's.
var errNotSent = errors.New("the log took nothing in time; the records were not sent")

const (
	appendBackoffMin = 15 * time.Millisecond  // a few times the usual answer of 4 ms
	appendBackoffMax = 200 * time.Millisecond // an outage is noticed to be over within it
	maxQueuedAppends = 4096                   // record groups; above it callers are refused
)

// writer makes the calls of an appender. A call that failed is made again with the
// same records.
type writer interface {
	write(ctx context.Context, records [][]byte) (recordPosition, error)
}

// idempotentWriter writes to one partition. A call without an answer is repeated under
// its sequence number, so nothing is appended twice.
type idempotentWriter struct {
	store     *platform.Store
	topic     string
	partition int
	producer  string
	sequence  int64
}

func (w *idempotentWriter) write(ctx context.Context, records [][]byte) (recordPosition, error) {
	pos, err := w.store.Append(ctx, w.topic, w.partition, platform.Producer{Name: w.producer, Sequence: w.sequence}, records)
	if err != nil {
		return recordPosition{}, err
	}
	w.sequence++
	return recordPosition{w.partition, pos.Offset}, nil
}

// failoverWriter writes to any partition of a topic: the one that took the last
// records, until it fails. Records that are appended twice do no harm there, as they
// are only found by the place that their writer tells.
type failoverWriter struct {
	store      *platform.Store
	topic      string
	partition  int
	partitions int
}

func (w *failoverWriter) write(ctx context.Context, records [][]byte) (recordPosition, error) {
	pos, err := w.store.Append(ctx, w.topic, w.partition, platform.Producer{}, records)
	if err != nil {
		w.partition = (w.partition + 1) % w.partitions
		return recordPosition{}, err
	}
	return recordPosition{w.partition, pos.Offset}, nil
}

// appender writes to a topic. Record groups that wait while a call is on its way go
// out together in the next one. A call without an answer is repeated until its
// outcome is known.
type appender struct {
	writer    writer
	topic     string
	callBytes int
	queue     chan *pendingAppend
	onResult  func(err error) // after each call
}

type pendingAppend struct {
	ctx     context.Context //nolint:containedctx // decides until the call leaves whether it still should
	records [][]byte
	bytes   int
	done    chan appendOutcome
}

type appendOutcome struct {
	at  recordPosition // of the first record
	err error
}

func newAppender(w writer, topic string, callBytes int, onResult func(error)) *appender {
	return &appender{writer: w, topic: topic, callBytes: callBytes, queue: make(chan *pendingAppend, maxQueuedAppends), onResult: onResult}
}

// append adds the records one after another and returns the first one's place.
// errNotSent tells that ctx ended before they were sent; ErrUnknown that it ended
// before the outcome was known: they may have been appended, or may be yet.
func (a *appender) append(ctx context.Context, records ...[]byte) (recordPosition, error) {
	p := &pendingAppend{ctx: ctx, records: records, done: make(chan appendOutcome, 1)}
	for _, r := range records {
		p.bytes += len(r)
	}
	select {
	case a.queue <- p:
	default:
		return recordPosition{}, fmt.Errorf("%s: %w: %d record groups wait", a.topic, errNotSent, maxQueuedAppends)
	}
	select {
	case r := <-p.done:
		return r.at, r.err
	case <-ctx.Done():
	}
	// The writer decides under the same context whether the records still leave.
	select {
	case r := <-p.done:
		return r.at, r.err
	case <-time.After(appendBackoffMax):
		return recordPosition{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrOutcomeUnknown)
	}
}

// appendAsync adds records whose outcome nobody waits for.
func (a *appender) appendAsync(records ...[]byte) bool {
	p := &pendingAppend{ctx: context.Background(), records: records, done: make(chan appendOutcome, 1)}
	for _, r := range records {
		p.bytes += len(r)
	}
	select {
	case a.queue <- p:
		return true
	default:
		return false
	}
}

func (a *appender) run(ctx context.Context) error {
	var held *pendingAppend
	for ctx.Err() == nil {
		first := held
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-a.queue:
			}
		}
		var batch []*pendingAppend
		batch, held = a.collectBatch(first)
		if len(batch) == 0 {
			continue
		}
		at, err := a.flush(ctx, batch)
		for _, p := range batch {
			p.done <- appendOutcome{at, err}
			at.offset += int64(len(p.records))
		}
	}
	return nil
}

// collectBatch takes what waits, up to the size of one call. What no longer fits is
// returned for the next one.
func (a *appender) collectBatch(first *pendingAppend) (batch []*pendingAppend, rest *pendingAppend) {
	size := 0
	for p := first; p != nil; {
		switch {
		case p.ctx.Err() != nil:
			p.done <- appendOutcome{recordPosition{}, fmt.Errorf("append to %s: %w", a.topic, errNotSent)}
		case len(batch) > 0 && size+p.bytes > a.callBytes:
			return batch, p
		default:
			size += p.bytes + len(p.records)*recordOverhead
			batch = append(batch, p)
		}
		select {
		case p = <-a.queue:
		default:
			p = nil
		}
	}
	return batch, nil
}

// recordOverhead is the length before each record, in bytes.
const recordOverhead = 4

// flush repeats one call until its outcome is known.
func (a *appender) flush(ctx context.Context, batch []*pendingAppend) (recordPosition, error) {
	var records [][]byte
	for _, p := range batch {
		records = append(records, p.records...)
	}
	pause, sent := appendBackoffMin, false
	for {
		at, err := a.writer.write(ctx, records)
		a.onResult(err)
		if err == nil {
			return at, nil
		}
		sent = sent || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, platform.ErrSuperseded) || errors.Is(err, platform.ErrConflict) {
			return recordPosition{}, err
		}
		if !sent && allContextsDone(batch) {
			return recordPosition{}, fmt.Errorf("%w: %w", errNotSent, err)
		}
		if !clock.Sleep(ctx, pause) {
			return recordPosition{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrOutcomeUnknown)
		}
		pause = min(2*pause, appendBackoffMax)
	}
}

// allContextsDone reports whether nobody waits for the batch any more.
func allContextsDone(batch []*pendingAppend) bool {
	for _, p := range batch {
		if p.ctx.Err() == nil {
			return false
		}
	}
	return true
}
