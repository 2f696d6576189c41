package batch

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// placedRun is what is logged of a run when it ends.
type placedRun struct {
	at     time.Duration // of its start
	inputs assign.Inputs
	group  *taskGroup
}

// setJob tells the scheduler when the groups of a job are due and how many its caller waits for.
func (r *runner) setJob(view *node.View, id string, j *claimedJob) {
	info := assign.Job{GroupsWanted: j.job.GroupsWanted, Groups: len(j.groups.byNumber)}
	if deadline := resultDeadline(view, j.job); deadline > 0 {
		info.Due = r.batch.Clock.Now() - r.age(j.job) + deadline
	}
	r.scheduler.SetJob(id, info)
}

// resultDeadline returns how long after its submission the results of a job are due; zero: it is
// not known.
func resultDeadline(view *node.View, j *job.Job) time.Duration {
	if view.Catalog == nil {
		return 0
	}
	route, found := view.Catalog.RouteByName(j.Route)
	if !found {
		return 0
	}
	return max(0, route.ResultDeadline)
}

// age returns the time since the job's submission.
func (r *runner) age(j *job.Job) time.Duration {
	return time.Duration(r.batch.Clock.Wall().UnixMilli()-j.SubmittedAt) * time.Millisecond
}

// notePlaced logs what a run was placed on.
func (r *runner) notePlaced(now time.Duration, s assign.Start, j *claimedJob) {
	in := s.Inputs
	group := j.groups.of(s.Task.Task)
	group.runStarted(in)
	r.placed[s.Run] = placedRun{now, in, group}
	r.batch.Metrics.ObserveTaskWait(j.job.Account, in.Waited)
	slack := "unknown"
	if in.SlackKnown {
		slack = in.Slack.Round(time.Millisecond).String()
		r.batch.Metrics.StartSlack.Update(max(0, in.Slack.Seconds()))
		if in.Slack < 0 {
			r.batch.Metrics.StartsLate.Inc()
		}
	}
	r.batch.Log("run placed", events.F("account", j.job.Account), events.F("job", s.Task.Job),
		events.F("task", j.job.Tasks[s.Task.Task].ID), events.F("target", s.Engine),
		events.F("remaining", in.Remaining.Round(time.Millisecond).String()), events.F("slack", slack),
		events.F("own", fmt.Sprint(in.Own)), events.F("others", fmt.Sprint(in.Others)),
		events.F("news_age", in.NewsAge.Round(time.Millisecond).String()), events.F("waited", in.Waited.Round(time.Millisecond).String()))
}

// noteEnded logs how the run of a task went that is complete.
func (r *runner) noteEnded(now time.Duration, end runEnd, p placedRun, j *claimedJob) {
	output := j.outputs[end.key.Task]
	first := "none"
	if at := output.firstEvent(); at > 0 {
		first = (at - p.at).Round(time.Millisecond).String()
	}
	r.batch.Log("task ended", events.F("account", j.job.Account), events.F("job", end.key.Job), events.F("task", end.taskID), events.F("target", end.engine),
		events.F("events", fmt.Sprint(output.eventCount())), events.F("first_event", first),
		events.F("waited", p.inputs.Waited.Round(time.Millisecond).String()), events.F("runs", fmt.Sprint(p.inputs.Runs)),
		events.F("expected", p.inputs.Remaining.Round(time.Millisecond).String()), events.F("took", (now-p.at).Round(time.Millisecond).String()))
}

// reclaims keeps when the targets that have given notice are reclaimed. An entry states the time
// that was left when it was written.
type reclaims map[string]reclaim

type reclaim struct {
	startedAt, heartbeat int64
	at                   time.Duration
}

// set sets ReclaimedAt of the engines whose targets have given notice.
func (r reclaims) set(now time.Duration, view *node.View, engines []assign.Engine) {
	noticed := map[string]bool{}
	for i := range engines {
		e := &engines[i]
		t, found := view.Target(e.ID)
		if !found || t.ReclaimedIn <= 0 || t.ReclaimedIn > directory.MaxReclaimNotice {
			continue
		}
		noticed[e.ID] = true
		if known := r[e.ID]; known.startedAt != t.StartedAt || known.heartbeat != t.HeartbeatSeq {
			r[e.ID] = reclaim{t.StartedAt, t.HeartbeatSeq, now + t.ReclaimedIn}
		}
		e.ReclaimedAt = r[e.ID].at
	}
	for id := range r {
		if !noticed[id] {
			delete(r, id)
		}
	}
}
