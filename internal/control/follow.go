package control

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// follower reads the log and sends its records to the control goroutine in order.
type follower struct {
	*Loop
	next    int64 // offset to read next
	attempt int   // number of reads; rotates the peers that are queried

	logFailing    bool // the last read of the log itself failed
	failing       bool // the last read failed at the log and at the peers
	restoreFailed bool // the last restore found no state
}

// tail reads the log until ctx ends and sends its records to the control goroutine. An
// instance that is one of its data centre's log readers reads from the log. The others
// read from peers, preferably from log readers, and from the log if no peer replies. While
// the log fails, every instance reads from peers.
func (l *Loop) tail(ctx context.Context) error {
	f := &follower{Loop: l, next: 1}
	for ctx.Err() == nil {
		if !f.step(ctx) {
			clock.Sleep(ctx, readRetryInterval)
		}
	}
	return nil
}

// step reads once and reports whether to read again without a delay.
func (f *follower) step(ctx context.Context) bool {
	s := f.Snapshot()
	switch s.Halted {
	case "":
	case haltDiverged:
		clock.Sleep(ctx, restoreRetryInterval)
		return f.tryRestore(ctx)
	default:
		return false
	}
	read, err := f.read(ctx, s)
	f.recordAvailability(err)
	if errors.Is(err, platform.ErrTrimmed) {
		return f.tryRestore(ctx)
	}
	if err != nil {
		return false
	}
	f.next += int64(len(read.reply.Records))
	f.post(ctx, read)
	return true
}

// read reads from the log or from a peer. While the log fails, every second attempt queries
// the peers first, so that records which the peers have are received without waiting for
// a read of the log to time out.
func (f *follower) read(ctx context.Context, s *Snapshot) (logRead, error) {
	f.attempt++
	viaPeer := s.Config != nil && !s.isReader(s.Self.ID) || f.logFailing && f.attempt%2 == 0
	if viaPeer {
		if read, err := f.fetchFromPeers(ctx, s); err == nil {
			return read, nil
		}
	}
	sentAt := f.Clock.Now()
	reply, err := f.readLog(ctx, f.next, readWait)
	f.logFailing = err != nil && !errors.Is(err, platform.ErrTrimmed)
	if !f.logFailing {
		return logRead{sentAt: sentAt, caughtUp: true, reply: reply}, err
	}
	read, relayErr := f.fetchFromPeers(ctx, s)
	if relayErr == nil || errors.Is(relayErr, platform.ErrTrimmed) {
		return read, relayErr
	}
	return logRead{}, err
}

// fetchFromPeers queries peers in turn for records from f.next on. A peer that is behind
// f.next counts as failed. If every peer fails, it returns platform.ErrTrimmed if one of
// them no longer keeps the record at f.next, else errDataUnavailable.
func (f *follower) fetchFromPeers(ctx context.Context, s *Snapshot) (logRead, error) {
	err := errDataUnavailable
	for _, address := range fetchAddresses(s, f.attempt) {
		read, callErr := f.fetchRecords(ctx, address, f.next)
		if callErr == nil && read.reply.Next >= f.next {
			return read, nil
		}
		if errors.Is(callErr, platform.ErrTrimmed) {
			err = callErr
		}
	}
	return logRead{}, err
}

func (l *Loop) readLog(ctx context.Context, from int64, wait time.Duration) (platform.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return l.Log.Read(ctx, from, readLimit, wait)
}

// recordAvailability records events when reads begin to fail and when they work again.
func (f *follower) recordAvailability(err error) {
	failing := err != nil && !errors.Is(err, platform.ErrTrimmed)
	switch {
	case failing && !f.failing:
		f.Events.Record("log read failed", events.F("error", err.Error()))
	case !failing && f.failing:
		f.Events.Record("log read works again")
	}
	f.failing = failing
}

// tryRestore restores the control state and sets the next offset to read. If no state is
// found, it waits for the retry interval and returns false.
func (f *follower) tryRestore(ctx context.Context) bool {
	next, err := f.restore(ctx)
	if err != nil {
		if !f.restoreFailed {
			f.Events.Record("no state to join from", events.F("error", err.Error()))
		}
		f.restoreFailed = true
		clock.Sleep(ctx, restoreRetryInterval)
		return false
	}
	f.next, f.restoreFailed = next, false
	return true
}

// Reasons for which an instance stops its control roles.
const (
	haltDiverged = "its state differs from its peers'"
	haltFormat   = "a record needs a newer build"
)

// halt stops the control roles: no more records are applied, no lease records or
// checkpoints are appended, the leases count as not held and expire, and snapshots are no
// longer confirmed as fresh.
func (l *Loop) halt(reason string, err error) {
	if l.halted != "" {
		return
	}
	l.halted = reason
	l.Events.Record("control halted", events.F("reason", reason), events.F("error", err.Error()))
}

func (m logRead) handle(l *Loop) {
	now := l.Clock.Now()
	for _, r := range m.reply.Records {
		if l.halted != "" {
			return
		}
		if record.Offset(r.Offset) <= l.state.Applied {
			continue
		}
		if !l.applyRecord(now, r) {
			return
		}
	}
	// A reply that ends before the applied offset comes from an older copy of the log,
	// or from a peer that is behind, and does not confirm that the state is current.
	if l.halted != "" || record.Offset(m.reply.Next)-1 != l.state.Applied || !m.caughtUp {
		return
	}
	l.freshAt, l.caughtUp = max(l.freshAt, m.sentAt), true
	l.checkpoint(now)
}

// applyRecord applies a record to the state and reports whether the next record may be
// applied.
func (l *Loop) applyRecord(now time.Duration, r platform.LogRecord) bool {
	res, err := l.state.Apply(record.Offset(r.Offset), r.Data)
	switch {
	case errors.Is(err, fold.ErrUnsupportedFormat):
		l.halt(haltFormat, err)
		return false
	case err != nil:
		l.Events.Record("log gap", events.F("error", err.Error()))
		return false
	}
	l.recent.add(r, l.state.HashChain)
	l.onRecordApplied(now, res)
	l.comparePendingDigests()
	return true
}
