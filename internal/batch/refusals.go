package batch

import (
	"fmt"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// maxQueuedRefusals bounds the refused parts that wait for the runner. The events of any others are
// generated again if the job changes hands.
const maxQueuedRefusals = 4096

// refusedPart is a part of a task's output that this instance has stored and the log does not keep.
type refusedPart struct {
	job  string
	task int
	at   job.Location
}

// OnRecord tells the runner which of its stored parts the log does not keep, and the restater that a
// job was requested, after a record of the log has been applied. It runs on the state goroutine.
func (b *Batch) OnRecord(r job.Record) {
	if r.JobsRequested != nil {
		b.restater.requested.Store(true)
	}
	if r.Progress == nil || r.Writer != b.Self {
		return
	}
	j := b.StateLoop.State.Jobs[r.Progress.Job]
	if j == nil || j.Incomplete {
		return
	}
	for _, c := range r.Progress.Chunks {
		if c.Task < 0 || c.Task >= len(j.Status) {
			continue
		}
		if j.Status[c.Task].IsLatestChunk(c) {
			b.Metrics.PartsKept.Inc()
			continue
		}
		b.Metrics.PartsRefused.Inc()
		b.logRefused(j, c)
		if j.Runner == b.Self {
			select {
			case b.runner.refusals <- refusedPart{j.Job, c.Task, c.Location}:
			default:
			}
		}
	}
}

func (b *Batch) logRefused(j *job.Job, c job.Chunk) {
	latest, by := int64(0), ""
	if chunks := j.Status[c.Task].Chunks; len(chunks) > 0 {
		latest, by = chunks[len(chunks)-1].Last, chunks[len(chunks)-1].Writer()
	}
	b.Log("stored events refused", events.F("job", j.Job), events.F("task", j.Tasks[c.Task].ID), events.F("first", fmt.Sprint(c.First)),
		events.F("last", fmt.Sprint(c.Last)), events.F("latest", fmt.Sprint(latest)), events.F("latest_by", by))
}

// onRefused stores the output of a refused part again from the first event on, with the next save.
func (r *runner) onRefused(p refusedPart) {
	if j := r.jobs[p.job]; j != nil && !j.loading {
		j.outputs[p.task].refused(p.at)
	}
}
