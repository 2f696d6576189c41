package clock

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends. It always returns nil; the error
// result lets a function passed to errgroup.Group.Go return it directly.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

// Sleep waits for d and returns true, or returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// PollUntil calls done at once and then after each interval until it returns true. It
// returns ctx's error if ctx ends first.
func PollUntil(ctx context.Context, interval time.Duration, done func() bool) error {
	for !done() {
		if !Sleep(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}
