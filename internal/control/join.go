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
	// beyondEnd is an offset that no log reaches. A read there returns the log's first
	// and next offset without any record.
	beyondEnd = math.MaxInt64 / 2
)

// errNoState: neither the log nor a peer has a state to restore.
var errNoState = errors.New("no checkpoint in the log and no state at a peer")

// restore replaces the control state by one from the log or a peer, when the log no longer
// keeps the record that must be applied next or when this instance's state differs from
// its peers'. It returns the offset to read next. If no state is found, the control state
// stays as it is: an instance never starts with an empty state on a trimmed log.
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

// findState returns a state and its source: the newest checkpoint in the log, or else the
// first non-suspect peer whose state can be continued with the records that the log keeps.
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
			errs = append(errs, fmt.Errorf("state of peer %q is at offset %d, the log starts at offset %d", p.ID, state.Applied, first))
		default:
			return state, p.ID, nil
		}
	}
	return nil, "", fmt.Errorf("%w: %w", errNoState, errors.Join(errs...))
}

// checkpointInLog returns the log's first kept offset and the state of its newest complete
// checkpoint. It reads backwards from the log's end.
func (l *Loop) checkpointInLog(ctx context.Context) (int64, *fold.State, error) {
	end, err := l.readLog(ctx, beyondEnd, 0)
	if err != nil {
		return 0, nil, err
	}
	found := map[checkpointKey][]record.Checkpoint{}
	for upTo := end.Next; upTo > end.First; {
		from := max(end.First, upTo-readLimit)
		records, err := l.readRange(ctx, from, upTo)
		if err != nil {
			return end.First, nil, err
		}
		for _, r := range slices.Backward(records) {
			if state := collectCheckpoint(found, r); state != nil && int64(state.Applied)+1 >= end.First {
				return end.First, state, nil
			}
		}
		upTo = from
	}
	return end.First, nil, fmt.Errorf("log from offset %d to %d: %w", end.First, end.Next, errNoState)
}

// readRange reads all records in [from, upTo).
func (l *Loop) readRange(ctx context.Context, from, upTo int64) ([]platform.LogRecord, error) {
	var records []platform.LogRecord
	for at := from; at < upTo; {
		reply, err := l.readLog(ctx, at, 0)
		if err != nil {
			return nil, err
		}
		if len(reply.Records) == 0 {
			return nil, fmt.Errorf("log has no record at offset %d before its end: %w", at, platform.ErrUnavailable)
		}
		records = append(records, reply.Records...)
		at += int64(len(reply.Records))
	}
	return records[:upTo-from], nil
}

// checkpointKey identifies a checkpoint: several instances may write one at the same
// offset.
type checkpointKey struct {
	author string
	offset record.Offset
}

// collectCheckpoint adds a record to found, the checkpoint parts found so far. The caller
// passes the records in descending order of offsets. It returns the state once a
// checkpoint is complete and matches its digest, else nil.
func collectCheckpoint(found map[checkpointKey][]record.Checkpoint, r platform.LogRecord) *fold.State {
	env, body, err := record.Decode(r.Data)
	part, ok := body.(record.Checkpoint)
	if err != nil || !ok {
		return nil
	}
	key := checkpointKey{env.Author, part.Offset}
	parts := found[key]
	if len(parts) > 0 && parts[0].Part != part.Part+1 {
		parts = nil // the parts found so far are from a repeated append
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

// restoreState replaces the control state by one from a checkpoint or a peer.
type restoreState struct {
	state *fold.State
	done  chan struct{} // closed after the next snapshot has been published
}

func (m restoreState) handle(l *Loop) {
	now := l.Clock.Now()
	l.state = m.state
	l.halted = ""
	l.digests.reset()
	l.recent.reset(l.state.Applied)
	l.encodedState = nil
	l.checkpointChangedAt = now
	for name, cur := range l.state.Leases {
		l.leaseMachine(name).Restore(now, cur)
	}
	for name, m := range l.leases {
		if _, found := l.state.Leases[name]; !found {
			m.Restore(now, fold.Lease{})
		}
	}
	l.applyConfig()
	l.drainsChanged()
	l.indexKeys()
	l.publish()
	close(m.done)
}
