package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/core/takeover"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	claimCheckInterval = 100 * time.Millisecond
	// claimReadTimeout bounds the read of the log before a claim.
	claimReadTimeout = 400 * time.Millisecond
	// claimRepeat is how long a claim may be pending until it is repeated. One that the log has not
	// got by then is dropped.
	claimRepeat = 1500 * time.Millisecond
)

// claimOrphans claims jobs that have no runner or whose runner sends no heartbeats.
func (b *Batch) claimOrphans(ctx context.Context) error {
	claimAt := map[string]time.Duration{} // by job: when this instance may claim it
	return clock.Every(ctx, claimCheckInterval, func() {
		if b.IsStopping() || b.Links.IsCut() || !b.LogCurrent() || b.CurrentView().Catalog == nil {
			clear(claimAt)
			return
		}
		if due, _ := b.dueClaims(ctx, claimAt); len(due) == 0 || !b.Links.Confirm(ctx) || !b.readToEnd(ctx) {
			// Unless the log was read to its present end, it may contain heartbeats that
			// this instance has not read.
			return
		}
		due, logDelay := b.dueClaims(ctx, claimAt)
		b.claim(ctx, due, logDelay, claimAt)
	})
}

// claim appends the claims and waits for the outcome, so that none of an instance waits behind
// another one: late claims take jobs from runners that have been heard of since.
func (b *Batch) claim(ctx context.Context, claims []job.Claimed, logDelay time.Duration, claimAt map[string]time.Duration) {
	if len(claims) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimRepeat)
	defer cancel()
	records := make([]job.Record, len(claims))
	for i := range claims {
		records[i].Claimed = &claims[i]
		claimAt[claims[i].Job] = b.Clock.Now() + claimRepeat // do not claim again while the claim is pending
		b.Metrics.Claims.Inc()
		b.Log("job claimed", events.F("job", claims[i].Job), events.F("term", fmt.Sprint(claims[i].Term)),
			events.F("log_delay", logDelay.Round(time.Millisecond).String()))
	}
	if err := b.AppendRecords(ctx, records...); err != nil {
		b.Log("claim put off", events.F("error", err.Error()))
	}
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

// dueClaims returns the claims whose time in claimAt has come, and the delay of the log. It adds to
// claimAt the jobs that newly need a claim, and removes those that need none any more.
func (b *Batch) dueClaims(ctx context.Context, claimAt map[string]time.Duration) (due []job.Claimed, logDelay time.Duration) {
	now := b.Clock.Now()
	jitters := map[string]time.Duration{} // of the jobs that need a claim
	ownJobs := b.runner.openJobCount()
	b.StateLoop.Do(ctx, func() {
		logDelay = b.LogDelay(now)
		for id, j := range b.StateLoop.State.Jobs {
			if !j.Open() || j.Incomplete || j.Runner == b.Self || b.runner.unreadable.isPutOff(now, id) {
				continue
			}
			mayClaim, jitter := takeover.Claim(b.runnerOf(now, j, ownJobs, logDelay))
			if !mayClaim {
				continue
			}
			ownJobs++
			jitters[id] = jitter
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
			claimAt[id] = now + b.Jitter(pace.Spread(jitters[id], int(b.Pace.Instances.Load()), logDelay))
		}
	}
	slices.SortFunc(due, func(a, b job.Claimed) int { return int(a.Term - b.Term) })
	return due, logDelay
}

// runnerOf returns what is known of the runner of a job. It runs on the state goroutine.
func (b *Batch) runnerOf(now time.Duration, j *job.Job, ownJobs int, logDelay time.Duration) takeover.Runner {
	r := takeover.Runner{
		Named: j.Runner != "", Confirmed: j.RunnerConfirmed, OwnJobs: ownJobs, LogDelay: logDelay,
		SinceSeen: now - max(j.RunnerSeenAt, time.Duration(b.StateLoop.LogContinuousSince.Load())),
	}
	name := instanceOf(j.Runner)
	current, known := b.StateLoop.State.Instances[name]
	r.Replaced = known && current.Incarnation != j.Runner
	r.Unfit = b.StateLoop.State.IsUnfit(j.SingleVersion, j.Runner, name)
	if at, refused := b.runner.occupancy.refusedAt(name); refused && !r.Replaced {
		r.Refused, r.SinceRefused = true, now-at
	}
	return r
}

// instanceOf returns the instance of an incarnation.
func instanceOf(incarnation string) string {
	return incarnation[:max(0, strings.LastIndex(incarnation, "/"))]
}
