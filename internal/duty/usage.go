package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// countFlushInterval is the time between appends of the counts to the log. A killed
	// instance loses the counts of one interval at most.
	countFlushInterval = 300 * time.Millisecond
	// sealDelay is the time from the end of a window to its seal, which fixes the billed
	// counts in the log. It is four flush intervals. A longer delay makes it likelier that
	// an outage of the log delays the report past its due time.
	sealDelay = 1200 * time.Millisecond
	// partialSealDelay is the time from the end of a window until it is sealed without the counts
	// that cannot be read: half of the time until the report is due.
	partialSealDelay = 5 * time.Second
	// renewalsPerRetention is how often the counts of a window that lasts so long are stored, and read,
	// while the log keeps a record.
	renewalsPerRetention = 4
	windowLookback       = 5   // windows before the newest ended one that a new lease holder still seals and reports
	windowsKept          = 120 // windows that the state retains
	// maxWindowRefusals is how often the seal or report of a window may be refused for its content:
	// the first refusal may be due to a garbled call.
	maxWindowRefusals = 2
)

// usageCounter counts the requests of each account at this instance, by billing window.
// It is safe for concurrent use.
type usageCounter struct {
	node   *node.Node
	mu     sync.Mutex
	counts map[int64]map[string]int64 // by window, then account
	dirty  map[int64]bool             // windows that have changed since the last takeChanged

	renewedAt time.Duration // last renewal
}

func newUsageCounter(n *node.Node) *usageCounter {
	return &usageCounter{node: n, counts: map[int64]map[string]int64{}, dirty: map[int64]bool{}}
}

// windowOf returns the number of the billing window that contains the wall time.
func windowOf(n *node.Node, wall time.Time) int64 {
	return wall.UnixMilli() / max(1, n.Settings.UsageWindow.Milliseconds())
}

// endOf returns when the billing window with the number ends.
func endOf(n *node.Node, window int64) time.Time {
	return time.UnixMilli((window + 1) * max(1, n.Settings.UsageWindow.Milliseconds()))
}

// CountRequest adds a request of the account to the window of the wall time.
func (u *usageCounter) countRequest(account string, wall time.Time) {
	if account == "" || !u.node.Settings.ReportsUsage {
		return
	}
	w := windowOf(u.node, wall)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts[w] == nil {
		u.counts[w] = map[string]int64{}
	}
	u.counts[w][account]++
	u.dirty[w] = true
}

// run appends the changed counts to the log every countFlushInterval, until ctx ends. A slow log
// gets them less often.
func (u *usageCounter) run(ctx context.Context) error {
	if !u.node.Settings.ReportsUsage {
		return nil
	}
	return clock.Every(ctx, countFlushInterval, func() {
		changed := u.takeChanged()
		if len(changed) == 0 {
			return
		}
		if err := u.node.AppendUsage(ctx, changed); err != nil && ctx.Err() == nil {
			u.node.Log("usage not stored", events.F("windows", fmt.Sprint(len(changed))), events.F("error", err.Error()))
		}
	})
}

// takeChanged returns the counts of each window that has changed since the last call, and
// prunes old windows.
func (u *usageCounter) takeChanged() []job.UsageCounted {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.renew()
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
		if w < windowOf(u.node, u.node.Clock.Wall())-windowLookback {
			delete(u.counts, w)
		}
	}
	return out
}

// renew makes takeChanged return the counts of unsealed windows that began long ago, at intervals.
// The log may remove their latest record before the window ends.
func (u *usageCounter) renew() {
	interval := u.node.Retention() / renewalsPerRetention
	now, wall := u.node.Clock.Now(), u.node.Clock.Wall()
	if now-u.renewedAt < interval {
		return
	}
	u.renewedAt = now
	for w := range u.counts {
		if wall.Sub(endOf(u.node, w-1)) >= interval && wall.Sub(endOf(u.node, w)) < partialSealDelay {
			u.dirty[w] = true
		}
	}
}

// reportUsage seals the windows that ended at least sealDelay ago, and reports the sealed
// ones to the platform. As the seal fixes the counts before the first report, a repeated
// report has the same counts. Windows whose seal may be among records that were skipped are
// left alone. It also prunes old jobs and windows from the state.
func (c *Controller) reportUsage(ctx context.Context) {
	if !c.Settings.ReportsUsage || c.cloud == nil {
		return
	}
	wall := c.Clock.Wall()
	newest := c.readUsage(ctx, wall)
	var seals []job.UsageSealed
	reports := map[int64]map[string]int64{}
	c.StateLoop.Do(ctx, func() {
		for w := newest - windowLookback; w <= newest; w++ {
			window := c.StateLoop.State.Windows[w]
			sealed := window != nil && window.SealedCounts != nil
			switch {
			case c.windowRefusals[w] >= maxWindowRefusals:
			case !sealed && c.StateLoop.State.MayHaveSkipped(endOf(c.Node, w).Add(sealDelay).UnixMilli()):
				// Its seal may have other counts, and may have been reported.
			case window == nil:
				seals = append(seals, job.UsageSealed{Window: w, Counts: map[string]int64{}})
			case !sealed:
				seals = append(seals, job.UsageSealed{Window: w, Counts: window.Total()})
			case !window.Reported:
				reports[w] = window.SealedCounts
			}
		}
		c.StateLoop.State.Prune(wall.UnixMilli(), c.Settings.JobRetention, newest-windowsKept)
	})
	for _, s := range seals {
		if err := c.seal(ctx, s); err != nil {
			c.Log("usage not sealed", events.F("window", fmt.Sprint(s.Window)), events.F("error", err.Error()))
			if c.noteRefusal(s.Window, err) {
				continue
			}
			return
		}
		c.Log("usage sealed", events.F("window", fmt.Sprint(s.Window)), events.F("accounts", fmt.Sprint(len(s.Counts))))
	}
	windows := make([]int64, 0, len(reports))
	for w := range reports {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range windows {
		c.reportWindow(ctx, w, reports[w])
	}
}

// noteRefusal counts the refusal of a window's seal or report for its content, which no repeat
// changes. It reports false for any other error.
func (c *Controller) noteRefusal(window int64, err error) bool {
	if !errors.Is(err, platform.ErrInvalid) && !errors.Is(err, node.ErrTooLarge) {
		return false
	}
	maps.DeleteFunc(c.windowRefusals, func(w int64, _ int) bool { return w < window-windowsKept })
	c.windowRefusals[window]++
	return true
}

// readUsage reads the counts of a window that is to be sealed, and returns the newest one whose
// counts are complete or are waited for no longer.
func (c *Controller) readUsage(ctx context.Context, wall time.Time) (newest int64) {
	newest = windowOf(c.Node, wall.Add(-sealDelay)) - 1
	sealed := false
	c.StateLoop.Do(ctx, func() {
		window := c.StateLoop.State.Windows[newest]
		sealed = window != nil && window.SealedCounts != nil
	})
	if now := c.Clock.Now(); sealed && now-c.usageReadAt < c.Retention()/renewalsPerRetention {
		return newest
	}
	c.usageReadAt = c.Clock.Now()
	if err := c.usageReader.CatchUp(ctx, c.callTimeout()); err != nil {
		c.Log("usage not read", events.F("error", err.Error()))
		if sealed {
			return newest
		}
		return windowOf(c.Node, wall.Add(-partialSealDelay)) - 1
	}
	return newest
}

// seal appends a seal. It waits no longer than a call under the lease may take: the tasks that
// follow check the lease anew.
func (c *Controller) seal(ctx context.Context, s job.UsageSealed) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	return c.AppendRecord(ctx, job.Record{UsageSealed: &s})
}

// reportWindow reports the sealed counts of a window, if this instance holds the lease.
func (c *Controller) reportWindow(ctx context.Context, window int64, counts map[string]int64) {
	holder, held := c.holder(ctx)
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	err := c.cloud.ReportUsage(ctx, holder, window, counts)
	if err != nil {
		c.checkSuperseded(holder, err)
		c.noteRefusal(window, err)
		c.Log("usage not reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", err.Error()))
		return
	}
	c.Metrics.Reports.Inc()
	c.Log("usage reported", events.F("window", fmt.Sprint(window)), events.F("term", fmt.Sprint(holder.Fencing)), events.F("counts", fmt.Sprint(counts)))
	c.AppendRecordAsync(job.Record{UsageReported: &job.UsageReported{Window: window}})
}
