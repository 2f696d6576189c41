package batch

import (
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against groups that two runners count, or none, when a job is claimed: each group is
// counted by the one that ran the job at its last result, although both read later records too.
func TestGroupsAreCountedByOneRunner(t *testing.T) {
	state := job.NewState()
	list := func(completed bool, tasks ...int) {
		for _, i := range tasks {
			state.Apply(0, 0, job.Record{Listed: &job.Listed{Job: "j", Results: []job.Result{{Task: i, Completed: completed}}}})
		}
	}
	count := func(self string, before int, s jobSnapshot) string {
		b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}, LogOutput: io.Discard})}
		b.Self = self
		newRunner(b).noteLeft(b.CurrentView(), &claimedJob{job: s.job, groups: newJobGroups(s.job.Tasks, s.results[:before])}, s)
		var page bytes.Buffer
		b.Metrics.Set.WritePrometheus(&page)
		return strings.Join(regexp.MustCompile(`groups_total.*`).FindAllString(page.String(), -1), " ")
	}
	tasks := []job.TaskRef{{Group: 0}, {Group: 0}, {Group: 1}, {Group: 1}, {Group: 2}, {Group: 2}, {Group: 3}, {Group: 3}}
	state.Apply(0, 0, job.Record{At: time.Now().UnixMilli(), Submitted: &job.Submitted{Job: "j", Account: "acme", Runner: "old", Tasks: tasks}})
	list(true, 0, 1, 2)
	state.Apply(0, 0, job.Record{Claimed: &job.Claimed{Job: "j", Term: 1}}) // a release
	list(true, 4, 5)
	state.Apply(0, 0, job.Record{Claimed: &job.Claimed{Job: "j", Term: 2, Runner: "new"}})
	list(true, 3)
	list(false, 6, 7)
	s := newJobSnapshot(state.Jobs["j"])
	if got := count("old", 0, s); got != `groups_total{account="acme",outcome="in time"} 2` {
		t.Error("old runner:", got)
	}
	s.results, s.ended = s.results[:7], true // the job ends before the last result
	if got := count("new", s.listedAtClaim, s); got != `groups_total{account="acme",outcome="given up"} 1 groups_total{account="acme",outcome="in time"} 1` {
		t.Error("new runner:", got)
	}
}

// Guards against a late group that counts as one in time, and against tasks that never got an
// engine and so show no wait.
func TestOutcomeAndWaitsOfGroups(t *testing.T) {
	g := &taskGroup{unlisted: 1}
	g.taskWaits(time.Second)
	g.taskWaits(time.Second)
	g.runStarted(assign.Inputs{Runs: 1, Waited: 2 * time.Second})
	if first, last := g.waits(10*time.Second, g.outcome(9*time.Second, 8*time.Second)); first != 2*time.Second || last != 9*time.Second {
		t.Errorf("waits of an unfinished group: %v, %v", first, last)
	}
	g.unlisted = 0
	if in, late, noDue := g.outcome(8, 8), g.outcome(9, 8), g.outcome(9, 0); in != groupInTime || late != groupLate || noDue != groupInTime {
		t.Errorf("outcomes %q, %q, %q", in, late, noDue)
	}
}
