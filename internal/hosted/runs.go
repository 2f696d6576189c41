package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// start starts the runs that the machine asks for.
func (r *runner) start(ctx context.Context) {
	n := r.node
	now := n.clock.Now()
	starts := r.scheduler.Assign(now)
	if len(starts) == 0 {
		return
	}
	targets := map[string]directory.Target{}
	for _, t := range n.stateLoop.view.Load().Targets {
		targets[t.ID] = t
	}
	for _, s := range starts {
		o := r.jobs[s.Task.Job]
		runCtx, cancel := context.WithCancel(ctx)
		r.cancels[s.Run], r.texts[s.Run], r.startEvents[s.Run] = cancel, o.texts[s.Task.Task], s.ResumeAfter
		n.metrics.runs.Inc()
		left := time.Duration(o.job.SubmittedAt+o.job.Retention-n.clock.Wall().UnixMilli()) * time.Millisecond
		run := taskRun{
			id: s.Run, key: s.Task, task: &o.tasks[s.Task.Task], text: o.texts[s.Task.Task], host: o.job.Host,
			account: o.job.Account, target: targets[s.Engine], minVersion: o.job.MinVersion, singleVersion: o.job.SingleVersion, remaining: left,
		}
		go func() {
			defer cancel()
			end := n.runTask(runCtx, run)
			select {
			case r.runEnds <- end:
			case <-ctx.Done():
			}
		}()
	}
}

// onRunEnd notes the end of a run and passes a finished task on.
func (r *runner) onRunEnd(end runEnd) {
	n := r.node
	o := r.jobs[end.key.Job]
	kept := int64(0)
	if o != nil {
		kept, _ = o.texts[end.key.Task].progress()
	}
	outcome := end.outcome
	if end.unprocessable || end.serverError {
		outcome = assign.Canceled // waits for the log's word
	}
	current := r.scheduler.Finished(n.clock.Now(), end.run, outcome, kept)
	r.cancel(end.run)
	if end.outcome == assign.Broken || end.outcome == assign.Stale {
		n.metrics.runsBroken.Inc()
		n.log("run broken", events.F("job", end.key.Job), events.F("task", fmt.Sprint(end.key.Task)),
			events.F("target", end.engine), events.F("events", fmt.Sprint(kept)), events.F("error", fmt.Sprint(end.err)))
	}
	if !current || o == nil {
		return
	}
	id, i := end.key.Job, end.key.Task
	switch {
	case end.unprocessable:
		r.giveUp(id, o, i)
	case end.serverError:
		o.failures[i]++
		n.appendRecordAsync(job.Record{Progress: &job.Progress{Job: id, Term: o.term, Failed: []int{i}}})
	case end.outcome == assign.Completed:
		o.recorded[i] = true
		n.metrics.listed.Inc()
		text, versions, _ := o.texts[i].snapshot()
		n.metrics.taskTime.Update(float64(n.clock.Wall().UnixMilli()-o.job.SubmittedAt) / 1000)
		n.resultWriter.queue <- taskResult{job: id, task: i, id: o.job.Tasks[i].ID, completed: true, text: text, versions: versions}
	}
}

// review moves runs off engines that are silent or slow.
func (r *runner) review() {
	now := r.node.clock.Now()
	for run, t := range r.texts {
		last, at := t.progress()
		r.scheduler.Progress(run, last-r.startEvents[run], at)
	}
	for _, s := range r.scheduler.RunsToMove(now) {
		kept, _ := r.texts[s.Run].progress()
		r.texts[s.Run].setActiveRun(0)
		r.cancel(s.Run)
		r.scheduler.Requeue(now, s.Run, kept)
		r.node.metrics.runsMoved.Inc()
		r.node.log("run moved", events.F("job", s.Task.Job), events.F("task", fmt.Sprint(s.Task.Task)),
			events.F("target", s.Engine), events.F("events", fmt.Sprint(kept)), events.F("reason", s.Reason))
	}
}
