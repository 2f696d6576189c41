package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// loadJob reads a job's tasks, the reusable results of earlier jobs and the stored
// outputs of earlier runs. It sends the loaded job to the runner's goroutine.
func (r *runner) loadJob(ctx context.Context, snapshot jobSnapshot, claimed *claimedJob) {
	loaded := loadedJob{id: snapshot.job.Job, claimed: claimed}
	if loaded.tasks = r.takeCached(snapshot.job); loaded.tasks == nil {
		loaded.tasks, loaded.err = r.batch.tasksOf(ctx, loaded.id)
	}
	if loaded.err == nil && len(loaded.tasks) != len(snapshot.job.Tasks) {
		loaded.err = fmt.Errorf("job %s: %d of %d tasks are stored", loaded.id, len(loaded.tasks), len(snapshot.job.Tasks))
	}
	if loaded.err == nil {
		loaded.reused = r.reusableResults(ctx, snapshot)
		loaded.outputs = r.loadOutputs(ctx, snapshot)
	}
	select {
	case r.loadedJobs <- loaded:
	case <-ctx.Done():
	}
}

// reusableResults returns the results of earlier jobs that are valid for this job too.
func (r *runner) reusableResults(ctx context.Context, snapshot jobSnapshot) []taskResult {
	var out []taskResult
	r.batch.StateLoop.Do(ctx, func() {
		for i := range snapshot.status {
			if snapshot.status[i].Listed || !snapshot.status[i].Resubmitted {
				continue
			}
			e, found := r.batch.StateLoop.State.EarlierResult(snapshot.job, i)
			if found && snapshot.job.AllowsVersions(e.Versions) {
				location := e.Location
				out = append(out, taskResult{job: snapshot.job.Job, task: i, id: snapshot.job.Tasks[i].ID, completed: true, versions: e.Versions, location: &location})
			}
		}
	})
	return out
}

// loadOutputs returns the stored parts of the outputs of all tasks. An output that cannot be read is
// empty: its task starts from the first event.
func (r *runner) loadOutputs(ctx context.Context, snapshot jobSnapshot) []*taskOutput {
	stored := make([][]job.Chunk, len(snapshot.status))
	var locations []job.Location
	for i := range snapshot.status {
		if snapshot.status[i].Listed || snapshot.job.SingleVersion {
			continue
		}
		stored[i] = snapshot.status[i].ContiguousChunks(snapshot.job.MinVersion)
		for _, c := range stored[i] {
			locations = append(locations, c.Location)
		}
	}
	// One read for all of them: a slow log answers each call late.
	parts, err := r.batch.LoadAvailable(ctx, locations)
	outputs := make([]*taskOutput, len(stored))
	for i, chunks := range stored {
		own := parts[:len(chunks)]
		parts = parts[len(chunks):]
		outputs[i] = r.loadOutput(snapshot.job, i, chunks, own, err)
	}
	return outputs
}

// loadOutput returns the output of the chunks of a task with their data. A part without data could
// not be read, for the reason err.
func (r *runner) loadOutput(j *job.Job, i int, chunks []job.Chunk, parts [][]byte, err error) *taskOutput {
	if len(chunks) == 0 {
		return &taskOutput{}
	}
	if slices.ContainsFunc(parts, func(p []byte) bool { return p == nil }) {
		r.batch.Log("text unreadable", events.F("job", j.Job), events.F("task", j.Tasks[i].ID), events.F("error", fmt.Sprint(err)))
		return &taskOutput{}
	}
	t := outputOf(chunks, parts, r.batch.serviceOf(j))
	r.batch.Log("stored events loaded", events.F("job", j.Job), events.F("task", j.Tasks[i].ID), events.F("events", fmt.Sprint(t.lastEvent)),
		events.F("parts", fmt.Sprint(len(chunks))), events.F("writers", strings.Join(writersOf(chunks), ",")))
	return t
}

// serviceOf returns a service that the route of the job leads to, empty if there is none.
func (b *Batch) serviceOf(j *job.Job) string {
	route, found := b.CurrentView().Catalog.RouteByName(j.Route)
	if !found {
		return ""
	}
	return route.Pick(0)
}

// writersOf returns the writers of the chunks, each once for contiguous chunks of it.
func writersOf(chunks []job.Chunk) []string {
	var out []string
	for i := range chunks {
		out = append(out, chunks[i].Writer())
	}
	return slices.Compact(out)
}

// onLoaded sets the tasks and outputs of a loaded job and queues the reused results for
// the log. An output in partialOutputs replaces a shorter stored one. A load that ends after the job
// was left is ignored: runs may be adding events to the outputs of a later one.
func (r *runner) onLoaded(loaded loadedJob) {
	j := r.jobs[loaded.id]
	if j == nil || j != loaded.claimed {
		r.batch.Log("job load ignored", events.F("job", loaded.id), events.F("taken", fmt.Sprint(j != nil)))
		return
	}
	if loaded.err != nil {
		delay := r.unreadable.add(r.batch.Clock.Now(), loaded.id, loaded.err)
		r.batch.Log("job unreadable", events.F("job", loaded.id), events.F("error", loaded.err.Error()), events.F("retry_in", delay.String()))
		delete(r.jobs, loaded.id) // syncJobs adds and loads it again
		return
	}
	r.unreadable.remove(loaded.id)
	j.tasks, j.outputs, j.loading = loaded.tasks, loaded.outputs, false
	r.setJob(r.batch.CurrentView(), loaded.id, j)
	for i := range j.tasks {
		key := j.outputKey(i)
		p, found := r.partialOutputs[key]
		delete(r.partialOutputs, key)
		if !found || !j.job.AllowsVersions(p.output.versions) {
			continue
		}
		if p.output.kept().Events > j.outputs[i].lastEvent {
			j.outputs[i] = p.output
		}
	}
	for _, res := range loaded.reused {
		r.completeTask(j, res, 0)
	}
	if len(loaded.reused) > 0 {
		r.batch.Log("job results reused", events.F("job", loaded.id), events.F("results", fmt.Sprint(len(loaded.reused))))
	}
}
