package node

import (
	"context"
	"errors"
	"testing"

	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against appends that wait for a response which the log has lost or sends late, and hold up
// the heartbeats behind them.
func TestAppendEndsWhenItsRecordsAreRead(t *testing.T) {
	b := &readBack{}
	unanswered := func(read ...int64) func(context.Context) (int64, error) {
		return func(ctx context.Context) (int64, error) {
			for _, offset := range read {
				b.noteRead(offset)
			}
			<-ctx.Done()
			return 0, platform.ErrOutcomeUnknown
		}
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	answered := func(context.Context) (int64, error) { return 4, nil }
	never := func(context.Context) (int64, error) {
		t.Fatal("records that were read are sent again")
		return 0, nil
	}
	check := func(ctx context.Context, what string, records int, call func(context.Context) (int64, error), wantOffset int64, wantErr error) {
		t.Helper()
		offset, err := b.call(ctx, records, call)
		if offset != wantOffset || !errors.Is(err, wantErr) {
			t.Errorf("%s: offset %d, %v; want %d, %v", what, offset, err, wantOffset, wantErr)
		}
	}
	check(context.Background(), "answered", 2, answered, 4, nil)
	check(ended, "the first of two read", 2, unanswered(4, 5, 9), 0, platform.ErrOutcomeUnknown)
	check(context.Background(), "the second read in a repeat", 2, unanswered(10), 9, nil)
	check(ended, "not read", 1, unanswered(), 0, platform.ErrOutcomeUnknown)
	b.noteRead(12)
	check(context.Background(), "read between two calls", 1, never, 12, nil)
	b.lose()
	check(ended, "some may not have been counted", 1, unanswered(13), 0, platform.ErrOutcomeUnknown)
}
