package hosted

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// countFlushInterval is the time between appends of the counts to the log. A killed
	// instance loses the counts of one interval at most.
	countFlushInterval = 300 * time.Millisecond
	// sealDelay is the time from the end of a window to its seal, which fixes the billed
	// counts in the log. It is four flush intervals. A longer delay makes it likelier that
	// an outage of the log delays the report past its due time.
	sealDelay      = 1200 * time.Millisecond
	windowLookback = 5   // windows before the newest ended one that a new lease holder still seals and reports
	windowsKept    = 120 // windows that the state retains
)

// usageCounter counts the requests of each account at this instance, by billing window.
// It is safe for concurrent use.
type usageCounter struct {
	instance *Instance
	mu       sync.Mutex
	counts   map[int64]map[string]int64 // by window, then account
	dirty    map[int64]bool             // windows that have changed since the last takeChanged
}

func newUsageCounter(in *Instance) *usageCounter {
	return &usageCounter{instance: in, counts: map[int64]map[string]int64{}, dirty: map[int64]bool{}}
}

// windowOf returns the number of the billing window that contains the wall time.
func (in *Instance) windowOf(wall time.Time) int64 {
	return wall.UnixMilli() / max(1, in.Settings.UsageWindow.Milliseconds())
}

// countRequest adds a request of the account to the window of the wall time.
func (u *usageCounter) countRequest(account string, wall time.Time) {
	if account == "" || !u.instance.Settings.ReportsUsage {
		return
	}
	w := u.instance.windowOf(wall)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts[w] == nil {
		u.counts[w] = map[string]int64{}
	}
	u.counts[w][account]++
	u.dirty[w] = true
}

// run appends the changed counts to the log every countFlushInterval, until ctx ends.
func (u *usageCounter) run(ctx context.Context) error {
	if !u.instance.Settings.ReportsUsage {
		return nil
	}
	return clock.Every(ctx, countFlushInterval, func() {
		for _, c := range u.takeChanged() {
			u.instance.AppendRecordAsync(job.Record{UsageCounted: &c})
		}
	})
}

// takeChanged returns the counts of each window that has changed since the last call, and
// prunes old windows.
func (u *usageCounter) takeChanged() []job.UsageCounted {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []job.UsageCounted
	for w := range u.dirty {
		counts := make(map[string]int64, len(u.counts[w]))
		for account, c := range u.counts[w] {
			counts[account] = c
		}
		out = append(out, job.UsageCounted{Window: w, Counts: counts})
	}
	clear(u.dirty)
	for w := range u.counts {
		if w < u.instance.windowOf(u.instance.Clock.Wall())-windowLookback {
			delete(u.counts, w)
		}
	}
	return out
}

// reportUsage seals the windows that ended at least sealDelay ago, and reports the sealed
// ones to the platform. As the seal fixes the counts before the first report, a repeated
// report has the same counts. It also prunes old jobs and windows from the state.
func (in *Instance) reportUsage(ctx context.Context) {
	if !in.Settings.ReportsUsage || in.cloud == nil {
		return
	}
	wall := in.Clock.Wall()
	newest := in.windowOf(wall.Add(-sealDelay)) - 1
	var seals []job.UsageSealed
	reports := map[int64]map[string]int64{}
	in.StateLoop.Do(ctx, func() {
		for w := newest - windowLookback; w <= newest; w++ {
			window := in.StateLoop.State.Windows[w]
			switch {
			case window == nil:
				seals = append(seals, job.UsageSealed{Window: w, Counts: map[string]int64{}})
			case window.SealedCounts == nil:
				seals = append(seals, job.UsageSealed{Window: w, Counts: window.Total()})
			case !window.Reported:
				reports[w] = window.SealedCounts
			}
		}
		in.StateLoop.State.Prune(wall.UnixMilli(), in.Settings.JobRetention, newest-windowsKept)
	})
	for _, s := range seals {
		if err := in.AppendRecord(ctx, job.Record{UsageSealed: &s}); err != nil {
			in.Log("usage not sealed", events.F("window", fmt.Sprint(s.Window)), events.F("error", err.Error()))
			return
		}
		in.Log("usage sealed", events.F("window", fmt.Sprint(s.Window)), events.F("accounts", fmt.Sprint(len(s.Counts))))
	}
	windows := make([]int64, 0, len(reports))
	for w := range reports {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		in.reportWindow(ctx, w, reports[w])
	}
}

// reportWindow reports the sealed counts of a window, if this instance holds the lease.
func (in *Instance) reportWindow(ctx context.Context, window int64, counts map[string]int64) {
	holder, held := in.controller.holder(ctx)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, in.controller.callTimeout())
	defer cancel()
	err := in.cloud.ReportUsage(ctx, holder, window, counts)
	if err != nil {
		in.controller.checkSuperseded(holder, err)
		in.Log("usage not reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", err.Error()))
		return
	}
	in.Metrics.Reports.Inc()
	in.Log("usage reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(holder.Fencing)), events.F("counts", fmt.Sprint(counts)))
	in.AppendRecordAsync(job.Record{UsageReported: &job.UsageReported{Window: window}})
}
