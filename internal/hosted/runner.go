package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	reviewInterval     = 150 * time.Millisecond // a slow or silent engine is noticed a few events late
	heartbeatInterval  = 500 * time.Millisecond // a third of claimAfter: two beats may be lost
	minChunkEvents     = 8                      // shorter additions are not worth a record
	taskCacheTTL       = 20 * time.Second       // an accepted job's tasks and a dropped task's text
	idleReviewInterval = 5 * time.Second        // between looks for expired tasks while nothing runs
)

// runner runs the tasks of the jobs that this instance has claimed. One goroutine
// owns its state.
type runner struct {
	node          *Instance
	scheduler     *assign.Scheduler
	jobs          map[string]*claimedJob
	cancels       map[int64]context.CancelFunc
	texts         map[int64]*taskOutput // of running runs
	startEvents   map[int64]int64       // events kept when the run began
	runEnds       chan runEnd
	loadedJobs    chan loadedJob
	lastHeartbeat time.Duration
	// lastOrderAt is when the newest known order to an engine was read.
	lastOrderAt time.Duration
	saves       saveState

	mu             sync.Mutex
	taskCache      map[string]cachedTasks   // tasks of jobs that this instance accepted
	partialOutputs map[string]partialOutput // texts of dropped tasks, by account and task
	openJobs       int                      // jobs that are this instance's to run
}

type cachedTasks struct {
	tasks []job.Task
	at    time.Duration
}

type partialOutput struct {
	text *taskOutput
	at   time.Duration
}

// claimedJob is a job that this instance runs.
type claimedJob struct {
	job      *job.Job // owned by the board; only its fixed part is read here
	tasks    []job.Task
	texts    []*taskOutput
	recorded []bool // listed, or on the way to be
	failures []int  // server errors that the log will have counted
	term     int64
	loading  bool
	released bool // handed over, and not claimed yet
}

// loadedJob brings what a job's tasks need to run.
type loadedJob struct {
	id     string
	tasks  []job.Task
	texts  []*taskOutput
	reused []taskResult
	err    error
}

func newRunner(n *Instance) *runner {
	r := &runner{
		node: n, scheduler: assign.New(assign.DefaultLimits()), jobs: map[string]*claimedJob{},
		cancels: map[int64]context.CancelFunc{}, texts: map[int64]*taskOutput{}, startEvents: map[int64]int64{},
		runEnds: make(chan runEnd, 64), loadedJobs: make(chan loadedJob, 4), saves: saveState{results: make(chan bool)},
		taskCache: map[string]cachedTasks{}, partialOutputs: map[string]partialOutput{},
	}
	return r
}

// cacheTasks keeps an accepted job's tasks, so that its runner need not read them.
func (r *runner) cacheTasks(id string, tasks []job.Task) {
	now := r.node.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, a := range r.taskCache {
		if now-a.at > taskCacheTTL {
			delete(r.taskCache, other)
		}
	}
	r.taskCache[id] = cachedTasks{tasks, now}
}

// waitHandedOver waits until no job is this instance's to run, or ctx ends.
func (r *runner) waitHandedOver(ctx context.Context) {
	for {
		changed := r.node.stateLoop.nextChange()
		r.mu.Lock()
		open := r.openJobs
		r.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTimer(reviewInterval)
	defer ticker.Stop()
	stopping := r.node.stopping
	for {
		changed := r.node.stateLoop.nextChange()
		if r.sync(ctx) {
			ticker.Reset(reviewInterval)
		}
		r.start(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case end := <-r.runEnds:
			r.onRunEnd(end)
			r.drainEnds()
		case l := <-r.loadedJobs:
			r.onLoaded(l)
		case <-stopping:
			stopping = nil
			r.handOver(ctx)
		case stored := <-r.saves.results:
			r.onSaved(ctx, stored)
		case <-ticker.C:
			r.review()
			r.heartbeat(ctx)
			ticker.Reset(r.interval())
		}
	}
}

func (r *runner) interval() time.Duration {
	if len(r.jobs) == 0 {
		return idleReviewInterval
	}
	return reviewInterval
}

func (r *runner) drainEnds() {
	for {
		select {
		case end := <-r.runEnds:
			r.onRunEnd(end)
		default:
			return
		}
	}
}

// jobSnapshot is what the board tells of one of this instance's jobs.
type jobSnapshot struct {
	job    *job.Job
	term   int64
	status []job.TaskStatus
}

// sync takes over jobs that have become this instance's and drops what is listed,
// ended or somebody else's. It reports whether the runner was idle before.
func (r *runner) sync(ctx context.Context) (woken bool) {
	n := r.node
	own := map[string]jobSnapshot{}
	var orders map[string]job.LoadOrder
	n.stateLoop.do(ctx, func() {
		for id, j := range n.stateLoop.state.Jobs {
			kept := j.Runner == "" && r.jobs[id] != nil // handed over, not claimed yet
			if (j.Runner == n.self || kept) && j.Open() {
				own[id] = jobSnapshot{j, j.Term, append([]job.TaskStatus(nil), j.Status...)}
			}
		}
		orders = make(map[string]job.LoadOrder, len(n.stateLoop.state.LoadOrders))
		for id, o := range n.stateLoop.state.LoadOrders {
			orders[id] = o
		}
	})
	view := n.stateLoop.view.Load()
	r.scheduler.SetEngines(engines(view, orders))
	if newest := newestOrder(orders); newest > r.lastOrderAt {
		r.lastOrderAt = newest
		r.review() // an engine that loads weights pauses its runs
	}
	for id, o := range r.jobs {
		if _, still := own[id]; !still {
			r.drop(id, o)
		}
	}
	for id, m := range own {
		o := r.jobs[id]
		if o == nil {
			o = &claimedJob{
				job: m.job, loading: true, recorded: make([]bool, len(m.job.Tasks)), failures: make([]int, len(m.job.Tasks)),
			}
			for i := range m.status {
				o.failures[i] = m.status[i].Failures
			}
			r.jobs[id] = o
			n.log("job taken", events.F("job", id), events.F("term", fmt.Sprint(m.term)))
			n.appendRecordAsync(job.Record{Progress: &job.Progress{Job: id, Term: m.term}})
			go r.load(ctx, m)
		}
		o.term = m.term
		r.update(view, id, o, m.status)
	}
	r.mu.Lock()
	idle := r.openJobs == 0
	r.openJobs = len(r.jobs)
	r.mu.Unlock()
	return idle && len(r.jobs) > 0
}

func newestOrder(orders map[string]job.LoadOrder) time.Duration {
	newest := time.Duration(0)
	for _, o := range orders {
		newest = max(newest, o.ReadAt)
	}
	return newest
}

func engines(view *View, orders map[string]job.LoadOrder) []assign.Engine {
	out := make([]assign.Engine, 0, len(view.Targets))
	for _, t := range view.Targets {
		if len(t.Models) == 0 {
			continue
		}
		e := assign.Engine{ID: t.ID, Service: t.Service, Slots: t.Slots, Ready: t.Ready, Versions: t.Models}
		if o, ordered := orders[t.ID]; ordered && t.Models[o.Model] < o.Version {
			e.LoadOrderedAt, e.LoadingModel = o.ReadAt, o.Model
		}
		out = append(out, e)
	}
	return out
}

// update brings a job's tasks in line with the log.
func (r *runner) update(view *View, id string, o *claimedJob, status []job.TaskStatus) {
	if o.loading {
		return
	}
	n := r.node
	service, routed := "", false
	if route, known := view.Catalog.RouteByName(o.job.Route); known {
		service, routed = route.Pick(n.rand64()), true
	}
	age := n.clock.Wall().UnixMilli() - o.job.SubmittedAt
	for i := range o.tasks {
		key := assign.Key{Job: id, Task: i}
		switch {
		case status[i].Listed:
			o.recorded[i] = true
			r.stop(key)
		case o.recorded[i]:
		case !routed, status[i].Failures >= o.job.MaxAttempts, o.job.Retention > 0 && age > o.job.Retention:
			r.giveUp(id, o, i)
		case !r.scheduler.Has(key) && status[i].Failures >= o.failures[i]:
			r.add(o, i, service, status[i])
		}
	}
}

func (r *runner) add(o *claimedJob, i int, service string, status job.TaskStatus) {
	t := &o.tasks[i]
	length := t.LengthHint
	if length == 0 {
		length = t.MaxTokens
	}
	last, _ := o.texts[i].progress()
	r.scheduler.Add(assign.Task{
		Key: assign.Key{Job: o.job.Job, Task: i}, Service: service, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Group: o.job.Job + "/" + fmt.Sprint(o.job.Tasks[i].Group), ExpectedTokens: length, Resubmitted: status.Resubmitted,
		Submitted: time.Duration(o.job.SubmittedAt) * time.Millisecond, ResumeAfter: last, WaitingSince: r.node.clock.Now(),
	})
}

func (r *runner) giveUp(id string, o *claimedJob, i int) {
	o.recorded[i] = true
	r.stop(assign.Key{Job: id, Task: i})
	r.node.metrics.givenUp.Inc()
	r.node.log("task given up", events.F("job", id), events.F("task", o.job.Tasks[i].ID))
	text, versions, _ := o.texts[i].snapshot()
	r.node.resultWriter.queue <- taskResult{job: id, task: i, id: o.job.Tasks[i].ID, text: text, versions: versions}
}

// stop ends a task's run, if it has one.
func (r *runner) stop(key assign.Key) {
	if s, running := r.scheduler.Drop(key); running {
		r.cancel(s.Run)
	}
}

func (r *runner) cancel(run int64) {
	if cancel := r.cancels[run]; cancel != nil {
		cancel()
	}
	delete(r.cancels, run)
	delete(r.texts, run)
	delete(r.startEvents, run)
}

// drop ends all runs of a job. The texts of its unfinished tasks are kept for a
// later job that brings the tasks again.
func (r *runner) drop(id string, o *claimedJob) {
	now := r.node.clock.Now()
	for i := range o.tasks {
		key := assign.Key{Job: id, Task: i}
		running := r.scheduler.Has(key)
		r.stop(key)
		if running && !o.recorded[i] {
			o.texts[i].setActiveRun(0) // later events of the ended run do not count
			r.partialOutputs[o.job.Account+"/"+o.job.Tasks[i].ID] = partialOutput{o.texts[i], now}
		}
	}
	for key, p := range r.partialOutputs {
		if now-p.at > taskCacheTTL {
			delete(r.partialOutputs, key)
		}
	}
	delete(r.jobs, id)
	r.node.log("job left", events.F("job", id))
}
