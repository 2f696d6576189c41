package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/platform"
)

var (
	// ErrNotAppended means that the log contains none of the records and will not append them later.
	ErrNotAppended = errors.New("the log took none of the records")
	// ErrTooLarge means that a record or a group of records exceeds what the log takes. It wraps
	// ErrNotAppended.
	ErrTooLarge = fmt.Errorf("%w, which are too large", ErrNotAppended)
)

const (
	appendBackoffMin = 15 * time.Millisecond // about four times the log's response time of 4 ms
	maxQueuedAppends = 4096                  // further appends fail
	maxRefusals      = 2                     // of a group's own calls as invalid; the first may be due to a garbled call
)

// AppendBackoffMax is the longest delay before an append is repeated: the end of an outage is
// detected at most this late.
const AppendBackoffMax = 200 * time.Millisecond

// topicWriter appends records to one topic, all or none, and returns the position of the
// first. The appender repeats a failed write with the same records.
type topicWriter interface {
	write(ctx context.Context, records [][]byte) (recordPosition, error)
}

// idempotentWriter writes to one partition. A repeated write has the sequence number of
// the failed one, so no record is appended twice.
type idempotentWriter struct {
	store     *platform.Store
	topic     string
	partition int
	producer  string
	sequence  int64
	readBack  *readBack // of the topic
}

func (w *idempotentWriter) write(ctx context.Context, records [][]byte) (recordPosition, error) {
	offset, err := w.readBack.call(ctx, len(records), func(ctx context.Context) (int64, error) {
		pos, err := w.store.Append(ctx, w.topic, w.partition, platform.Producer{Name: w.producer, Sequence: w.sequence}, records)
		return pos.Offset, err
	})
	if errors.Is(err, platform.ErrSuperseded) || errors.Is(err, platform.ErrConflict) {
		w.readBack.lose()
	}
	if err != nil {
		return recordPosition{}, err
	}
	w.sequence++
	return recordPosition{w.partition, offset}, nil
}

// failoverWriter writes to one partition of a topic until a call fails, then to the next.
// A repeated write may append the records a second time. That is harmless for content
// records: they are read only at the location that a record of the control topic states,
// and it states that of one copy. Usage counts are cumulative.
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

// appender writes to a topic, one call at a time. Appends that are queued during a call
// are sent together in the next one. A call without a response is repeated until its
// outcome is known.
type appender struct {
	writer      topicWriter
	topic       string
	recordBytes int // largest record
	callBytes   int // largest total size of the records in one call, each with recordOverhead
	patience    pace.Patience
	sentAt      atomic.Pointer[time.Time] // first call with the records whose outcome is not known; nil: none
	queue       chan *pendingAppend
	onResult    func(err error) // called after each call to the log, with nil on success
	logAnswers  func() bool     // reports whether the log has answered a read lately
	// onAppended is nil, or called after each successful call.
	onAppended func()
	// logDelay is nil, or returns how long records take into the topic, as far as it was read.
	logDelay func(context.Context) time.Duration
}

// pendingAppend is a queued append. Its records are sent in one call and stay contiguous.
type pendingAppend struct {
	ctx     context.Context //nolint:containedctx // if it ends before the records are sent, they are dropped
	records [][]byte
	bytes   int // with recordOverhead of each record
	done    chan appendOutcome
}

type appendOutcome struct {
	position recordPosition // of the first record
	err      error
}

func newAppender(w topicWriter, topic string, limits platform.StoreSettings, logAnswers func() bool, onResult func(error)) *appender {
	return &appender{
		writer: w, topic: topic, recordBytes: limits.RecordBytes, callBytes: limits.CallBytes,
		queue: make(chan *pendingAppend, maxQueuedAppends), logAnswers: logAnswers, onResult: onResult,
	}
}

// checkSizes fails with ErrTooLarge if the log takes no record of the size of one of them.
func (a *appender) checkSizes(records [][]byte) error {
	for _, r := range records {
		if len(r) > a.recordBytes {
			return fmt.Errorf("append to %s: %w: a record of %d bytes, of %d at most", a.topic, ErrTooLarge, len(r), a.recordBytes)
		}
	}
	return nil
}

// enqueue queues the records as one group. It fails with ErrTooLarge if the log never takes them,
// and with ErrNotAppended if the queue is full.
func (a *appender) enqueue(ctx context.Context, records [][]byte) (*pendingAppend, error) {
	if err := a.checkSizes(records); err != nil {
		return nil, err
	}
	p := &pendingAppend{ctx: ctx, records: records, done: make(chan appendOutcome, 1)}
	for _, r := range records {
		p.bytes += len(r) + recordOverhead
	}
	if p.bytes > a.callBytes {
		return nil, fmt.Errorf("append to %s: %w: %d records of %d bytes in one call of %d at most", a.topic, ErrTooLarge, len(records), p.bytes, a.callBytes)
	}
	select {
	case a.queue <- p:
		return p, nil
	default:
		return nil, fmt.Errorf("append to %s: %w: %d record groups wait", a.topic, ErrNotAppended, maxQueuedAppends)
	}
}

// append appends the records contiguously and returns the position of the first. It fails at
// once with ErrTooLarge if the log never takes them, and with ErrNotAppended if the queue is
// full, if ctx ends and no call can have appended the records, or if the log refuses them as
// invalid. It fails with platform.ErrOutcomeUnknown if ctx ends before the outcome is known:
// the records may have been appended, or may be appended later.
func (a *appender) append(ctx context.Context, records ...[]byte) (recordPosition, error) {
	p, err := a.enqueue(ctx, records)
	if err != nil {
		return recordPosition{}, err
	}
	select {
	case r := <-p.done:
		return r.position, r.err
	case <-ctx.Done():
	}
	// The goroutine of run drops queued records whose context has ended, so the outcome may
	// still become known: wait for it a little longer.
	select {
	case r := <-p.done:
		return r.position, r.err
	case <-time.After(AppendBackoffMax):
		return recordPosition{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrOutcomeUnknown)
	}
}

// appendAsync queues records without waiting for the outcome. It fails as enqueue does.
func (a *appender) appendAsync(records ...[]byte) error {
	_, err := a.enqueue(context.Background(), records)
	return err
}

// run sends the queued appends until ctx ends.
func (a *appender) run(ctx context.Context) error {
	var leftover *pendingAppend
	for ctx.Err() == nil {
		first := leftover
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-a.queue:
			}
		}
		var batch []*pendingAppend
		batch, leftover = a.collectBatch(first)
		if len(batch) == 0 {
			continue
		}
		a.send(ctx, batch)
	}
	return nil
}

// send sends the batch in one call, and its groups one by one if the log refuses that call as
// invalid: only the groups that cause the refusal fail.
func (a *appender) send(ctx context.Context, batch []*pendingAppend) {
	position, err := a.flush(ctx, batch)
	if len(batch) > 1 && errors.Is(err, platform.ErrInvalid) {
		for i, p := range batch {
			if !a.drop(p) {
				a.send(ctx, batch[i:i+1])
			}
		}
		return
	}
	for _, p := range batch {
		p.done <- appendOutcome{position, err}
		position.offset += int64(len(p.records))
	}
}

// drop reports whether the context of a queued append has ended, which is not sent then.
func (a *appender) drop(p *pendingAppend) bool {
	if p.ctx.Err() == nil {
		return false
	}
	p.done <- appendOutcome{recordPosition{}, fmt.Errorf("append to %s: %w in time", a.topic, ErrNotAppended)}
	return true
}

// collectBatch returns first and further queued appends, up to the size of one call. An
// append that no longer fits is returned as leftover, for the next call.
func (a *appender) collectBatch(first *pendingAppend) (batch []*pendingAppend, leftover *pendingAppend) {
	size := 0
	for p := first; p != nil; {
		switch {
		case a.drop(p):
		case len(batch) > 0 && size+p.bytes > a.callBytes:
			return batch, p
		default:
			size += p.bytes
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

// recordOverhead is the size of the length prefix of each record, in bytes.
const recordOverhead = 4

// flush sends the batch in one call and repeats it until its outcome is known. It fails
// with ErrNotAppended once every context of the batch has ended, if no call can have
// appended the records, and with platform.ErrInvalid if the log refuses the call as such.
func (a *appender) flush(ctx context.Context, batch []*pendingAppend) (recordPosition, error) {
	var records [][]byte
	for _, p := range batch {
		records = append(records, p.records...)
	}
	backoff, maybeAppended, refusals := appendBackoffMin, false, 0
	now := time.Now()
	a.sentAt.Store(&now)
	defer a.sentAt.Store(nil)
	for {
		position, err := a.write(ctx, records)
		a.onResult(err)
		if err == nil {
			if a.onAppended != nil {
				a.onAppended()
			}
			return position, nil
		}
		maybeAppended = maybeAppended || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, platform.ErrSuperseded) || errors.Is(err, platform.ErrConflict) {
			return recordPosition{}, err
		}
		if errors.Is(err, platform.ErrInvalid) {
			// The log judges the same records alike, so an earlier call without a response has not
			// appended them either, unless this one was garbled.
			if refusals++; len(batch) > 1 && !maybeAppended || refusals == maxRefusals {
				return recordPosition{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
			}
		}
		if !maybeAppended && allContextsDone(batch) {
			return recordPosition{}, fmt.Errorf("%w: %w", ErrNotAppended, err)
		}
		if !clock.Sleep(ctx, backoff) {
			return recordPosition{}, fmt.Errorf("append to %s: %w", a.topic, platform.ErrOutcomeUnknown)
		}
		backoff = min(2*backoff, AppendBackoffMax)
	}
}

// pending returns for how long the log has not taken the records that are being sent.
func (a *appender) pending() time.Duration {
	if sent := a.sentAt.Load(); sent != nil {
		return time.Since(*sent)
	}
	return 0
}

// write sends the records in one call, and waits for the response as long as the log may take.
func (a *appender) write(ctx context.Context, records [][]byte) (recordPosition, error) {
	delay := time.Duration(0)
	if a.logDelay != nil {
		delay = a.logDelay(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, a.patience.Timeout(delay))
	defer cancel()
	sent := time.Now()
	position, err := a.writer.write(ctx, records)
	switch {
	case err == nil:
		a.patience.Answered(time.Since(sent))
	case errors.Is(err, context.DeadlineExceeded):
		a.patience.TimedOut(a.logAnswers())
	}
	return position, err
}

// allContextsDone reports whether all contexts of the batch have ended.
func allContextsDone(batch []*pendingAppend) bool {
	for _, p := range batch {
		if p.ctx.Err() == nil {
			return false
		}
	}
	return true
}
