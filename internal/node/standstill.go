package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	standstillTick = 100 * time.Millisecond
	// standstillThreshold is how late a tick is after a standstill. On a busy machine ticks are some
	// 100 ms late.
	standstillThreshold = 500 * time.Millisecond
)

// standstill finds out that this process has stood still. It is safe for concurrent use.
type standstill struct {
	node     *Node
	lastTick atomic.Int64 // reading of Clock.Now in nanoseconds; zero: run was not called

	mu sync.Mutex // held while a standstill is noted
}

// run ticks until ctx ends.
func (s *standstill) run(ctx context.Context) error {
	s.lastTick.Store(int64(s.node.Clock.Now()))
	return clock.Every(ctx, standstillTick, func() {
		now := s.node.Clock.Now()
		s.node.CheckStandstill(ctx)
		s.lastTick.Store(int64(now))
	})
}

// sinceTick returns the time since the latest tick, zero before the first one.
func (s *standstill) sinceTick() time.Duration {
	last := s.lastTick.Load()
	if last == 0 {
		return 0
	}
	return s.node.Clock.Now() - time.Duration(last)
}

// CheckStandstill notes a standstill of this process that has ended just now. Targets may have
// started again meanwhile, without a request of this instance that failed, and their entries have
// not been read: those that may be cold count as cold for a while. It is called right before the
// view is used to send something.
func (n *Node) CheckStandstill(ctx context.Context) {
	s := &n.standstill
	if s.sinceTick() < standstillThreshold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stoodStill := s.sinceTick()
	if stoodStill < standstillThreshold { // noted by another goroutine
		return
	}
	n.probes.stoodStill()
	doubted := 0
	noted := n.StateLoop.Do(ctx, func() {
		if doubted = n.StateLoop.targets.DoubtAll(n.Clock.Now()); doubted > 0 {
			n.StateLoop.publish()
		}
	})
	if !noted {
		return
	}
	n.Metrics.standstills.Inc()
	n.Metrics.targetsDoubted.Add(doubted)
	n.Log("instance stood still", events.F("for", stoodStill.Round(time.Millisecond).String()), events.F("doubted", fmt.Sprint(doubted)))
	s.lastTick.Store(int64(n.Clock.Now()))
}
