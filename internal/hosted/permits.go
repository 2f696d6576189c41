package hosted

import (
	"context"
	"time"
)

// obtainPermits asks for permits to start runs on engines that limit their rate, and passes
// the replies to the runner's goroutine.
func (r *runner) obtainPermits(ctx context.Context) {
	in := r.instance
	view := in.stateLoop.view.Load()
	for _, wanted := range r.scheduler.PermitsWanted() {
		t, found := view.target(wanted.Engine)
		if !found {
			r.scheduler.SetPermits(in.clock.Now(), wanted.Engine, 0, 0)
			continue
		}
		go func() {
			grant, err := in.allowances.take(ctx, t, wanted.Count, 0)
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
