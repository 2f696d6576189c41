package batch

import (
	"context"
	"maps"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/occupancy"
)

// jobSnapshot is a copy of a job's state that is read outside the state goroutine.
type jobSnapshot struct {
	job           *job.Job
	runner        string
	term          int64
	status        []job.TaskStatus // only of assigned jobs
	results       []job.Result     // shared with the state, which only appends to them
	listedAtClaim int
	ended         bool
}

func newJobSnapshot(j *job.Job) jobSnapshot {
	return jobSnapshot{job: j, runner: j.Runner, term: j.Term, results: slices.Clip(j.Results), listedAtClaim: j.ListedAtClaim, ended: j.Ended}
}

// stateSnapshot is what the runner reads of the state.
type stateSnapshot struct {
	assigned         map[string]jobSnapshot // open jobs that this instance runs and about which it has read all records
	left             map[string]jobSnapshot // jobs that it has run until now
	orders           map[string]job.LoadOrder
	allowedStaleness map[string]int64
	runners          []occupancy.Runner
}

// readState reads the state. If ctx ends first, the snapshot is empty.
func (r *runner) readState(ctx context.Context) stateSnapshot {
	s := stateSnapshot{assigned: map[string]jobSnapshot{}, left: map[string]jobSnapshot{}}
	loop := r.batch.StateLoop
	loop.Do(ctx, func() {
		s.runners = runnersOf(loop.State)
		for id, j := range loop.State.Jobs {
			released := j.Runner == "" && r.jobs[id] != nil // released for handover, not claimed yet
			switch {
			case (j.Runner == r.batch.Self || released) && j.Open() && !j.Incomplete:
				snapshot := newJobSnapshot(j)
				snapshot.status = slices.Clone(j.Status)
				s.assigned[id] = snapshot
			case r.jobs[id] != nil:
				s.left[id] = newJobSnapshot(j)
			}
		}
		s.orders = maps.Clone(loop.State.LoadOrders)
		s.allowedStaleness = maps.Clone(loop.AllowedStaleness)
	})
	return s
}
