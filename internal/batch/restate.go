package batch

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/pace"
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
	// unansweredAfter is how long after the first request it is taken that no instance has the job
	// whole: all have skipped records, or the others are gone. Its runner then goes on with what it has
	// read, and another instance after twice that time.
	unansweredAfter = restateDelay + restateJitter + time.Second
)

// restater asks for the jobs about which this instance has skipped records of the log, and restates
// jobs for which others ask. Only the goroutine of run accesses the fields after requested.
type restater struct {
	batch     *Batch
	requested atomic.Bool // a request was read since there was none left

	missing     []string // of the latest request
	pause       time.Duration
	nextRequest time.Duration
	restateAt   map[string]time.Duration // jobs that are whole here
	asReadAt    map[string]time.Duration // jobs that nobody seems to have whole
}

func newRestater(b *Batch) *restater {
	return &restater{batch: b, restateAt: map[string]time.Duration{}, asReadAt: map[string]time.Duration{}}
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

// request asks for the jobs that are not whole here, unless another instance has just done so, and
// restates those that nobody has whole.
func (r *restater) request(ctx context.Context) {
	b, now := r.batch, r.batch.Clock.Now()
	var missing, unasked []string
	var unanswered []job.Restated
	var logDelay time.Duration
	b.StateLoop.Do(ctx, func() {
		state := b.StateLoop.State
		missing, logDelay = state.Missing(), b.LogDelay(now)
		for _, id := range missing {
			asked, found := state.Asked(id)
			if !found || now-asked.Last >= r.pause {
				unasked = append(unasked, id)
			}
			if found && now-asked.First >= r.unansweredAfter(state.Jobs[id], logDelay) && now >= r.asReadAt[id] {
				if restated, known := state.RestateAsRead(id); known {
					r.asReadAt[id] = now + restateRepeat + logDelay
					unanswered = append(unanswered, restated)
				}
			}
		}
	})
	r.append(unanswered)
	if slices.ContainsFunc(missing, func(id string) bool { return !slices.Contains(r.missing, id) }) {
		r.pause = requestPause
		r.nextRequest = now + b.Jitter(pace.Spread(restateInterval, int(b.Pace.Instances.Load()), logDelay))
	}
	r.missing = missing
	if len(missing) == 0 {
		clear(r.asReadAt)
	}
	if len(missing) == 0 || now < r.nextRequest {
		return
	}
	r.nextRequest, r.pause = now+r.pause, min(2*r.pause, maxRequestPause)
	if len(unasked) > 0 {
		b.Log("jobs requested", events.F("jobs", fmt.Sprint(len(unasked))))
		b.AppendRecordAsync(job.Record{JobsRequested: &job.JobsRequested{Jobs: unasked[:min(len(unasked), maxRequestedJobs)]}})
	}
}

// unansweredAfter returns how long after the first request this instance restates a job, nil if it is
// not known, that nobody has whole.
func (r *restater) unansweredAfter(j *job.Job, logDelay time.Duration) time.Duration {
	after := unansweredAfter + 2*logDelay
	if j != nil && j.Runner == r.batch.Self {
		return after
	}
	return 2*after + r.batch.Jitter(restateJitter)
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
				at = readAt + restateDelay + b.Jitter(pace.Spread(restateJitter, int(b.Pace.Instances.Load()), b.LogDelay(now)))
				r.restateAt[id] = at
			}
			if now >= at {
				r.restateAt[id] = now + restateRepeat
				due = append(due, restated)
			}
		}
	})
	r.append(due)
}

// append appends the states of jobs. One that is too large for a record is appended without stored
// events, if that is enough: the tasks start over.
func (r *restater) append(due []job.Restated) {
	b := r.batch
	for _, restated := range due {
		id, record := restated.Submitted.Job, job.Record{Restated: &restated}
		size, err := r.sizeOf(record)
		if size > b.Settings.Store.RecordBytes {
			for i := range restated.Tasks {
				restated.Tasks[i].Chunks = nil
			}
			size, err = r.sizeOf(record)
		}
		if err != nil || size > b.Settings.Store.RecordBytes {
			again := b.Clock.Now() + maxRequestPause
			r.restateAt[id], r.asReadAt[id] = again, again
			b.Log("job not restated", events.F("job", id), events.F("bytes", fmt.Sprint(size)), events.F("error", fmt.Sprint(err)))
			continue
		}
		b.Log("job restated", events.F("job", id), events.F("results", fmt.Sprint(len(restated.Results))))
		b.AppendRecordAsync(record)
	}
}

// sizeOf returns the size of the record in bytes.
func (r *restater) sizeOf(record job.Record) (int, error) {
	data, err := r.batch.EncodeRecord(record)
	return len(data), err
}
