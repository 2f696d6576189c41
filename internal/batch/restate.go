package batch

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	restateInterval = 100 * time.Millisecond
	// requestPause is the time between requests for the same jobs, which doubles up to maxRequestPause:
	// perhaps no instance has them whole.
	requestPause     = time.Second
	maxRequestPause  = 30 * time.Second
	maxRequestedJobs = 256
	// restateDelay and restateJitter are when an instance restates a job that its runner does not.
	restateDelay  = time.Second
	restateJitter = 2 * time.Second
	restateRepeat = 1500 * time.Millisecond // while the record is not in the log
)

// restater asks for the jobs about which this instance has skipped records of the log, and restates
// jobs for which others ask. Only the goroutine of run accesses the fields after requested.
type restater struct {
	batch     *Batch
	requested atomic.Bool // a request was read since there was none left

	missing     []string // of the latest request
	pause       time.Duration
	nextRequest time.Duration
	restateAt   map[string]time.Duration
}

func newRestater(b *Batch) *restater {
	return &restater{batch: b, restateAt: map[string]time.Duration{}}
}

func (r *restater) run(ctx context.Context) error {
	return clock.Every(ctx, restateInterval, func() {
		if r.batch.SkippedWithin(job.OpenRetentions * r.batch.Settings.JobRetention) {
			r.request(ctx)
		}
		if r.requested.Load() {
			r.restate(ctx)
		}
	})
}

// request asks for the jobs that are not whole here.
func (r *restater) request(ctx context.Context) {
	b, now := r.batch, r.batch.Clock.Now()
	var missing []string
	b.StateLoop.Do(ctx, func() { missing = b.StateLoop.State.Missing() })
	if slices.ContainsFunc(missing, func(id string) bool { return !slices.Contains(r.missing, id) }) {
		r.pause, r.nextRequest = requestPause, now
	}
	r.missing = missing
	if len(missing) == 0 || now < r.nextRequest {
		return
	}
	r.nextRequest, r.pause = now+r.pause, min(2*r.pause, maxRequestPause)
	b.Log("jobs requested", events.F("jobs", fmt.Sprint(len(missing))))
	b.AppendRecordAsync(job.Record{JobsRequested: &job.JobsRequested{Jobs: missing[:min(len(missing), maxRequestedJobs)]}})
}

// restate appends the state of the jobs that others have asked for: at once if this instance runs the
// job, else if nobody has done so for a while.
func (r *restater) restate(ctx context.Context) {
	b, now := r.batch, r.batch.Clock.Now()
	var due []job.Restated
	b.StateLoop.Do(ctx, func() {
		state := b.StateLoop.State
		requested := state.Requested()
		r.requested.Store(len(requested) > 0)
		for id := range r.restateAt {
			if _, found := requested[id]; !found {
				delete(r.restateAt, id)
			}
		}
		for id, readAt := range requested {
			restated, whole := state.Restate(id)
			if !whole {
				continue
			}
			at, planned := r.restateAt[id]
			if !planned && restated.Submitted.Runner != b.Self {
				at = readAt + restateDelay + b.Jitter(restateJitter)
				r.restateAt[id] = at
			}
			if now >= at {
				r.restateAt[id] = now + restateRepeat
				due = append(due, restated)
			}
		}
	})
	for _, restated := range due {
		id, record := restated.Submitted.Job, job.Record{Restated: &restated}
		if data, err := b.EncodeRecord(record); err != nil || len(data) > b.Settings.Store.RecordBytes {
			r.restateAt[id] = now + maxRequestPause
			b.Log("job not restated", events.F("job", id), events.F("bytes", fmt.Sprint(len(data))), events.F("error", fmt.Sprint(err)))
			continue
		}
		b.Log("job restated", events.F("job", id), events.F("results", fmt.Sprint(len(restated.Results))))
		b.AppendRecordAsync(record)
	}
}
