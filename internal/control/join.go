package control

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	restoreRetryInterval = time.Second
	// beyondEnd is an offset that no log reaches. Reading there tells the log's
	// first and next offset without any record.
	beyondEnd = math.MaxInt64 / 2
)

// errNoState tells that neither the log nor a peer has a state to start from.
var errNoState = errors.New("no checkpoint in the log and no state at a peer")

// restore finds the state to go on from when the log no longer keeps the record
// that must be folded next. It returns the offset to read next. An instance that
// finds nothing stays as it is: it never starts empty on a trimmed log.
func (l *Loop) restore(ctx context.Context) (int64, error) {
	state, source, err := l.findState(ctx)
	if err != nil {
		return 0, err
	}
	l.Events.Record("joined from a state", events.F("source", source), events.F("offset", fmt.Sprint(state.Applied)))
	done := make(chan struct{})
	l.post(ctx, restoreState{state, done})
	select {
	case <-done:
		return int64(state.Applied) + 1, nil
	case <-l.done:
		return 0, errNoState
	}
}

func (l *Loop) findState(ctx context.Context) (*fold.State, string, error) {
	first, state, err := l.checkpointInLog(ctx)
	if err == nil {
		return state, "log", nil
	}
	errs := []error{err}
	for _, p := range l.Snapshot().Peers {
		if p.Suspect {
			continue
		}
		state, err := l.fetchState(ctx, p.Address)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("state of peer %q: %w", p.ID, err))
		case int64(state.Applied)+1 < first:
			errs = append(errs, fmt.Errorf("state of peer %q is of offset %d, the log keeps from %d", p.ID, state.Applied, first))
		default:
			return state, p.ID, nil
		}
	}
	return nil, "", fmt.Errorf("%w: %w", errNoState, errors.Join(errs...))
}

// checkpointInLog returns the first offset kept and the state of the newest
// checkpoint. It reads backwards from the end.
func (l *Loop) checkpointInLog(ctx context.Context) (int64, *fold.State, error) {
	end, err := l.readLog(ctx, beyondEnd, 0)
	if err != nil {
		return 0, nil, err
	}
	found := map[checkpointKey][]record.Checkpoint{}
	for upTo := end.Next; upTo > end.First; {
		from := max(end.First, upTo-readLimit)
		run, err := l.readRun(ctx, from, upTo)
		if err != nil {
			return end.First, nil, err
		}
		for _, r := range slices.Backward(run) {
			if state := collect(found, r); state != nil && int64(state.Applied)+1 >= end.First {
				return end.First, state, nil
			}
		}
		upTo = from
	}
	return end.First, nil, fmt.Errorf("log from offset %d to %d: %w", end.First, end.Next, errNoState)
}

// readRun reads all records in [from, upTo).
func (l *Loop) readRun(ctx context.Context, from, upTo int64) ([]platform.LogRecord, error) {
	var run []platform.LogRecord
	for at := from; at < upTo; {
		reply, err := l.readLog(ctx, at, 0)
		if err != nil {
			return nil, err
		}
		if len(reply.Records) == 0 {
			return nil, fmt.Errorf("log has no record at offset %d before its end: %w", at, platform.ErrUnavailable)
		}
		run = append(run, reply.Records...)
		at += int64(len(reply.Records))
	}
	return run[:upTo-from], nil
}

// checkpointKey names one checkpoint among those that several instances wrote.
type checkpointKey struct {
	author string
	offset record.Offset
}

// collect adds a record, read backwards, to the parts found so far. It returns
// the state once a checkpoint is whole and matches its digest.
func collect(found map[checkpointKey][]record.Checkpoint, r platform.LogRecord) *fold.State {
	env, body, err := record.Decode(r.Data)
	part, ok := body.(record.Checkpoint)
	if err != nil || !ok {
		return nil
	}
	key := checkpointKey{env.Author, part.Offset}
	parts := found[key]
	if len(parts) > 0 && parts[0].Part != part.Part+1 {
		parts = nil // a repeat
	}
	parts = append([]record.Checkpoint{part}, parts...)
	found[key] = parts
	if part.Part != 0 || len(parts) != part.Parts {
		return nil
	}
	state, err := fold.Restore(parts)
	if err != nil {
		return nil
	}
	return state
}

// restoreState replaces the control state by one found elsewhere.
type restoreState struct {
	state *fold.State
	done  chan struct{} // closed once it has been published
}

func (m restoreState) handle(l *Loop) {
	now := l.Clock.Now()
	l.state = m.state
	l.halted = ""
	l.digests.reset()
	l.recent.reset(l.state.Applied)
	l.encodedState = nil
	l.checkpointAt = now
	for name, cur := range l.state.Leases {
		l.machine(name).Restore(now, cur)
	}
	for name, m := range l.leases {
		if _, known := l.state.Leases[name]; !known {
			m.Restore(now, fold.Lease{})
		}
	}
	l.applyConfig()
	l.drainsChanged()
	l.indexKeys()
	l.publish()
	close(m.done)
}
