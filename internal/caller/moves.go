package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const moveCheckInterval = 100 * time.Millisecond

// activeStreams holds the streams in flight by target, so that the streams of a cheap
// target (spot: it can be reclaimed with its whole data centre at short notice) can be
// moved to another engine before the target is reclaimed. It is safe for concurrent use.
type activeStreams struct {
	mu       sync.Mutex
	nextID   uint64
	byTarget map[string]map[uint64]context.CancelCauseFunc
}

func newActiveStreams() *activeStreams {
	return &activeStreams{byTarget: map[string]map[uint64]context.CancelCauseFunc{}}
}

// track returns a context that is cancelled with errStreamMoved when the stream has to
// move, and a function that must be called at the end of the attempt.
func (m *activeStreams) track(ctx context.Context, target string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	id := m.nextID
	if m.byTarget[target] == nil {
		m.byTarget[target] = map[uint64]context.CancelCauseFunc{}
	}
	m.byTarget[target][id] = cancel
	return ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.byTarget[target], id)
		if len(m.byTarget[target]) == 0 {
			delete(m.byTarget, target)
		}
		cancel(nil)
	}
}

// attemptError returns err, or an attempt error with errStreamMoved if the attempt ended
// because the stream has to move.
func (m *activeStreams) attemptError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStreamMoved) {
		return &engine.AttemptError{Outcome: retry.Unknown, Err: errStreamMoved}
	}
	return err
}

// watch calls moveReclaimed at intervals until ctx ends.
func (m *activeStreams) watch(ctx context.Context, loop *control.Loop, recorder *events.Recorder) error {
	return clock.Every(ctx, moveCheckInterval, func() { m.moveReclaimed(loop.Snapshot(), recorder) })
}

// moveReclaimed cancels the attempts on cheap targets that are unavailable and not
// drained, so that their streams resume on other engines. Other unavailable targets, and
// drained ones, finish their streams.
func (m *activeStreams) moveReclaimed(s *control.Snapshot, recorder *events.Recorder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.byTarget) == 0 || s.Config == nil {
		return
	}
	for i := range s.Config.Services {
		for _, t := range s.RoutingTable.Targets(s.Config.Services[i].Name) {
			streams := m.byTarget[t.ID]
			if !t.Cheap || !t.Unavailable || len(streams) == 0 || s.Drained(t.ID) {
				continue
			}
			recorder.Record("streams moved", events.F("target", t.ID))
			for _, cancel := range streams {
				cancel(errStreamMoved)
			}
			delete(m.byTarget, t.ID)
		}
	}
}
