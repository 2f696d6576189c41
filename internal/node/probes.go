package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/allowance"
	"github.com/amaranthfold/amaranthfold/internal/clock"
)

// ErrNotProbed is the error of a request to a target that has not answered since this instance
// stood still. It was not sent.
var ErrNotProbed = errors.New("the target has not answered since this instance stood still")

// probes is allowance.Probes for the goroutines that send requests. It is safe for concurrent use.
type probes struct {
	clock clock.Clock

	mu       sync.Mutex
	probes   allowance.Probes
	answered chan struct{} // closed when a target has answered
}

func (p *probes) stoodStill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes.StoodStill(p.clock.Now())
}

func (p *probes) maySend(target string) (may bool, askAgain time.Duration, answered <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	may, askAgain = p.probes.MaySend(p.clock.Now(), target)
	return may, askAgain, p.answered
}

// noteAnswer records that the target has answered a request that was sent at sentAt.
func (p *probes) noteAnswer(target string, sentAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probes.Answered(p.clock.Now(), target, sentAt) {
		close(p.answered)
		p.answered = make(chan struct{})
	}
}

// AwaitProbe waits until a request may be sent to the target, if this instance has stood still and
// the target may have named a limit meanwhile. It fails with ErrNotProbed if that takes longer than
// maxWait. The caller reads the target's limit from the view after it.
func (n *Node) AwaitProbe(ctx context.Context, target string, maxWait time.Duration) error {
	n.CheckStandstill(ctx)
	if t, found := n.CurrentView().Target(target); !found || t.Limited { // a request needs an allowance
		return nil
	}
	for deadline := n.Clock.Now() + maxWait; ; {
		may, askAgain, answered := n.probes.maySend(target)
		now := n.Clock.Now()
		switch {
		case may:
			return nil
		case now >= deadline:
			return ErrNotProbed
		}
		timer := time.NewTimer(min(askAgain, deadline) - now)
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}
