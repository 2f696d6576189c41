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

const moveInterval = 100 * time.Millisecond

// streamMoves knows the streams in flight by target, to take those of a cheap target
// that leaves elsewhere before it vanishes. It is safe for concurrent use.
type streamMoves struct {
	mu       sync.Mutex
	next     uint64
	byTarget map[string]map[uint64]context.CancelCauseFunc
}

func newStreamMoves() *streamMoves {
	return &streamMoves{byTarget: map[string]map[uint64]context.CancelCauseFunc{}}
}

// track returns a context that ends when the stream has to move.
func (m *streamMoves) track(ctx context.Context, target string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	id := m.next
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

// attemptError returns err, or errMoved when that is why the attempt ended.
func (m *streamMoves) attemptError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStreamMoved) {
		return &engine.AttemptError{Outcome: retry.Unknown, Err: errStreamMoved}
	}
	return err
}

// watch moves streams until ctx ends.
func (m *streamMoves) watch(ctx context.Context, loop *control.Loop, recorder *events.Recorder) error {
	return clock.Every(ctx, moveInterval, func() { m.sweep(loop.Snapshot(), recorder) })
}

// sweep ends the attempts at cheap targets that are about to vanish. Other
// leaving targets finish what they have.
func (m *streamMoves) sweep(s *control.Snapshot, recorder *events.Recorder) {
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
