package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// saveState is the progress of storing the outputs of unfinished tasks. Only the runner's
// goroutine uses it.
type saveState struct {
	inProgress      bool          // a save is running
	started         time.Duration // start of the latest save
	results         chan bool     // one value for each save: whether its outputs are stored
	handingOver     bool          // the instance is stopping: all jobs are handed over
	handoverStarted time.Duration // start of the handover
}

// heartbeat sends a heartbeat for each job every heartbeatInterval, together with the new
// events of long tasks, so that another instance can resume from them.
func (r *runner) heartbeat(ctx context.Context) {
	now := r.instance.clock.Now()
	if len(r.jobs) == 0 || now-r.lastHeartbeat < heartbeatInterval {
		return
	}
	r.lastHeartbeat = now
	if !r.save(ctx) { // a save is still running: send plain heartbeats
		for _, p := range r.heartbeats() {
			r.instance.appendRecordAsync(job.Record{Progress: p})
		}
	}
}

// heartbeats returns a heartbeat for each job, by id.
func (r *runner) heartbeats() map[string]*job.Progress {
	maxSlotWait := r.scheduler.MaxSlotWait(r.instance.clock.Now()).Milliseconds()
	out := make(map[string]*job.Progress, len(r.jobs))
	for id, j := range r.jobs {
		out[id] = &job.Progress{Job: id, Term: j.term, MaxSlotWait: maxSlotWait}
	}
	return out
}

// save starts to store new events and a heartbeat for each job. It reports false while
// the last save is running.
func (r *runner) save(ctx context.Context) bool {
	if r.saves.inProgress {
		return false
	}
	r.saves.inProgress, r.saves.started = true, r.instance.clock.Now()
	minEvents := int64(minChunkEvents)
	if r.saves.handingOver {
		minEvents = 1
	}
	var progress []*job.Progress
	var outputs [][]byte
	for id, p := range r.heartbeats() {
		j := r.jobs[id]
		for i := range j.outputs {
			if j.recorded[i] || j.job.SingleVersion {
				continue
			}
			if first, last, data, versions := j.outputs[i].takeUnsaved(minEvents); last > 0 {
				p.Chunks = append(p.Chunks, job.Chunk{Task: i, First: first, Last: last, Versions: versions})
				outputs = append(outputs, data)
			}
		}
		progress = append(progress, p)
	}
	go func() {
		stored := r.storeProgress(ctx, progress, outputs)
		select {
		case r.saves.results <- stored:
		case <-ctx.Done():
		}
	}()
	return true
}

// storeProgress stores the outputs and appends the heartbeats that refer to them. If the
// outputs are not stored, it appends plain heartbeats and returns false.
func (r *runner) storeProgress(ctx context.Context, progress []*job.Progress, outputs [][]byte) (stored bool) {
	in := r.instance
	stored = true
	var locations []job.Location
	if len(outputs) > 0 {
		var err error
		if locations, err = in.storeContent(ctx, outputs); err != nil {
			in.log("progress not stored", events.F("error", err.Error()))
			stored = false
			for _, p := range progress {
				p.Chunks = nil
			}
		}
	}
	for _, p := range progress {
		for i := range p.Chunks {
			p.Chunks[i].Location, locations = locations[0], locations[1:]
		}
		in.appendRecordAsync(job.Record{Progress: p})
	}
	return stored
}

// handOver starts the handover of all jobs, including those assigned to this instance
// later.
func (r *runner) handOver(ctx context.Context) {
	r.instance.appendRecordAsync(job.Record{InstanceLeaving: &job.InstanceLeaving{}})
	r.saves.handingOver, r.saves.handoverStarted = true, r.instance.clock.Now()
	r.save(ctx)
}

// onSaved handles the end of a save. While the instance is stopping, jobs whose newest
// events are stored are released to the other instances; their runs continue until one
// has claimed them.
func (r *runner) onSaved(ctx context.Context, stored bool) {
	s := &r.saves
	s.inProgress = false
	if !s.handingOver || !stored {
		return
	}
	if s.started < s.handoverStarted || r.instance.clock.Now()-s.started > heartbeatInterval {
		r.save(ctx) // newer events are not stored yet
		return
	}
	for id, j := range r.jobs {
		if j.released || j.loading {
			continue
		}
		j.released = true
		r.instance.appendRecordAsync(job.Record{Claimed: &job.Claimed{Job: id, Term: j.term + 1}})
		r.instance.log("job offered", events.F("job", id), events.F("term", fmt.Sprint(j.term+1)))
	}
}
