package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// quietRunsLimit is how long no target may send anything while runs are in progress: seven
// events of one run.
const quietRunsLimit = 300 * time.Millisecond

// minConfirmEvents is the number of events of a run that are worth asking its engine whether it
// still is what its registry entry describes: half of what is stored at once.
const minConfirmEvents = minChunkEvents / 2

// startRuns starts the runs that the scheduler has assigned to engines, and asks for permits
// for the others.
func (r *runner) startRuns(ctx context.Context) {
	b := r.batch
	if b.Links.IsCut() {
		return
	}
	now := b.Clock.Now()
	starts := r.scheduler.Assign(now)
	r.obtainPermits(ctx)
	if len(starts) == 0 {
		return
	}
	targets := map[string]directory.Target{}
	for _, t := range b.CurrentView().Targets {
		targets[t.ID] = t
	}
	for _, s := range starts {
		j := r.jobs[s.Task.Job]
		runCtx, cancel := context.WithCancel(ctx)
		r.cancels[s.Run], r.outputs[s.Run] = cancel, j.outputs[s.Task.Task]
		b.Metrics.Runs.Inc()
		r.logResume(j, s, targets[s.Engine].Software)
		r.notePlaced(now, s, j)
		remaining := time.Duration(j.job.SubmittedAt+j.job.Retention-b.Clock.Wall().UnixMilli()) * time.Millisecond
		run := taskRun{
			id: s.Run, key: s.Task, task: &j.tasks[s.Task.Task], output: j.outputs[s.Task.Task], host: j.job.Host,
			account: j.job.Account, target: targets[s.Engine], minVersion: j.job.MinVersion, singleVersion: j.job.SingleVersion, remaining: remaining,
		}
		go func() {
			defer cancel()
			end := b.runTask(runCtx, run)
			select {
			case r.runEnds <- end:
			case <-ctx.Done():
			}
		}()
	}
}

// logResume logs a run that goes on after kept events, or loses them because its engine has
// another software version.
func (r *runner) logResume(j *claimedJob, s assign.Start, software string) {
	kept := j.outputs[s.Task.Task].kept()
	if kept.Events == 0 {
		return
	}
	event, counter := "run resumed", r.batch.Metrics.RunsResumed
	if s.ResumeAfter == 0 {
		event, counter = "run starts over", r.batch.Metrics.RunsStartedOver
	}
	counter.Inc()
	service, madeBy := splitOrigin(kept.Software)
	r.batch.Log(event, events.F("job", s.Task.Job), events.F("task", j.job.Tasks[s.Task.Task].ID), events.F("run", fmt.Sprint(s.Run)),
		events.F("target", s.Engine), events.F("software", software), events.F("events", fmt.Sprint(kept.Events)), events.F("made_by", madeBy), events.F("service", service))
}

// onRunEnd handles the end of a run. It records the result of a completed task or a
// server error, and gives up an unprocessable task. After any other end, the scheduler
// decides whether the task runs again.
func (r *runner) onRunEnd(end runEnd) {
	b := r.batch
	j := r.jobs[end.key.Job]
	output := r.outputs[end.run] // nil: the run was moved or canceled; the job may have been left and taken again since
	var kept assign.Kept
	if output != nil {
		kept = output.kept()
	}
	outcome := end.outcome
	if end.unprocessable || end.serverError {
		// The scheduler must not retry the task: after a server error updateTasks schedules
		// it again when the failure record has been applied.
		outcome = assign.Canceled
	}
	placed := r.placed[end.run]
	current := r.scheduler.Finish(b.Clock.Now(), end.run, outcome, kept)
	r.cancelRun(end.run)
	if end.outcome == assign.Broken || end.outcome == assign.Stale {
		b.Metrics.RunsBroken.Inc()
		b.Log("run broken", events.F("job", end.key.Job), events.F("task", end.taskID),
			events.F("target", end.engine), events.F("events", fmt.Sprint(kept.Events)), events.F("error", fmt.Sprint(end.err)))
	}
	if !current || j == nil {
		return
	}
	id, i := end.key.Job, end.key.Task
	switch {
	case end.unprocessable:
		r.giveUpTask(id, j, i)
	case end.serverError:
		j.failures[i]++
		b.AppendRecordAsync(job.Record{Progress: &job.Progress{Job: id, Term: j.term, Failed: []int{i}}})
	case end.outcome == assign.Completed:
		b.Metrics.Listed.Inc()
		r.noteEnded(b.Clock.Now(), end, placed, j)
		data, versions, _ := output.snapshot()
		b.Metrics.TaskTime.Update(float64(b.Clock.Wall().UnixMilli()-j.job.SubmittedAt) / 1000)
		r.completeTask(j, taskResult{job: id, task: i, id: j.job.Tasks[i].ID, completed: true, output: data, versions: versions}, 0)
	}
}

// reviewRuns reports the progress of all runs to the scheduler. It cancels the runs at
// stalled or slow engines and queues their tasks again, to resume on another engine.
func (r *runner) reviewRuns(ctx context.Context) {
	now := r.batch.Clock.Now()
	if len(r.outputs) > 0 {
		r.batch.Links.QuietSince(now - quietRunsLimit)
	}
	for run, output := range r.outputs {
		added, at := output.runProgress()
		r.scheduler.Progress(run, added, at)
		if m := output.makerToAsk(minConfirmEvents); m != nil {
			go func() { _ = m.ask(ctx) }() // asked again at the next review
		}
	}
	for _, s := range r.scheduler.RunsToMove(now) {
		output := r.outputs[s.Run]
		output.stopRun()
		kept := output.kept()
		r.placed[s.Run].group.moved++
		r.cancelRun(s.Run)
		r.scheduler.Requeue(now, s.Run, kept)
		r.batch.Metrics.RunsMoved.Inc()
		r.batch.Metrics.CountMove(s.Reason)
		r.batch.Log("run moved", events.F("job", s.Task.Job), events.F("task", r.jobs[s.Task.Job].job.Tasks[s.Task.Task].ID),
			events.F("target", s.Engine), events.F("events", fmt.Sprint(kept.Events)), events.F("reason", s.Reason))
	}
}
