package batch

import (
	"context"
	"time"
)

// obtainPermits asks for permits to start runs on engines that limit their rate, and passes
// the replies to the runner's goroutine.
func (r *runner) obtainPermits(ctx context.Context) {
	b := r.batch
	view := b.CurrentView()
	for _, wanted := range r.scheduler.PermitsWanted() {
		t, found := view.Target(wanted.Engine)
		if !found {
			r.scheduler.SetPermits(b.Clock.Now(), wanted.Engine, 0, 0)
			continue
		}
		go func() {
			grant, err := b.Allowances.Take(ctx, t, wanted.Count, 0)
			if err != nil {
				grant.RetryAfter = reviewInterval
			}
			select {
			case r.permits <- permitReply{wanted.Engine, grant.Count, grant.RetryAfter}:
			case <-ctx.Done():
			}
		}()
	}
}

// permitReply is the reply to a request for permits.
type permitReply struct {
	engine     string
	count      int
	retryAfter time.Duration
}
