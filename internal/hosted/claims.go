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
	// runnerTimeout is how long a runner's heartbeats may be missing: three intervals.
	runnerTimeout = 1500 * time.Millisecond
	// confirmTimeout is how long a new runner may take to confirm that it runs the job:
	// two appends to a slow log.
	confirmTimeout = 700 * time.Millisecond
	// claimJitter keeps the instances from claiming a job all at once.
	claimJitter = 300 * time.Millisecond
	// handoverClaimJitter is the jitter for jobs without a runner, shorter as nothing may
	// be running them meanwhile.
	handoverClaimJitter = 60 * time.Millisecond
	claimCheckInterval  = 100 * time.Millisecond
	// claimReadTimeout bounds the read of the log before a claim.
	claimReadTimeout = 400 * time.Millisecond
)

// claimOrphans claims jobs whose runner sends no heartbeats or has released them.
func (in *Instance) claimOrphans(ctx context.Context) error {
	claimAt := map[string]time.Duration{} // by job: when this instance may claim it
	return clock.Every(ctx, claimCheckInterval, func() {
		if in.isStopping() || !in.logCurrent() || in.stateLoop.view.Load().Catalog == nil {
			clear(claimAt)
			return
		}
		if len(in.dueClaims(ctx, claimAt)) == 0 || !in.readToEnd(ctx) {
			// A heartbeat is missing only if the log was read to its present end; else
			// this reader is behind.
			return
		}
		for _, c := range in.dueClaims(ctx, claimAt) {
			claimAt[c.Job] = in.clock.Now() + runnerTimeout // do not claim again while the claim is pending
			in.metrics.claims.Inc()
			in.log("job claimed", events.F("job", c.Job), events.F("term", fmt.Sprint(c.Term)))
			in.appendRecordAsync(job.Record{Claimed: &c})
		}
	})
}

// readToEnd reports whether the log was read to the end that it had at the call.
func (in *Instance) readToEnd(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	err := in.catchUp(ctx)
	if err != nil {
		in.log("claim put off", events.F("error", err.Error()))
	}
	return err == nil
}

// dueClaims returns the claims that are due. It sets the time of new ones in claimAt and
// removes those of jobs that need no claim any more.
func (in *Instance) dueClaims(ctx context.Context, claimAt map[string]time.Duration) []job.Claimed {
	now := in.clock.Now()
	var due []job.Claimed
	jitters := map[string]time.Duration{} // of the jobs that need a claim
	in.stateLoop.do(ctx, func() {
		for id, j := range in.stateLoop.state.Jobs {
			sinceSeen := now - max(j.RunnerSeenAt, time.Duration(in.stateLoop.logContinuousSince.Load()))
			timeout := runnerTimeout
			if !j.RunnerConfirmed {
				timeout = confirmTimeout
			}
			if !j.Open() || j.Runner == in.self || j.Runner != "" && sinceSeen < timeout {
				continue
			}
			jitters[id] = claimJitter
			if j.Runner == "" {
				jitters[id] = handoverClaimJitter
			}
			if at, planned := claimAt[id]; planned && now >= at {
				due = append(due, job.Claimed{Job: id, Term: j.Term + 1, Runner: in.self})
			}
		}
	})
	for id := range claimAt {
		if _, still := jitters[id]; !still {
			delete(claimAt, id)
		}
	}
	for id := range jitters {
		if _, planned := claimAt[id]; !planned {
			claimAt[id] = now + in.jitter(jitters[id])
		}
	}
	slices.SortFunc(due, func(a, b job.Claimed) int { return int(a.Term - b.Term) })
	return due
}
