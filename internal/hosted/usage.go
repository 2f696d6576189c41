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
	countFlushInterval = 300 * time.Millisecond // counts that an instance may lose when it is killed
	// sealDelay a window's end it is sealed: four intervals in which its counts are
	// stored. Reports that wait longer fall into more outages of the log.
	sealDelay      = 1200 * time.Millisecond
	windowLookback = 5   // windows that a new holder still looks after
	windowsKept    = 120 // windows that are remembered
)

// usageCounter counts the requests of each account that began in each window.
type usageCounter struct {
	node   *Instance
	mu     sync.Mutex
	counts map[int64]map[string]int64
	dirty  map[int64]bool
}

func newUsageCounter(n *Instance) *usageCounter {
	return &usageCounter{node: n, counts: map[int64]map[string]int64{}, dirty: map[int64]bool{}}
}

// windowOf returns the number of the window at a time of day.
func (n *Instance) windowOf(wall time.Time) int64 {
	return wall.UnixMilli() / max(1, n.cfg.Settings.UsageWindow.Milliseconds())
}

func (u *usageCounter) countRequest(account string, wall time.Time) {
	if account == "" || !u.node.cfg.Settings.ReportsUsage {
		return
	}
	w := u.node.windowOf(wall)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts[w] == nil {
		u.counts[w] = map[string]int64{}
	}
	u.counts[w][account]++
	u.dirty[w] = true
}

// run stores the counts that have changed.
func (u *usageCounter) run(ctx context.Context) error {
	if !u.node.cfg.Settings.ReportsUsage {
		return nil
	}
	return clock.Every(ctx, countFlushInterval, func() {
		for _, c := range u.takeChanged() {
			u.node.appendRecordAsync(job.Record{UsageCounted: &c})
		}
	})
}

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
		if w < u.node.windowOf(u.node.clock.Wall())-windowLookback {
			delete(u.counts, w)
		}
	}
	return out
}

// reportUsage seals the windows that have ended and reports the sealed ones. The
// figures are fixed in the log before they are reported first.
func (n *Instance) reportUsage(ctx context.Context) {
	if !n.cfg.Settings.ReportsUsage || n.cloud == nil {
		return
	}
	wall := n.clock.Wall()
	newest := n.windowOf(wall.Add(-sealDelay)) - 1
	var seals []job.UsageSealed
	reports := map[int64]map[string]int64{}
	n.stateLoop.do(ctx, func() {
		for w := newest - windowLookback; w <= newest; w++ {
			known := n.stateLoop.state.Windows[w]
			switch {
			case known == nil:
				seals = append(seals, job.UsageSealed{Window: w, Counts: map[string]int64{}})
			case known.SealedCounts == nil:
				seals = append(seals, job.UsageSealed{Window: w, Counts: known.Total()})
			case !known.Reported:
				reports[w] = known.SealedCounts
			}
		}
		n.stateLoop.state.Prune(wall.UnixMilli(), n.cfg.Settings.JobRetention, newest-windowsKept)
	})
	for _, s := range seals {
		if err := n.appendRecord(ctx, job.Record{UsageSealed: &s}); err != nil {
			n.log("usage not sealed", events.F("window", fmt.Sprint(s.Window)), events.F("error", err.Error()))
			return
		}
		n.log("usage sealed", events.F("window", fmt.Sprint(s.Window)), events.F("accounts", fmt.Sprint(len(s.Counts))))
	}
	windows := make([]int64, 0, len(reports))
	for w := range reports {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		n.reportWindow(ctx, w, reports[w])
	}
}

func (n *Instance) reportWindow(ctx context.Context, window int64, counts map[string]int64) {
	by, held := n.controller.holder(ctx)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.controller.callTimeout())
	defer cancel()
	err := n.cloud.ReportUsage(ctx, by, window, counts)
	if err != nil {
		n.controller.checkSuperseded(by, err)
		n.log("usage not reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(by.Fencing)), events.F("error", err.Error()))
		return
	}
	n.metrics.reports.Inc()
	n.log("usage reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(by.Fencing)), events.F("counts", fmt.Sprint(counts)))
	n.appendRecordAsync(job.Record{UsageReported: &job.UsageReported{Window: window}})
}
