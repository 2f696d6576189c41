package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/score"
	"github.com/amaranthfold/amaranthfold/core/takeover"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	reviewInterval     = 150 * time.Millisecond // a slow or stalled engine is detected a few events late
	heartbeatInterval  = takeover.HeartbeatInterval
	minChunkEvents     = 8                // fewer new events are not worth a record
	taskCacheTTL       = 20 * time.Second // of an accepted job's tasks and a dropped task's output
	idleReviewInterval = 5 * time.Second  // between reviews while the runner has no jobs
)

// runner runs the tasks of the jobs that the log assigns to this instance. Only the
// goroutine of run accesses the fields up to mu, apart from the channels.
type runner struct {
	batch         *Batch
	scheduler     *assign.Scheduler
	jobs          map[string]*claimedJob
	cancels       map[int64]context.CancelFunc // by run
	outputs       map[int64]*taskOutput        // of the task, by run
	placed        map[int64]placedRun          // by run
	reclaims      reclaims
	runEnds       chan runEnd
	loadedJobs    chan loadedJob
	permits       chan permitReply
	refusals      chan refusedPart
	lastHeartbeat time.Duration
	latestOrderAt time.Duration // when the latest load order to an engine was read
	saves         saveState
	unreadable    unreadableJobs
	occupancy     *engineOccupancy

	// mu guards taskCache and openJobs. Only the goroutine of run accesses partialOutputs.
	mu             sync.Mutex
	taskCache      map[string]cachedTasks      // of jobs that this instance accepted, by cacheKey
	partialOutputs map[outputKey]partialOutput // of unfinished tasks of dropped jobs
	openJobs       int                         // len(jobs), for other goroutines
}

type cachedTasks struct {
	tasks    []job.Task
	content  []job.Location // where they are stored
	cachedAt time.Duration
}

// outputKey identifies the output of a task over all jobs: another model, or another route, makes
// another output.
type outputKey struct{ account, model, route, task string }

func (j *claimedJob) outputKey(i int) outputKey {
	return outputKey{j.job.Account, j.job.Model, j.job.Route, j.job.Tasks[i].ID}
}

type partialOutput struct {
	output    *taskOutput
	droppedAt time.Duration // when the job was dropped
}

// claimedJob is a job that this instance runs.
type claimedJob struct {
	job      *job.Job // owned by the state goroutine; only its immutable fields are read here
	tasks    []job.Task
	outputs  []*taskOutput
	recorded []bool // by task: recorded in the log, or about to be
	failures []int  // by task: server errors, including those whose records are not yet applied
	term     int64
	groups   *jobGroups
	loading  bool
	released bool // released for handover, and not claimed yet
}

// loadedJob is the result of loadJob.
type loadedJob struct {
	id      string
	claimed *claimedJob // that was loaded; the job may have been left and taken again since
	tasks   []job.Task
	outputs []*taskOutput
	reused  []taskResult // results of earlier jobs
	err     error        // the job could not be read
}

func newRunner(b *Batch) *runner {
	r := &runner{
		batch: b, scheduler: assign.New(assign.DefaultLimits()), jobs: map[string]*claimedJob{},
		cancels: map[int64]context.CancelFunc{}, outputs: map[int64]*taskOutput{},
		placed: map[int64]placedRun{}, reclaims: reclaims{},
		runEnds: make(chan runEnd, 64), loadedJobs: make(chan loadedJob, 4), permits: make(chan permitReply, 16),
		refusals: make(chan refusedPart, maxQueuedRefusals), saves: saveState{results: make(chan bool)},
		taskCache: map[string]cachedTasks{}, partialOutputs: map[outputKey]partialOutput{},
	}
	r.occupancy = newEngineOccupancy(b)
	return r
}

// cacheKey is the key of a job's tasks in the cache. Two accounts may submit jobs of one id at the
// same moment, of which the log keeps one.
func cacheKey(account, id string) string { return account + "/" + id }

// cacheTasks keeps the tasks of a job that this instance accepts for taskCacheTTL, so
// that it need not read them from the log if it becomes the runner.
func (r *runner) cacheTasks(key string, tasks []job.Task, content []job.Location) {
	now := r.batch.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, a := range r.taskCache {
		if now-a.cachedAt > taskCacheTTL {
			delete(r.taskCache, other)
		}
	}
	r.taskCache[key] = cachedTasks{tasks, content, now}
}

// takeCached removes the tasks of the job from the cache and returns them, nil if the cache has none
// or those of another submission of the job's id, which the log has not accepted.
func (r *runner) takeCached(j *job.Job) []job.Task {
	key := cacheKey(j.Account, j.Job)
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := r.taskCache[key]
	delete(r.taskCache, key)
	if !slices.Equal(cached.content, j.Content) {
		return nil
	}
	return cached.tasks
}

// openJobCount returns the number of jobs that run here.
func (r *runner) openJobCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openJobs
}

// waitForHandover waits until this instance runs no job, or ctx ends.
func (r *runner) waitForHandover(ctx context.Context) {
	for {
		changed := r.batch.StateLoop.NextChange()
		if r.openJobCount() == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// run handles changes of the state, ends of runs, loaded jobs and saves, one at a time,
// until ctx ends.
func (r *runner) run(ctx context.Context) error {
	reviewTimer := time.NewTimer(reviewInterval)
	defer reviewTimer.Stop()
	stopping := r.batch.StopStarted()
	for {
		changed := r.batch.StateLoop.NextChange()
		cut, linksChanged := r.batch.Links.State()
		r.onLinks(ctx, cut)
		if r.syncJobs(ctx) {
			reviewTimer.Reset(reviewInterval)
		}
		r.takeOthers()
		r.startRuns(ctx)
		r.occupancy.readLoads(r.batch.Clock.Now(), r.scheduler)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-linksChanged:
		case <-r.occupancy.due:
			r.occupancy.readPutOff = false
		case <-r.occupancy.news:
		case end := <-r.runEnds:
			r.onRunEnd(end)
			r.drainRunEnds()
		case l := <-r.loadedJobs:
			r.onLoaded(l)
		case p := <-r.permits:
			r.scheduler.SetPermits(r.batch.Clock.Now(), p.engine, p.count, p.retryAfter)
		case p := <-r.refusals:
			r.onRefused(p)
		case <-stopping:
			stopping = nil
			r.handOver(ctx)
		case stored := <-r.saves.results:
			r.onSaved(ctx, stored)
		case <-reviewTimer.C:
			r.reviewRuns(ctx)
			r.sendHeartbeats(ctx)
			reviewTimer.Reset(r.nextReviewInterval())
		}
	}
}

func (r *runner) nextReviewInterval() time.Duration {
	if len(r.jobs) == 0 {
		return r.unreadable.nextTry(r.batch.Clock.Now(), idleReviewInterval)
	}
	return reviewInterval
}

func (r *runner) drainRunEnds() {
	for {
		select {
		case end := <-r.runEnds:
			r.onRunEnd(end)
		default:
			return
		}
	}
}

// syncJobs adds the jobs of which this instance has become the runner and drops those
// that are complete, ended or run by another instance. It reports whether the runner had
// no job before and now has one.
func (r *runner) syncJobs(ctx context.Context) (becameBusy bool) {
	b := r.batch
	b.CheckStandstill(ctx)
	state := r.readState(ctx)
	r.occupancy.runners.Store(&state.runners)
	view := b.CurrentView()
	engines := schedulerEngines(view, state.orders, state.allowedStaleness)
	r.reclaims.set(b.Clock.Now(), view, engines)
	r.scheduler.SetEngines(engines)
	if newest := latestOrderTime(state.orders); newest > r.latestOrderAt {
		r.latestOrderAt = newest
		r.reviewRuns(ctx) // at once, as an engine that loads weights pauses its runs
	}
	for id, j := range r.jobs {
		if _, stillAssigned := state.assigned[id]; !stillAssigned {
			r.dropJob(id, j)
			if last, known := state.left[id]; known {
				r.noteLeft(view, j, last)
			}
		}
	}
	for id, snapshot := range state.assigned {
		j := r.jobs[id]
		if j == nil && r.unreadable.isPutOff(b.Clock.Now(), id) {
			continue
		}
		if j == nil {
			j = &claimedJob{
				job: snapshot.job, loading: true, recorded: make([]bool, len(snapshot.job.Tasks)), failures: make([]int, len(snapshot.job.Tasks)),
				groups: newJobGroups(snapshot.job.Tasks, snapshot.results[:snapshot.listedAtClaim]),
			}
			for i := range snapshot.status {
				j.failures[i] = snapshot.status[i].Failures
			}
			r.jobs[id] = j
			b.Links.CheckIfQuiet()
			b.Log("job taken", events.F("job", id), events.F("term", fmt.Sprint(snapshot.term)))
			b.AppendRecordAsync(job.Record{Progress: &job.Progress{Job: id, Term: snapshot.term}})
			go r.loadJob(ctx, snapshot, j)
		}
		if snapshot.term > j.term && snapshot.runner == b.Self {
			j.released = false // claimed again
		}
		j.term = snapshot.term
		r.updateTasks(view, id, j, snapshot.status)
		if !j.loading { // a job that cannot be read is dropped and taken again, with new groups
			r.noteListed(view, j, snapshot.results)
		}
	}
	r.mu.Lock()
	wasIdle := r.openJobs == 0
	r.openJobs = len(r.jobs)
	r.mu.Unlock()
	if len(r.jobs) > 0 {
		b.Pace.RanJobsAt.Store(int64(b.Clock.Now()))
	}
	return wasIdle && len(r.jobs) > 0
}

// useStoredOutput completes a task with an output that an earlier runner or run has stored.
func (r *runner) useStoredOutput(id string, j *claimedJob, i int, o job.CompleteOutput, scoreFailures int) {
	r.stopTask(assign.Key{Job: id, Task: i})
	r.completeTask(j, taskResult{job: id, task: i, id: j.job.Tasks[i].ID, completed: true, versions: o.Versions, location: &o.Location}, scoreFailures)
}

// completeTask queues the result of a task with a complete output. The task needs no further
// run. If it has a score request, it is scored before it is listed.
func (r *runner) completeTask(j *claimedJob, result taskResult, scoreFailures int) {
	i := result.task
	j.recorded[i] = true
	if request := j.tasks[i].Scorer; request != nil {
		result.scoring = &scoring{
			request: request, job: j.job, term: j.term, failures: scoreFailures, completedAt: r.batch.Clock.Now(),
			item: score.Item{
				Key: score.Key{Job: result.job, Task: i}, Group: j.job.Tasks[i].Group,
				Submitted: time.Duration(j.job.SubmittedAt) * time.Millisecond, Incomplete: j.incompleteOf(j.job.Tasks[i].Group),
			},
		}
	}
	r.batch.resultWriter.queue <- result
}

// incompleteOf returns the number of tasks of a group whose output is not complete.
func (j *claimedJob) incompleteOf(group int) int {
	n := 0
	for i, t := range j.job.Tasks {
		if t.Group == group && !j.recorded[i] {
			n++
		}
	}
	return n
}

// giveUpTask records a task as not completed, with the output received so far.
func (r *runner) giveUpTask(id string, j *claimedJob, i int) {
	j.recorded[i] = true
	r.stopTask(assign.Key{Job: id, Task: i})
	r.batch.Metrics.GivenUp.Inc()
	r.batch.Log("task given up", events.F("job", id), events.F("task", j.job.Tasks[i].ID))
	j.outputs[i].end()
	output, versions, _ := j.outputs[i].snapshot()
	r.batch.resultWriter.queue <- taskResult{job: id, task: i, id: j.job.Tasks[i].ID, output: output, versions: versions}
}

// stopTask removes a task from the scheduler and cancels its run, if it has one.
func (r *runner) stopTask(key assign.Key) {
	if stop, running := r.scheduler.Drop(key); running {
		r.cancelRun(stop.Run)
	}
}

func (r *runner) cancelRun(run int64) {
	if cancel := r.cancels[run]; cancel != nil {
		cancel()
	}
	if p, running := r.placed[run]; running {
		p.group.longestRun = max(p.group.longestRun, r.batch.Clock.Now()-p.at)
	}
	delete(r.cancels, run)
	delete(r.outputs, run)
	delete(r.placed, run)
}

// dropJob removes a job and cancels all its runs. The outputs of its unfinished tasks are
// kept for a later job of the account that has the same tasks.
func (r *runner) dropJob(id string, j *claimedJob) {
	now := r.batch.Clock.Now()
	for i := range j.tasks {
		key := assign.Key{Job: id, Task: i}
		scheduled := r.scheduler.Has(key)
		r.stopTask(key)
		if scheduled && !j.recorded[i] {
			j.outputs[i].stopRun()
			r.partialOutputs[j.outputKey(i)] = partialOutput{j.outputs[i], now}
		}
	}
	for key, p := range r.partialOutputs {
		if now-p.droppedAt > taskCacheTTL {
			delete(r.partialOutputs, key)
		}
	}
	delete(r.jobs, id)
	r.scheduler.RemoveJob(id)
	r.batch.scorer.removeJob(id)
	r.batch.Log("job left", events.F("job", id))
}
