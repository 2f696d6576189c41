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
	appendPauseMin = 15 * time.Millisecond  // a few times the usual answer of 4 ms
	appendPauseMax = 200 * time.Millisecond // an outage is noticed to be over within it
	maxWaiting     = 4096                   // record groups; above it callers are refused
)

// writer makes the calls of an appender. A call that failed is made again with the
// same records.
type writer interface {
	write(ctx context.Context, records [][]byte) (place, error)
}

// numberedWriter writes to one partition. A call without an answer is repeated under
// its sequence number, so nothing is appended twice.
type numberedWriter struct {
	store     *platform.Store
	topic     string
	partition int
	producer  string
	sequence  int64
}

func (w *numberedWriter) write(ctx context.Context, records [][]byte) (place, error) {
	pos, err := w.store.Append(ctx, w.topic, w.partition, platform.Producer{Name: w.producer, Sequence: w.sequence}, records)
	if err != nil {
		return place{}, err
	}
	w.sequence++
	return place{w.partition, pos.Offset}, nil
}

// spreadWriter writes to any partition of a topic: the one that took the last
// records, until it fails. Records that are appended twice do no harm there, as they
// are only found by the place that their writer tells.
type spreadWriter struct {
	store      *platform.Store
	topic      string
	partition  int
	partitions int
}

func (w *spreadWriter) write(ctx context.Context, records [][]byte) (place, error) {
	pos, err := w.store.Append(ctx, w.topic, w.partition, platform.Producer{}, records)
	if err != nil {
		w.partition = (w.partition + 1) % w.partitions
		return place{}, err
	}
	return place{w.partition, pos.Offset}, nil
}

// appender writes to a topic. Record groups that wait while a call is on its way go
// out together in the next one. A call without an answer is repeated until its
// outcome is known.
type appender struct {
	writer    writer
	topic     string
	callBytes int
	queue     chan *pending
	onResult  func(err error) // after each call
}

type pending struct {
	ctx     context.Context //nolint:containedctx // decides until the call leaves whether it still should
	records [][]byte
	bytes   int
	done    chan appended
}

type appended struct {
	at  place // of the first record
	err error
}

func newAppender(w writer, topic string, callBytes int, onResult func(error)) *appender {
	return &appender{writer: w, topic: topic, callBytes: callBytes, queue: make(chan *pending, maxWaiting), onResult: onResult}
}

// append adds the records one after another and returns the first one's place.
// errNotSent tells that ctx ended before they were sent; ErrUnknown that it ended
// before the outcome was known: they may have been appended, or may be yet.
func (a *appender) append(ctx context.Context, records ...[]byte) (place, error) {
	p := &pending{ctx: ctx, records: records, done: make(chan appended, 1)}
	for _, r := range records {
		p.bytes += len(r)
	}
	select {
	case a.queue <- p:
	default:
		return place{}, fmt.Errorf("%s: %w: %d record groups wait", a.topic, errNotSent, maxWaiting)
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
	case <-time.After(appendPauseMax):
		return place{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrUnknown)
	}
}

// post adds records whose outcome nobody waits for.
func (a *appender) post(records ...[]byte) bool {
	p := &pending{ctx: context.Background(), records: records, done: make(chan appended, 1)}
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
	var held *pending
	for ctx.Err() == nil {
		first := held
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-a.queue:
			}
		}
		var batch []*pending
		batch, held = a.gather(first)
		if len(batch) == 0 {
			continue
		}
		at, err := a.flush(ctx, batch)
		for _, p := range batch {
			p.done <- appended{at, err}
			at.offset += int64(len(p.records))
		}
	}
	return nil
}

// gather takes what waits, up to the size of one call. What no longer fits is
// returned for the next one.
func (a *appender) gather(first *pending) (batch []*pending, rest *pending) {
	size := 0
	for p := first; p != nil; {
		switch {
		case p.ctx.Err() != nil:
			p.done <- appended{place{}, fmt.Errorf("append to %s: %w", a.topic, errNotSent)}
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
func (a *appender) flush(ctx context.Context, batch []*pending) (place, error) {
	var records [][]byte
	for _, p := range batch {
		records = append(records, p.records...)
	}
	pause, sent := appendPauseMin, false
	for {
		at, err := a.writer.write(ctx, records)
		a.onResult(err)
		if err == nil {
			return at, nil
		}
		sent = sent || errors.Is(err, platform.ErrUnknown)
		if errors.Is(err, platform.ErrSuperseded) || errors.Is(err, platform.ErrConflict) {
			return place{}, err
		}
		if !sent && allDone(batch) {
			return place{}, fmt.Errorf("%w: %w", errNotSent, err)
		}
		if !clock.Pause(ctx, pause) {
			return place{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrUnknown)
		}
		pause = min(2*pause, appendPauseMax)
	}
}

// allDone reports whether nobody waits for the batch any more.
func allDone(batch []*pending) bool {
	for _, p := range batch {
		if p.ctx.Err() == nil {
			return false
		}
	}
	return true
}
