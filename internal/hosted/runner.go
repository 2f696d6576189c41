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
	reviewInterval = 150 * time.Millisecond // a slow or silent engine is noticed a few events late
	beatInterval   = 500 * time.Millisecond // a third of claimAfter: two beats may be lost
	chunkEvents    = 8                      // shorter additions are not worth a record
	rememberFor    = 20 * time.Second       // an accepted job's tasks and a dropped task's text
	idleReview     = 5 * time.Second        // between looks for expired tasks while nothing runs
)

// runner runs the tasks of the jobs that this instance has claimed. One goroutine
// owns its state.
type runner struct {
	node    *Node
	machine *assign.Machine
	jobs    map[string]*ownJob
	cancels map[int64]context.CancelFunc
	texts   map[int64]*taskText // of running runs
	base    map[int64]int64     // events kept when the run began
	ends    chan runEnd
	loads   chan loadedJob
	beatAt  time.Duration
	// orderedAt is when the newest known order to an engine was read.
	orderedAt time.Duration
	saves     saveState

	mu       sync.Mutex
	accepted map[string]acceptedJob // tasks of jobs that this instance accepted
	partial  map[string]partialText // texts of dropped tasks, by account and task
	open     int                    // jobs that are this instance's to run
}

type acceptedJob struct {
	tasks []job.Task
	at    time.Duration
}

type partialText struct {
	text *taskText
	at   time.Duration
}

// ownJob is a job that this instance runs.
type ownJob struct {
	job      *job.Job // owned by the board; only its fixed part is read here
	tasks    []job.Task
	texts    []*taskText
	done     []bool // listed, or on the way to be
	failures []int  // server errors that the log will have counted
	term     int64
	loading  bool
	offered  bool // handed over, and not claimed yet
}

// loadedJob brings what a job's tasks need to run.
type loadedJob struct {
	id    string
	tasks []job.Task
	texts []*taskText
	ready []finished
	err   error
}

func newRunner(n *Node) *runner {
	r := &runner{
		node: n, machine: assign.New(assign.DefaultLimits()), jobs: map[string]*ownJob{},
		cancels: map[int64]context.CancelFunc{}, texts: map[int64]*taskText{}, base: map[int64]int64{},
		ends: make(chan runEnd, 64), loads: make(chan loadedJob, 4), saves: saveState{ends: make(chan bool)},
		accepted: map[string]acceptedJob{}, partial: map[string]partialText{},
	}
	return r
}

// remember keeps an accepted job's tasks, so that its runner need not read them.
func (r *runner) remember(id string, tasks []job.Task) {
	now := r.node.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, a := range r.accepted {
		if now-a.at > rememberFor {
			delete(r.accepted, other)
		}
	}
	r.accepted[id] = acceptedJob{tasks, now}
}

// waitHandedOver waits until no job is this instance's to run, or ctx ends.
func (r *runner) waitHandedOver(ctx context.Context) {
	for {
		changed := r.node.board.wait()
		r.mu.Lock()
		open := r.open
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
		changed := r.node.board.wait()
		if r.sync(ctx) {
			ticker.Reset(reviewInterval)
		}
		r.start(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case end := <-r.ends:
			r.ended(end)
			r.drainEnds()
		case l := <-r.loads:
			r.loaded(l)
		case <-stopping:
			stopping = nil
			r.handOver(ctx)
		case stored := <-r.saves.ends:
			r.saved(ctx, stored)
		case <-ticker.C:
			r.review()
			r.beat(ctx)
			ticker.Reset(r.interval())
		}
	}
}

func (r *runner) interval() time.Duration {
	if len(r.jobs) == 0 {
		return idleReview
	}
	return reviewInterval
}

func (r *runner) drainEnds() {
	for {
		select {
		case end := <-r.ends:
			r.ended(end)
		default:
			return
		}
	}
}

// mine is what the board tells of one of this instance's jobs.
type mine struct {
	job    *job.Job
	term   int64
	status []job.TaskStatus
}

// sync takes over jobs that have become this instance's and drops what is listed,
// ended or somebody else's. It reports whether the runner was idle before.
func (r *runner) sync(ctx context.Context) (woken bool) {
	n := r.node
	own := map[string]mine{}
	var orders map[string]job.Order
	n.board.do(ctx, func() {
		for id, j := range n.board.state.Jobs {
			kept := j.Runner == "" && r.jobs[id] != nil // handed over, not claimed yet
			if (j.Runner == n.self || kept) && j.Open() {
				own[id] = mine{j, j.Term, append([]job.TaskStatus(nil), j.Status...)}
			}
		}
		orders = make(map[string]job.Order, len(n.board.state.Ordered))
		for id, o := range n.board.state.Ordered {
			orders[id] = o
		}
	})
	view := n.board.view.Load()
	r.machine.SetEngines(engines(view, orders))
	if newest := newestOrder(orders); newest > r.orderedAt {
		r.orderedAt = newest
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
			o = &ownJob{
				job: m.job, loading: true, done: make([]bool, len(m.job.Tasks)), failures: make([]int, len(m.job.Tasks)),
			}
			for i := range m.status {
				o.failures[i] = m.status[i].Failures
			}
			r.jobs[id] = o
			n.log("job taken", events.F("job", id), events.F("term", fmt.Sprint(m.term)))
			n.postRecord(job.Record{Progress: &job.Progress{Job: id, Term: m.term}})
			go r.load(ctx, m)
		}
		o.term = m.term
		r.update(view, id, o, m.status)
	}
	r.mu.Lock()
	idle := r.open == 0
	r.open = len(r.jobs)
	r.mu.Unlock()
	return idle && len(r.jobs) > 0
}

func newestOrder(orders map[string]job.Order) time.Duration {
	newest := time.Duration(0)
	for _, o := range orders {
		newest = max(newest, o.Seen)
	}
	return newest
}

func engines(view *View, orders map[string]job.Order) []assign.Engine {
	out := make([]assign.Engine, 0, len(view.Targets))
	for _, t := range view.Targets {
		if len(t.Models) == 0 {
			continue
		}
		e := assign.Engine{ID: t.ID, Service: t.Service, Slots: t.Slots, Ready: t.Ready, Versions: t.Models}
		if o, ordered := orders[t.ID]; ordered && t.Models[o.Model] < o.Version {
			e.Ordered, e.Loading = o.Seen, o.Model
		}
		out = append(out, e)
	}
	return out
}

// update brings a job's tasks in line with the log.
func (r *runner) update(view *View, id string, o *ownJob, status []job.TaskStatus) {
	if o.loading {
		return
	}
	n := r.node
	service, routed := "", false
	if route, known := view.Catalog.Route(o.job.Route); known {
		service, routed = route.Pick(n.rand64()), true
	}
	age := n.clock.Wall().UnixMilli() - o.job.SubmittedAt
	for i := range o.tasks {
		key := assign.Key{Job: id, Task: i}
		switch {
		case status[i].Listed:
			o.done[i] = true
			r.stop(key)
		case o.done[i]:
		case !routed, status[i].Failures >= o.job.MaxAttempts, o.job.Retention > 0 && age > o.job.Retention:
			r.giveUp(id, o, i)
		case !r.machine.Has(key) && status[i].Failures >= o.failures[i]:
			r.add(o, i, service, status[i])
		}
	}
}

func (r *runner) add(o *ownJob, i int, service string, status job.TaskStatus) {
	t := &o.tasks[i]
	length := t.LengthHint
	if length == 0 {
		length = t.Tokens
	}
	last, _ := o.texts[i].progress()
	r.machine.Add(assign.Task{
		Key: assign.Key{Job: o.job.Job, Task: i}, Service: service, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Group: o.job.Job + "/" + fmt.Sprint(o.job.Tasks[i].Group), Length: length, Carried: status.Carried,
		Submitted: time.Duration(o.job.SubmittedAt) * time.Millisecond, Events: last, Since: r.node.clock.Now(),
	})
}

func (r *runner) giveUp(id string, o *ownJob, i int) {
	o.done[i] = true
	r.stop(assign.Key{Job: id, Task: i})
	r.node.metrics.givenUp.Inc()
	r.node.log("task given up", events.F("job", id), events.F("task", o.job.Tasks[i].ID))
	text, versions, _ := o.texts[i].snapshot()
	r.node.lister.queue <- finished{job: id, task: i, id: o.job.Tasks[i].ID, text: text, versions: versions}
}

// stop ends a task's run, if it has one.
func (r *runner) stop(key assign.Key) {
	if s, running := r.machine.Drop(key); running {
		r.cancel(s.Run)
	}
}

func (r *runner) cancel(run int64) {
	if cancel := r.cancels[run]; cancel != nil {
		cancel()
	}
	delete(r.cancels, run)
	delete(r.texts, run)
	delete(r.base, run)
}

// drop ends all runs of a job. The texts of its unfinished tasks are kept for a
// later job that brings the tasks again.
func (r *runner) drop(id string, o *ownJob) {
	now := r.node.clock.Now()
	for i := range o.tasks {
		key := assign.Key{Job: id, Task: i}
		running := r.machine.Has(key)
		r.stop(key)
		if running && !o.done[i] {
			o.texts[i].begin(0) // later events of the ended run do not count
			r.partial[o.job.Account+"/"+o.job.Tasks[i].ID] = partialText{o.texts[i], now}
		}
	}
	for key, p := range r.partial {
		if now-p.at > rememberFor {
			delete(r.partial, key)
		}
	}
	delete(r.jobs, id)
	r.node.log("job left", events.F("job", id))
}
