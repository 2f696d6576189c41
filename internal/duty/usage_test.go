package duty

import (
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }
func (c *manualClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.now) }

// Guards against requests that are not billed: the log removed their counts before their window ended.
func TestCountsAreStoredAgainWhileTheirWindowOutlastsTheHistory(t *testing.T) {
	const window, history = time.Minute, 20 * time.Second
	clock := &manualClock{now: 10 * window}
	n := node.New(node.Config{LogOutput: io.Discard, Clock: clock, Settings: platform.Settings{
		MemoryBytes: 1 << 20, ReportsUsage: true, UsageWindow: window,
		Store: platform.StoreSettings{Address: "127.0.0.1:1", Partitions: 1, Retention: history},
	}})
	u := newUsageCounter(n)
	u.countRequest("acme", clock.Wall())
	want := []job.UsageCounted{{Window: 10, Counts: map[string]int64{"acme": 1}}}
	var storedAt time.Duration
	for ; clock.now < 11*window+sealDelay; clock.now += countFlushInterval {
		if counts := u.takeChanged(); len(counts) > 0 {
			if !reflect.DeepEqual(counts, want) {
				t.Fatalf("stored %v, want %v", counts, want)
			}
			if storedAt > 0 && clock.now-storedAt < history/8 {
				t.Fatalf("stored at %s and %s", storedAt, clock.now)
			}
			storedAt = clock.now
		}
		if clock.now-storedAt > history/2 {
			t.Fatalf("at %s the counts of %s may be removed", clock.now, storedAt)
		}
	}
	clock.now += 2 * partialSealDelay
	for range 100 {
		if counts := u.takeChanged(); len(counts) > 0 {
			t.Fatalf("stored %v after the window was sealed", counts)
		}
		clock.now += countFlushInterval
	}
}
