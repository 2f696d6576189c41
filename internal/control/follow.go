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

// follower hands the log's records to the control goroutine in order.
type follower struct {
	*Loop
	next    int64 // offset to read next
	attempt int   // rotates the peers that are asked

	logFailing    bool // the log itself did not answer the last time
	failing       bool // nor did any peer
	restoreFailed bool // no state was found to join from
}

// tail follows the log: directly where this instance is one of its data
// centre's readers, else through a reader, and through any peer while the log
// does not answer.
func (l *Loop) tail(ctx context.Context) error {
	f := &follower{Loop: l, next: 1}
	for ctx.Err() == nil {
		if !f.step(ctx) {
			clock.Sleep(ctx, readRetryInterval)
		}
	}
	return nil
}

// step reads once and reports whether to go on without a pause.
func (f *follower) step(ctx context.Context) bool {
	s := f.Snapshot()
	switch s.Halted {
	case "":
	case haltDiverged:
		clock.Sleep(ctx, restoreRetryInterval)
		return f.restoreState(ctx)
	default:
		return false
	}
	read, err := f.read(ctx, s)
	f.recordAvailability(err)
	if errors.Is(err, platform.ErrTrimmed) {
		return f.restoreState(ctx)
	}
	if err != nil {
		return false
	}
	f.next += int64(len(read.reply.Records))
	f.post(ctx, read)
	return true
}

// read reads from the log or from a peer. While the log does not answer, only
// every other attempt tries it first: a log that hangs must not hold up what
// peers know.
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

// fetchFromPeers asks peers in turn. A peer that is behind counts as no answer.
func (f *follower) fetchFromPeers(ctx context.Context, s *Snapshot) (logRead, error) {
	err := errNoPeerReply
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

// recordAvailability records when reads begin to fail and when they work again.
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

func (f *follower) restoreState(ctx context.Context) bool {
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

// halt stops the control roles. Nothing is folded or appended any more, leases
// lapse, and the view is no longer proved fresh.
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
		if !l.foldOne(now, r) {
			return
		}
	}
	// An end before what has been folded proves nothing: the log, or the peer,
	// answers from an older copy.
	if l.halted != "" || record.Offset(m.reply.Next)-1 != l.state.Applied || !m.caughtUp {
		return
	}
	l.freshAt, l.caughtUp = max(l.freshAt, m.sentAt), true
	l.checkpoint(now)
}

// foldOne folds a record and reports whether to go on.
func (l *Loop) foldOne(now time.Duration, r platform.LogRecord) bool {
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
