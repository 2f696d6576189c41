package batch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// Outcomes of groups.
const (
	groupInTime     = "in time"    // all its tasks are completed by its due time, or it has none
	groupLate       = "late"       // all its tasks are completed, later
	groupGivenUp    = "given up"   // a task of it is listed as not completed
	groupUnfinished = "unfinished" // its job ended before all its tasks had results
)

// jobGroups follows the groups of a job until each has ended: all its tasks have results, or its
// job has ended. It reads the results in the order of the log, so that its work grows with the
// results and not with the reads.
type jobGroups struct {
	tasks    []job.TaskRef
	byNumber map[int]*taskGroup
	read     int // results that have been read
}

// taskGroup is what is known of a group. Waits and runs are those at this instance.
type taskGroup struct {
	first           int // index of its first task
	tasks, unlisted int
	givenUp         bool

	waitsSince          time.Duration // when its first task could start
	waiting             int           // tasks that wait for their first run
	started             bool          // a run has started
	firstWait, lastWait time.Duration // of the first and the last task that got an engine
	longestRun          time.Duration
	runs, moved         int
}

// newJobGroups returns the groups of a job. before are the results before this instance claimed
// it: the earlier runner counts the groups that they end.
func newJobGroups(tasks []job.TaskRef, before []job.Result) *jobGroups {
	g := &jobGroups{tasks: tasks, byNumber: map[int]*taskGroup{}}
	for i, t := range tasks {
		if g.byNumber[t.Group] == nil {
			g.byNumber[t.Group] = &taskGroup{first: i}
		}
		g.of(i).tasks++
		g.of(i).unlisted++
	}
	g.list(before)
	return g
}

// of returns the group of the task with the index.
func (g *jobGroups) of(task int) *taskGroup { return g.byNumber[g.tasks[task].Group] }

// list reads the results of the job that were not read before, and returns the groups that have
// ended with them.
func (g *jobGroups) list(results []job.Result) (ended []*taskGroup) {
	for ; g.read < len(results); g.read++ {
		group := g.of(results[g.read].Task)
		group.unlisted--
		group.givenUp = group.givenUp || !results[g.read].Completed
		if group.unlisted == 0 {
			ended = append(ended, group)
		}
	}
	return ended
}

// unfinished returns the groups that have not ended, in the order of their first tasks.
func (g *jobGroups) unfinished() (open []*taskGroup) {
	for _, group := range g.byNumber {
		if group.unlisted > 0 {
			open = append(open, group)
		}
	}
	slices.SortFunc(open, func(a, b *taskGroup) int { return cmp.Compare(a.first, b.first) })
	return open
}

// taskWaits notes that a task of the group waits for an engine.
func (g *taskGroup) taskWaits(now time.Duration) {
	if g.waitsSince == 0 {
		g.waitsSince = now
	}
	g.waiting++
}

// runStarted notes that a run of a task starts.
func (g *taskGroup) runStarted(in assign.Inputs) {
	g.runs++
	if in.Runs > 1 {
		return // only the wait for the first run of a task counts
	}
	g.waiting--
	if !g.started {
		g.started, g.firstWait = true, in.Waited
	}
	g.lastWait = max(g.lastWait, in.Waited)
}

// waits returns how long the first and the last task of an ended group waited for an engine. A
// task that got none has waited until now.
func (g *taskGroup) waits(now time.Duration, outcome string) (first, last time.Duration) {
	first, last = g.firstWait, g.lastWait
	if g.waiting <= 0 || outcome == groupInTime || outcome == groupLate {
		return first, last
	}
	last = now - g.waitsSince
	if !g.started {
		first = last
	}
	return first, last
}

// outcome returns the outcome of an ended group. due is zero if it has no due time; both are
// since the submission of the job.
func (g *taskGroup) outcome(took, due time.Duration) string {
	switch {
	case g.givenUp:
		return groupGivenUp
	case g.unlisted > 0:
		return groupUnfinished
	case due > 0 && took > due:
		return groupLate
	default:
		return groupInTime
	}
}

// noteListed counts and logs the groups that have ended with the results of a job.
//
// Each group is counted by one runner: the place of the last claim in the log decides, so that a
// group whose last result is before the claim is counted by the earlier runner, and one whose
// last result is after it by the new one, whenever they read the log. A runner that crashes
// counts none of the groups whose last result it has not read; those before the next claim are
// not counted at all. The same holds for the groups of a job that ends while it has no runner. A
// runner that loses a job and gets it back between two reads of the state counts the groups of the
// other runner too.
func (r *runner) noteListed(view *node.View, j *claimedJob, results []job.Result) {
	for _, g := range j.groups.list(results) {
		r.noteGroup(view, j, g)
	}
}

// noteLeft counts and logs the groups of a job that this instance runs no more, as it is closed
// or another instance has claimed it.
func (r *runner) noteLeft(view *node.View, j *claimedJob, last jobSnapshot) {
	if last.runner != r.batch.Self && last.runner != "" {
		r.noteListed(view, j, last.results[:last.listedAtClaim])
		return
	}
	r.noteListed(view, j, last.results)
	if last.ended {
		for _, g := range j.groups.unfinished() {
			r.noteGroup(view, j, g)
		}
	}
}

// noteGroup counts and logs a group that has ended.
func (r *runner) noteGroup(view *node.View, j *claimedJob, g *taskGroup) {
	took, due := r.age(j.job), resultDeadline(view, j.job)
	outcome := g.outcome(took, due)
	first, last := g.waits(r.batch.Clock.Now(), outcome)
	name, dueText := "unknown", "unknown"
	if len(j.tasks) > 0 { // the tasks have been read
		name = j.tasks[g.first].Group
	}
	if due > 0 {
		dueText = due.String()
	}
	r.batch.Metrics.CountGroup(j.job.Account, outcome)
	r.batch.Log("group ended", events.F("account", j.job.Account), events.F("job", j.job.Job), events.F("group", name),
		events.F("outcome", outcome), events.F("tasks", fmt.Sprint(g.tasks)), events.F("listed", fmt.Sprint(g.tasks-g.unlisted)),
		events.F("took", took.String()), events.F("due", dueText),
		events.F("first_wait", first.Round(time.Millisecond).String()), events.F("last_wait", last.Round(time.Millisecond).String()),
		events.F("longest_run", g.longestRun.Round(time.Millisecond).String()), events.F("runs", fmt.Sprint(g.runs)), events.F("moved", fmt.Sprint(g.moved)))
}
