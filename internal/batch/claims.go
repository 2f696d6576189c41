package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// runnerTimeout is the time without a heartbeat of its runner after which a job may be
	// claimed: three heartbeat intervals.
	runnerTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long a new runner may take to confirm that it runs the job:
	// two appends to a slow log.
	confirmTimeout = 700 * time.Millisecond
	// claimJitter is the longest random delay of a claim on a small deployment. It keeps the
	// instances from claiming a job all at once.
	claimJitter = 300 * time.Millisecond
	// handoverClaimJitter is that delay for jobs without a runner. It is shorter, as such a
	// job may have no runs until it is claimed.
	handoverClaimJitter = 60 * time.Millisecond
	claimCheckInterval  = 100 * time.Millisecond
	// claimReadTimeout bounds the read of the log before a claim.
	claimReadTimeout = 400 * time.Millisecond
)

// claimOrphans claims jobs that have no runner or whose runner sends no heartbeats.
func (b *Batch) claimOrphans(ctx context.Context) error {
	claimAt := map[string]time.Duration{} // by job: when this instance may claim it
	return clock.Every(ctx, claimCheckInterval, func() {
		if b.IsStopping() || b.Links.IsCut() || !b.LogCurrent() || b.CurrentView().Catalog == nil {
			clear(claimAt)
			return
		}
		if len(b.dueClaims(ctx, claimAt)) == 0 || !b.Links.Confirm(ctx) || !b.readToEnd(ctx) {
			// Unless the log was read to its present end, it may contain heartbeats that
			// this instance has not read.
			return
		}
		for _, c := range b.dueClaims(ctx, claimAt) {
			claimAt[c.Job] = b.Clock.Now() + runnerTimeout // do not claim again while the claim is pending
			b.Metrics.Claims.Inc()
			b.Log("job claimed", events.F("job", c.Job), events.F("term", fmt.Sprint(c.Term)))
			b.AppendRecordAsync(job.Record{Claimed: &c})
		}
	})
}

// readToEnd waits until the log is applied to the end that it has at the call. It reports
// false if that takes longer than claimReadTimeout.
func (b *Batch) readToEnd(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	err := b.CatchUp(ctx)
	if err != nil {
		b.Log("claim put off", events.F("error", err.Error()))
	}
	return err == nil
}

// dueClaims returns the claims whose time in claimAt has come. It adds to claimAt the
// jobs that newly need a claim, and removes those that need none any more.
func (b *Batch) dueClaims(ctx context.Context, claimAt map[string]time.Duration) []job.Claimed {
	now := b.Clock.Now()
	var due []job.Claimed
	jitters := map[string]time.Duration{} // of the jobs that need a claim
	b.StateLoop.Do(ctx, func() {
		for id, j := range b.StateLoop.State.Jobs {
			sinceSeen := now - max(j.RunnerSeenAt, time.Duration(b.StateLoop.LogContinuousSince.Load()))
			timeout := runnerTimeout
			if !j.RunnerConfirmed {
				timeout = confirmTimeout
			}
			if !j.Open() || j.Runner == b.Self || j.Runner != "" && sinceSeen < timeout {
				continue
			}
			jitters[id] = claimJitter
			if j.Runner == "" {
				jitters[id] = handoverClaimJitter
			}
			if at, planned := claimAt[id]; planned && now >= at {
				due = append(due, job.Claimed{Job: id, Term: j.Term + 1, Runner: b.Self})
			}
		}
	})
	for id := range claimAt {
		if _, needed := jitters[id]; !needed {
			delete(claimAt, id)
		}
	}
	for id := range jitters {
		if _, planned := claimAt[id]; !planned {
			claimAt[id] = now + b.Jitter(pace.Spread(jitters[id], int(b.Pace.Instances.Load())))
		}
	}
	slices.SortFunc(due, func(a, b job.Claimed) int { return int(a.Term - b.Term) })
	return due
}
