package batch

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// saveState is the state of saves, which store the outputs of unfinished tasks in the
// log, and of the handover. Only the runner's goroutine uses it.
type saveState struct {
	inProgress      bool          // a save is running
	started         time.Duration // when the latest save started
	results         chan bool     // one value for each save: whether its outputs are stored
	handingOver     bool          // all jobs are handed over: the instance is stopping or reaches no engine
	handoverStarted time.Duration
}

// sendHeartbeats sends a heartbeat for each job, if heartbeatInterval has passed. A
// heartbeat is a Progress record. It refers to the stored new events of long tasks, so
// that another instance can resume the tasks after them.
func (r *runner) sendHeartbeats(ctx context.Context) {
	now := r.batch.Clock.Now()
	if len(r.jobs) == 0 || now-r.lastHeartbeat < heartbeatInterval {
		return
	}
	r.lastHeartbeat = now
	if !r.saveOutputs(ctx) { // a save is running: send heartbeats without events
		for _, p := range r.heartbeats() {
			r.batch.AppendRecordAsync(job.Record{Progress: p})
		}
	}
}

// heartbeats returns a heartbeat without events for each job, by job id.
func (r *runner) heartbeats() map[string]*job.Progress {
	maxSlotWait := r.scheduler.MaxSlotWait(r.batch.Clock.Now()).Milliseconds()
	out := make(map[string]*job.Progress, len(r.jobs))
	for id, j := range r.jobs {
		out[id] = &job.Progress{Job: id, Term: j.term, MaxSlotWait: maxSlotWait}
	}
	return out
}

// saveOutputs starts a save: it stores the new events of the tasks, then sends a
// heartbeat for each job. It reports false if a save is running.
func (r *runner) saveOutputs(ctx context.Context) bool {
	if r.saves.inProgress {
		return false
	}
	r.saves.inProgress, r.saves.started = true, r.batch.Clock.Now()
	minEvents := int64(minChunkEvents)
	if r.saves.handingOver {
		minEvents = 1
	}
	var progress []*job.Progress
	var parts []outputPart
	for id, p := range r.heartbeats() {
		j := r.jobs[id]
		for i := range j.outputs {
			if j.recorded[i] || j.job.SingleVersion {
				continue
			}
			switch chunk, data, part := j.outputs[i].takeUnsaved(minEvents); {
			case part == nil:
			case len(data) > r.batch.Settings.Store.RecordBytes: // the complete output is too large as well
				j.outputs[i].notStored(part)
			default:
				chunk.Task = i
				p.Chunks = append(p.Chunks, chunk)
				parts = append(parts, outputPart{j.outputs[i], part, data})
			}
		}
		progress = append(progress, p)
	}
	go func() {
		stored := r.storeProgress(ctx, progress, parts)
		select {
		case r.saves.results <- stored:
		case <-ctx.Done():
		}
	}()
	return true
}

// outputPart is a part of an output to be stored.
type outputPart struct {
	output *taskOutput
	part   *unstoredPart
	data   []byte
}

// storeProgress stores the parts, one for each chunk, and appends the heartbeats that refer to them.
// If they cannot be stored, it appends heartbeats without events and returns false.
func (r *runner) storeProgress(ctx context.Context, progress []*job.Progress, parts []outputPart) (stored bool) {
	b := r.batch
	locations, err := r.storeParts(ctx, parts)
	if err != nil {
		b.Log("progress not stored", events.F("error", err.Error()))
	}
	for _, p := range progress {
		if err != nil {
			p.Chunks = nil
		}
		for i := range p.Chunks {
			p.Chunks[i].Location, locations = locations[0], locations[1:]
		}
		b.appendProgress(p)
	}
	return err == nil
}

// appendProgress appends the record, as two or more if it is too large for one.
func (b *Batch) appendProgress(p *job.Progress) {
	data, err := b.EncodeRecord(job.Record{Progress: p})
	if err != nil || len(data) <= b.Settings.Store.RecordBytes || max(len(p.Chunks), len(p.Unscored)) < 2 {
		b.AppendRecordAsync(job.Record{Progress: p}) // which logs what is dropped
		return
	}
	first, second := *p, job.Progress{Job: p.Job, Term: p.Term, MaxSlotWait: p.MaxSlotWait}
	chunks, unscored := len(p.Chunks)/2, len(p.Unscored)/2
	first.Chunks, second.Chunks = p.Chunks[:chunks], p.Chunks[chunks:]
	first.Unscored, second.Unscored = p.Unscored[:unscored], p.Unscored[unscored:]
	b.appendProgress(&first)
	b.appendProgress(&second)
}

// storeParts stores the parts and returns their locations: all or none, of which the outputs are told.
func (r *runner) storeParts(ctx context.Context, parts []outputPart) ([]job.Location, error) {
	var locations []job.Location
	for len(locations) < len(parts) {
		var records [][]byte
		size := 0
		for _, p := range parts[len(locations):] {
			if size += len(p.data); len(records) > 0 && size > r.batch.Settings.Store.CallBytes/2 {
				break
			}
			records = append(records, p.data)
		}
		stored, err := r.batch.StoreContent(ctx, records)
		if err != nil {
			for _, p := range parts {
				p.output.notStored(p.part)
			}
			return nil, err
		}
		locations = append(locations, stored...)
	}
	for i, p := range parts {
		p.output.stored(p.part, locations[i])
	}
	return locations, nil
}

// onLinks starts the handover of all jobs when the instance has lost its links to the engines,
// and ends it when they are back. Otherwise the heartbeats would keep the jobs here, where none
// of their tasks can run.
func (r *runner) onLinks(ctx context.Context, cut bool) {
	switch {
	case cut && !r.saves.handingOver:
		r.batch.Log("jobs handed over", events.F("reason", "no target is reached"), events.F("jobs", fmt.Sprint(len(r.jobs))))
		r.handOver(ctx)
	case !cut && r.saves.handingOver && !r.batch.IsStopping():
		r.saves.handingOver = false
	}
}

// handOver starts the handover of all jobs, including those that this instance gets
// later.
func (r *runner) handOver(ctx context.Context) {
	r.batch.AppendRecordAsync(job.Record{InstanceLeaving: &job.InstanceLeaving{}})
	r.saves.handingOver, r.saves.handoverStarted = true, r.batch.Clock.Now()
	r.saveOutputs(ctx)
}

// onSaved handles the end of a save. During a handover it releases the jobs whose latest
// events are stored, by a Claimed record without a runner. Their runs continue until
// another instance has claimed them.
func (r *runner) onSaved(ctx context.Context, stored bool) {
	s := &r.saves
	s.inProgress = false
	if !s.handingOver || !stored {
		return
	}
	if s.started < s.handoverStarted || r.batch.Clock.Now()-s.started > heartbeatInterval {
		r.saveOutputs(ctx) // store the events since the start of this save
		return
	}
	for id, j := range r.jobs {
		if j.released || j.loading {
			continue
		}
		j.released = true
		r.batch.AppendRecordAsync(job.Record{Claimed: &job.Claimed{Job: id, Term: j.term + 1}})
		r.batch.Log("job offered", events.F("job", id), events.F("term", fmt.Sprint(j.term+1)))
	}
}
