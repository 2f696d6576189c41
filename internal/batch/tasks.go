package batch

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// updateTasks updates the tasks of a job from their status in the log: it stops the tasks
// that have a result, gives up those that may not run again, and schedules the others.
// After a server error a task is scheduled again only when its failure record has been
// applied.
func (r *runner) updateTasks(view *node.View, id string, j *claimedJob, status []job.TaskStatus) {
	if j.loading || view.Catalog == nil { // nothing tells yet whether the route is there
		return
	}
	b := r.batch
	service := ""
	route, routeFound := view.Catalog.RouteByName(j.job.Route)
	if routeFound {
		service = route.Pick(b.Rand64())
	}
	routeEnded := !routeFound && view.Catalog.Version >= j.job.Configuration // an older version may not have it yet
	age := b.Clock.Wall().UnixMilli() - j.job.SubmittedAt
	for i := range j.tasks {
		key := assign.Key{Job: id, Task: i}
		switch {
		case status[i].Listed:
			j.recorded[i] = true
			r.stopTask(key)
		case j.recorded[i]:
		case status[i].Unscored != nil && j.job.AllowsVersions(status[i].Unscored.Versions):
			r.useStoredOutput(id, j, i, *status[i].Unscored, status[i].ScoreFailures)
		case routeEnded, status[i].Failures >= j.job.MaxAttempts, j.job.Retention > 0 && age > j.job.Retention:
			r.giveUpTask(id, j, i)
		case routeFound && !r.scheduler.Has(key) && status[i].Failures >= j.failures[i]:
			r.scheduleTask(j, i, service, status[i])
		case routeFound:
			if current, found := r.scheduler.ServiceOf(key); found && !route.Serves(current) {
				r.scheduler.SetService(key, service) // the route has moved
			}
		}
	}
}

func (r *runner) scheduleTask(j *claimedJob, i int, service string, status job.TaskStatus) {
	t := &j.tasks[i]
	length := t.LengthHint
	if length == 0 {
		length = t.MaxTokens
	}
	j.groups.of(i).taskWaits(r.batch.Clock.Now())
	r.scheduler.Add(assign.Task{
		Key: assign.Key{Job: j.job.Job, Task: i}, Service: service, Model: j.job.Model, MinVersion: j.job.MinVersion,
		Group: j.job.Job + "/" + fmt.Sprint(j.job.Tasks[i].Group), ExpectedTokens: length, Resubmitted: status.Resubmitted,
		Submitted: time.Duration(j.job.SubmittedAt) * time.Millisecond, Kept: j.outputs[i].kept(), WaitingSince: r.batch.Clock.Now(),
	})
}
