package hosted

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// runnerTimeout is how long a job's runner may be silent: three beats.
	runnerTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long a new runner may take to show that it runs the job:
	// two appends of a slow log.
	confirmTimeout = 700 * time.Millisecond
	// claimJitter keeps instances from claiming all at once.
	claimJitter = 300 * time.Millisecond
	// handoverClaimJitter does so for jobs that are offered: nothing runs them meanwhile.
	handoverClaimJitter = 60 * time.Millisecond
	claimInterval       = 100 * time.Millisecond
	// claimReadTimeout bounds the read of the log before a claim.
	claimReadTimeout = 400 * time.Millisecond
)

// claimOrphans takes over jobs whose runner is silent or has handed them over.
func (n *Instance) claimOrphans(ctx context.Context) error {
	waits := map[string]time.Duration{} // by job: when this instance claims it
	return clock.Every(ctx, claimInterval, func() {
		if n.isStopping() || !n.logCurrent() || n.stateLoop.view.Load().Catalog == nil {
			clear(waits)
			return
		}
		if len(n.dueClaims(ctx, waits)) == 0 || !n.readToEnd(ctx) {
			return // a runner is not silent while the log is
		}
		for _, c := range n.dueClaims(ctx, waits) {
			waits[c.Job] = n.clock.Now() + runnerTimeout // the claim is on its way
			n.metrics.claims.Inc()
			n.log("job claimed", events.F("job", c.Job), events.F("term", fmt.Sprint(c.Term)))
			n.appendRecordAsync(job.Record{Claimed: &c})
		}
	})
}

// readToEnd reports whether everything that the log holds now was read.
func (n *Instance) readToEnd(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	err := n.catchUp(ctx)
	if err != nil {
		n.log("claim put off", events.F("error", err.Error()))
	}
	return err == nil
}

// dueClaims returns the claims that are due, and plans those that will be.
func (n *Instance) dueClaims(ctx context.Context, waits map[string]time.Duration) []job.Claimed {
	now := n.clock.Now()
	var due []job.Claimed
	spread := map[string]time.Duration{} // of the claims of orphaned jobs
	n.stateLoop.do(ctx, func() {
		for id, j := range n.stateLoop.state.Jobs {
			silent := now - max(j.RunnerSeenAt, time.Duration(n.stateLoop.logContinuousSince.Load()))
			limit := runnerTimeout
			if !j.RunnerConfirmed {
				limit = confirmTimeout
			}
			if !j.Open() || j.Runner == n.self || j.Runner != "" && silent < limit {
				continue
			}
			spread[id] = claimJitter
			if j.Runner == "" {
				spread[id] = handoverClaimJitter
			}
			if at, planned := waits[id]; planned && now >= at {
				due = append(due, job.Claimed{Job: id, Term: j.Term + 1, Runner: n.self})
			}
		}
	})
	for id := range waits {
		if _, still := spread[id]; !still {
			delete(waits, id)
		}
	}
	for id := range spread {
		if _, planned := waits[id]; !planned {
			waits[id] = now + n.jitter(spread[id])
		}
	}
	slices.SortFunc(due, func(a, b job.Claimed) int { return int(a.Term - b.Term) })
	return due
}
