package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// saveState tells how far the storing of unfinished texts has come. The runner's
// goroutine owns it.
type saveState struct {
	inProgress      bool // a save is on its way
	started         time.Duration
	results         chan bool     // one value for each save: whether its texts are stored
	handingOver     bool          // the instance stops: all jobs are handed over
	handoverStarted time.Duration // when that began
}

// heartbeat shows that the runner lives, and stores the events that long tasks have
// made, so that another instance can go on from them.
func (r *runner) heartbeat(ctx context.Context) {
	now := r.node.clock.Now()
	if len(r.jobs) == 0 || now-r.lastHeartbeat < heartbeatInterval {
		return
	}
	r.lastHeartbeat = now
	if !r.save(ctx) { // the sign of life does not wait for the texts
		for _, p := range r.heartbeats() {
			r.node.appendRecordAsync(job.Record{Progress: p})
		}
	}
}

// heartbeats returns a sign of life for each job.
func (r *runner) heartbeats() map[string]*job.Progress {
	shortage := r.scheduler.MaxSlotWait(r.node.clock.Now()).Milliseconds()
	out := make(map[string]*job.Progress, len(r.jobs))
	for id, o := range r.jobs {
		out[id] = &job.Progress{Job: id, Term: o.term, MaxSlotWait: shortage}
	}
	return out
}

// save stores new events and a sign of life for each job. It reports false while the
// last save is on its way.
func (r *runner) save(ctx context.Context) bool {
	if r.saves.inProgress {
		return false
	}
	r.saves.inProgress, r.saves.started = true, r.node.clock.Now()
	least := int64(minChunkEvents)
	if r.saves.handingOver {
		least = 1
	}
	var progress []*job.Progress
	var texts [][]byte
	for id, p := range r.heartbeats() {
		o := r.jobs[id]
		for i := range o.texts {
			if o.recorded[i] || o.job.SingleVersion {
				continue
			}
			if first, last, text, versions := o.texts[i].takeUnsaved(least); last > 0 {
				p.Chunks = append(p.Chunks, job.Chunk{Task: i, First: first, Last: last, Versions: versions})
				texts = append(texts, text)
			}
		}
		progress = append(progress, p)
	}
	go func() {
		stored := r.storeProgress(ctx, progress, texts)
		select {
		case r.saves.results <- stored:
		case <-ctx.Done():
		}
	}()
	return true
}

func (r *runner) storeProgress(ctx context.Context, progress []*job.Progress, texts [][]byte) (stored bool) {
	n := r.node
	stored = true
	var at []job.Location
	if len(texts) > 0 {
		var err error
		if at, err = n.storeContent(ctx, texts); err != nil {
			n.log("progress not stored", events.F("error", err.Error()))
			stored = false
			for _, p := range progress {
				p.Chunks = nil
			}
		}
	}
	for _, p := range progress {
		for i := range p.Chunks {
			p.Chunks[i].Location, at = at[0], at[1:]
		}
		n.appendRecordAsync(job.Record{Progress: p})
	}
	return stored
}

// handOver begins to hand all jobs over, those that come later too.
func (r *runner) handOver(ctx context.Context) {
	r.node.appendRecordAsync(job.Record{InstanceLeaving: &job.InstanceLeaving{}})
	r.saves.handingOver, r.saves.handoverStarted = true, r.node.clock.Now()
	r.save(ctx)
}

// onSaved notes the end of a save. While the instance stops, jobs whose newest events
// are stored are offered to the other instances; their runs go on until one has
// claimed them.
func (r *runner) onSaved(ctx context.Context, stored bool) {
	s := &r.saves
	s.inProgress = false
	if !s.handingOver || !stored {
		return
	}
	if s.started < s.handoverStarted || r.node.clock.Now()-s.started > heartbeatInterval {
		r.save(ctx) // what was stored is old by now
		return
	}
	for id, o := range r.jobs {
		if o.released || o.loading {
			continue
		}
		o.released = true
		r.node.appendRecordAsync(job.Record{Claimed: &job.Claimed{Job: id, Term: o.term + 1}})
		r.node.log("job offered", events.F("job", id), events.F("term", fmt.Sprint(o.term+1)))
	}
}
