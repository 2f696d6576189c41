package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// loadRetryDelay is how long a job that could not be read waits for the next try.
const loadRetryDelay = 200 * time.Millisecond

// load reads what a job needs to run here: its tasks, and what earlier runs have
// left of their texts.
func (r *runner) load(ctx context.Context, m jobSnapshot) {
	l := loadedJob{id: m.job.Job}
	r.mu.Lock()
	known, kept := r.taskCache[l.id]
	delete(r.taskCache, l.id)
	r.mu.Unlock()
	if kept {
		l.tasks = known.tasks
	} else {
		l.tasks, l.err = r.node.tasksOf(ctx, l.id)
	}
	if l.err == nil && len(l.tasks) != len(m.job.Tasks) {
		l.err = fmt.Errorf("job %s: %d tasks are stored of %d", l.id, len(l.tasks), len(m.job.Tasks))
	}
	if l.err == nil {
		l.reused = r.reusableResults(ctx, m)
		l.texts = make([]*taskOutput, len(l.tasks))
		for i := range l.texts {
			l.texts[i] = r.loadOutput(ctx, m, i)
		}
	}
	if l.err != nil {
		clock.Sleep(ctx, loadRetryDelay)
	}
	select {
	case r.loadedJobs <- l:
	case <-ctx.Done():
	}
}

// reusableResults returns the results of earlier jobs that hold for this one too.
func (r *runner) reusableResults(ctx context.Context, m jobSnapshot) []taskResult {
	var out []taskResult
	r.node.stateLoop.do(ctx, func() {
		for i := range m.status {
			if m.status[i].Listed || !m.status[i].Resubmitted {
				continue
			}
			e, found := r.node.stateLoop.state.EarlierResult(m.job, i)
			if found && versionsAllowed(m.job, e.Versions) {
				at := e.Location
				out = append(out, taskResult{job: m.job.Job, task: i, id: m.job.Tasks[i].ID, completed: true, versions: e.Versions, at: &at})
			}
		}
	})
	return out
}

// versionsAllowed reports whether a text of the versions may stand in the job's results.
func versionsAllowed(j *job.Job, versions []int64) bool {
	return len(versions) > 0 && versions[0] >= j.MinVersion && (!j.SingleVersion || len(versions) == 1)
}

// loadOutput returns what the log holds of a task's text, and an empty text where that
// cannot be read: the task then starts again.
func (r *runner) loadOutput(ctx context.Context, m jobSnapshot, i int) *taskOutput {
	t := &taskOutput{}
	chunks := m.status[i].ContiguousChunks(m.job.MinVersion)
	if len(chunks) == 0 || m.status[i].Listed || m.job.SingleVersion {
		return t
	}
	at := make([]job.Location, len(chunks))
	for k, c := range chunks {
		at[k] = c.Location
	}
	parts, err := r.node.loadContent(ctx, at)
	if err != nil {
		r.node.log("text unreadable", events.F("job", m.job.Job), events.F("task", fmt.Sprint(i)), events.F("error", err.Error()))
		return t
	}
	for k, c := range chunks {
		if k > 0 {
			t.text = append(t.text, '\n')
		}
		t.text = append(t.text, parts[k]...)
		t.last = c.Last
		for _, v := range c.Versions {
			t.versions = withVersion(t.versions, v)
		}
	}
	t.savedLast, t.savedBytes = t.last, len(t.text)
	return t
}

// onLoaded takes a job's tasks and texts.
func (r *runner) onLoaded(l loadedJob) {
	o := r.jobs[l.id]
	if o == nil {
		return
	}
	if l.err != nil {
		r.node.log("job unreadable", events.F("job", l.id), events.F("error", l.err.Error()))
		delete(r.jobs, l.id) // taken again, and read again, at the next change
		return
	}
	o.tasks, o.texts, o.loading = l.tasks, l.texts, false
	for i := range o.tasks {
		key := o.job.Account + "/" + o.job.Tasks[i].ID
		p, found := r.partialOutputs[key]
		delete(r.partialOutputs, key)
		if !found || !versionsAllowed(o.job, p.text.versions) {
			continue
		}
		if last, _ := p.text.progress(); last > o.texts[i].last {
			o.texts[i] = p.text
		}
	}
	for _, f := range l.reused {
		o.recorded[f.task] = true
		r.node.resultWriter.queue <- f
	}
	if len(l.reused) > 0 {
		r.node.log("job results reused", events.F("job", l.id), events.F("results", fmt.Sprint(len(l.reused))))
	}
}
