package batch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/score"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// noTargetInterval is the time between checks for a target while none is ready.
const noTargetInterval = 100 * time.Millisecond

// scoring is what the scorer needs to know about a task.
type scoring struct {
	request     *job.ScoreRequest
	job         *job.Job // owned by the state goroutine; only its immutable fields are read here
	term        int64
	item        score.Item
	completedAt time.Duration // when the output was complete at this instance
	failures    int           // server errors of calls, over all runners
}

// scorer obtains the scores of complete outputs from plain services. It receives outputs
// that are stored in the log, and passes the scored results on to the result writer.
type scorer struct {
	batch *Batch
	wake  chan struct{} // an output was added or a call has ended

	mu      sync.Mutex
	queue   *score.Queue
	pending map[score.Key]*pendingScore
}

type pendingScore struct {
	result taskResult
	cancel context.CancelFunc // of the call in flight; nil: none
}

func newScorer(b *Batch) *scorer {
	return &scorer{batch: b, wake: make(chan struct{}, 1), queue: score.New(), pending: map[score.Key]*pendingScore{}}
}

// add adds a result whose output is stored. It ignores a result of a task that is being
// scored already.
func (s *scorer) add(r taskResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := r.scoring.item.Key
	if s.pending[k] != nil {
		return
	}
	r.output = nil // it is stored
	s.pending[k] = &pendingScore{result: r}
	s.queue.Add(s.batch.Clock.Now(), r.scoring.item)
	s.notify()
}

// removeJob cancels the calls of a job and drops its outputs.
func (s *scorer) removeJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.queue.RemoveJob(id) {
		if cancel := s.pending[k].cancel; cancel != nil {
			cancel()
		}
		delete(s.pending, k)
	}
	s.notify()
}

func (s *scorer) notify() {
	select {
	case s.wake <- struct{}{}:
	default: // a notification is pending already
	}
}

// run starts the calls of the queued outputs until ctx ends.
func (s *scorer) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.startCalls(ctx)
		s.mu.Lock()
		now := s.batch.Clock.Now()
		delay, waits := s.queue.NextRetry(now)
		if s.queue.Stalled(now) {
			delay, waits = noTargetInterval, true
		}
		s.mu.Unlock()
		if waits {
			timer.Reset(delay)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// startCalls starts the calls that the queue allows.
func (s *scorer) startCalls(ctx context.Context) {
	s.mu.Lock()
	jobs := s.queue.Jobs()
	s.mu.Unlock()
	if len(jobs) == 0 {
		return
	}
	ownJobs, runners := s.ownJobs(ctx, jobs)
	for _, id := range jobs {
		if !ownJobs[id] { // an output may be stored after the job was dropped
			s.removeJob(id)
		}
	}
	view := s.batch.CurrentView()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.queue.Next(s.batch.Clock.Now(), score.Limit(s.slots(view), runners)) {
		p := s.pending[k]
		callCtx, cancel := context.WithCancel(ctx)
		p.cancel = cancel
		go func() {
			defer cancel()
			s.call(callCtx, view, p.result)
		}()
	}
}

// ownJobs returns which of the jobs are open and run by this instance, also if it has
// released them for handover, and how many instances run open jobs.
func (s *scorer) ownJobs(ctx context.Context, jobs []string) (own map[string]bool, runners int) {
	own = map[string]bool{}
	b := s.batch
	b.StateLoop.Do(ctx, func() {
		names := map[string]bool{}
		for _, j := range b.StateLoop.State.Jobs {
			if j.Open() {
				names[j.Runner] = true
			}
		}
		runners = len(names)
		for _, id := range jobs {
			j := b.StateLoop.State.Jobs[id]
			own[id] = j != nil && j.Open() && (j.Runner == b.Self || j.Runner == "")
		}
	})
	return own, runners
}

// slots returns the slots of the ready targets of all services that score queued outputs.
// It is called with mu held.
func (s *scorer) slots(view *node.View) []int {
	services := map[string]bool{}
	for _, p := range s.pending {
		if route, found := scoreRoute(view.Catalog, p.result.scoring.request); found {
			for _, share := range route.Split {
				services[share.Service] = true
			}
		}
	}
	var slots []int
	for _, t := range view.Targets {
		if t.Ready && services[t.Service] {
			slots = append(slots, t.Slots)
		}
	}
	return slots
}

// scoreRoute returns the route of a score request. Only routes of plain requests qualify.
func scoreRoute(c *catalog.Catalog, r *job.ScoreRequest) (*catalog.Route, bool) {
	if c == nil {
		return nil, false
	}
	route, found := c.Match(r.Host, r.Path)
	if !found || route.Kind == catalog.Batch || route.Kind == catalog.Stream {
		return nil, false
	}
	return route, true
}

// checkScorers returns an error if a task has a score request that no route serves.
func checkScorers(c *catalog.Catalog, tasks []job.Task) error {
	for i := range tasks {
		r := tasks[i].Scorer
		if r == nil {
			continue
		}
		if _, found := scoreRoute(c, r); !found {
			return fmt.Errorf("the scorer of item %q: no route of plain requests matches host %q and path %q", tasks[i].ID, r.Host, r.Path)
		}
	}
	return nil
}

// call makes one score call, with its attempts at several targets, and handles the outcome.
func (s *scorer) call(ctx context.Context, view *node.View, r taskResult) {
	b := s.batch
	started := b.Clock.Now()
	route, found := scoreRoute(view.Catalog, r.scoring.request)
	if !found {
		if s.retained(r) {
			s.giveUp(ctx, r, &forward.Attempts{}, 0)
			return
		}
		s.retry(r, "no route", &forward.Attempts{})
		return
	}
	maxFailures := max(route.MaxAttempts, r.scoring.job.MaxAttempts)
	timeout := score.CallTimeout(s.timeLeft(view, r), route.TargetLatency)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	attempted := b.forwarder.RunAttempts(callCtx, scoreRequest(r.scoring.request, route.Pick(b.Rand64()), route, maxFailures-r.scoring.failures), started+timeout)
	attempted.Release() // the body of a score is not used
	if ctx.Err() != nil {
		return // removed from the queue
	}
	best := attempted.Best
	scored := best != nil && best.HasResponse() && best.Status/100 == 2
	unprocessable := best != nil && best.HasResponse() && best.Status == http.StatusUnprocessableEntity
	s.recordFailures(r, attempted.ServerErrors)
	took := b.Clock.Now() - started
	switch {
	case scored:
		b.Metrics.Scored.Inc()
		b.Metrics.ScoreTime.Update((b.Clock.Now() - r.scoring.completedAt).Seconds())
		r.score = best.PlatformHeader.Signature
		s.finish(ctx, r, "scored", attempted, took)
	case unprocessable, r.scoring.failures >= maxFailures, s.retained(r):
		s.giveUp(ctx, r, attempted, took)
	default:
		s.retry(r, "no score", attempted)
	}
}

// timeLeft returns the time until the results of the task's job are due.
func (s *scorer) timeLeft(view *node.View, r taskResult) time.Duration {
	j := r.scoring.job
	route, found := view.Catalog.RouteByName(j.Route)
	if !found {
		return 0
	}
	return route.ResultDeadline - s.age(j)
}

// age returns the time since the job's submission.
func (s *scorer) age(j *job.Job) time.Duration {
	return time.Duration(s.batch.Clock.Wall().UnixMilli()-j.SubmittedAt) * time.Millisecond
}

// retained reports whether the task may be given up, as the retention of its job is over.
func (s *scorer) retained(r taskResult) bool {
	j := r.scoring.job
	return j.Retention > 0 && s.age(j) > time.Duration(j.Retention)*time.Millisecond
}

// scoreRequest returns the request of a score call. It carries no account and no key, and
// may be repeated whatever the kind of its route.
func scoreRequest(r *job.ScoreRequest, service string, route *catalog.Route, maxAttempts int) *forward.PlainRequest {
	return &forward.PlainRequest{
		ID: r.ID, Method: http.MethodPost, Host: r.Host, Header: platform.ScoreHeader(r), Body: r.Body, Service: service,
		URL:  func(address string) *url.URL { return &url.URL{Scheme: "http", Host: address, Opaque: r.Path} },
		Kind: catalog.Idempotent, MaxAttempts: max(1, maxAttempts), TargetLatency: route.TargetLatency,
	}
}

// recordFailures counts server errors, here and in the log for later runners.
func (s *scorer) recordFailures(r taskResult, count int) {
	if count == 0 {
		return
	}
	r.scoring.failures += count
	s.batch.AppendRecordAsync(job.Record{Progress: &job.Progress{
		Job: r.job, Term: r.scoring.term, ScoreFailures: []job.ScoreFailure{{Task: r.task, Count: count}},
	}})
}

// giveUp lists the task as not completed, with its output.
func (s *scorer) giveUp(ctx context.Context, r taskResult, attempted *forward.Attempts, took time.Duration) {
	s.batch.Metrics.Unscorable.Inc()
	s.batch.Metrics.GivenUp.Inc()
	r.completed = false
	s.finish(ctx, r, "given up", attempted, took)
}

// finish queues the result for the log and removes it from the scorer.
func (s *scorer) finish(ctx context.Context, r taskResult, outcome string, attempted *forward.Attempts, took time.Duration) {
	s.logCall(r, outcome, attempted, took)
	k := r.scoring.item.Key
	r.scoring = nil
	select {
	case s.batch.resultWriter.queue <- r:
	case <-ctx.Done():
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(k)
	delete(s.pending, k)
	s.notify()
}

// retry returns a result without a score to the queue.
func (s *scorer) retry(r taskResult, outcome string, attempted *forward.Attempts) {
	b := s.batch
	b.Metrics.ScoreRetries.Inc()
	s.logCall(r, outcome, attempted, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pending[r.scoring.item.Key]; p != nil {
		p.cancel = nil
	}
	s.queue.Retry(b.Clock.Now(), r.scoring.item.Key)
	s.notify()
}

var errNoTarget = errors.New("no target is ready")

func (s *scorer) logCall(r taskResult, outcome string, attempted *forward.Attempts, took time.Duration) {
	target, status, err := "", 0, errNoTarget
	if best := attempted.Best; best != nil {
		target, status, err = best.Target.ID, best.Status, best.Err
	}
	state := retry.NotRun
	if attempted.Best != nil {
		state = attempted.Best.Outcome
	}
	s.batch.Log("score call", events.F("job", r.job), events.F("task", r.id), events.F("request", r.scoring.request.ID),
		events.F("outcome", outcome), events.F("target", target), events.F("status", fmt.Sprint(status)), events.F("attempt", state.String()),
		events.F("tries", fmt.Sprint(attempted.StartedAttempts)), events.F("failures", fmt.Sprint(r.scoring.failures)),
		events.F("took", took.Round(time.Millisecond).String()), events.F("error", fmt.Sprint(err)))
}
