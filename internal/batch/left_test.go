package batch

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// takenJob returns a job with one task that a runner has taken and not loaded.
func takenJob(r *runner, submitted job.Submitted) *claimedJob {
	submitted.Tasks = []job.TaskRef{{ID: "t"}}
	j := &claimedJob{
		job: &job.Job{Submitted: submitted}, loading: true, recorded: make([]bool, 1), failures: make([]int, 1), groups: newJobGroups(submitted.Tasks, nil),
	}
	r.jobs[submitted.Job] = j
	return j
}

// startTestRun starts a run of the task of a loaded job.
func startTestRun(t *testing.T, r *runner, j *claimedJob) int64 {
	t.Helper()
	r.scheduler.SetEngines([]assign.Engine{{ID: "e", Service: "s", Slots: 1, Ready: true, Versions: map[string]int64{"m": 1}}})
	r.scheduler.Add(assign.Task{Key: assign.Key{Job: j.job.Job}, Service: "s", Model: "m"})
	starts := r.scheduler.Assign(0)
	if len(starts) != 1 {
		t.Fatalf("%d runs started", len(starts))
	}
	run := starts[0].Run
	j.outputs[0].startRun(run, "v1")
	j.outputs[0].addEvent(run, 1, []byte("a"), 1, 1)
	_, r.cancels[run] = context.WithCancel(context.Background())
	r.outputs[run], r.placed[run] = j.outputs[0], placedRun{group: j.groups.of(0)}
	return run
}

func newTestRunner() *runner {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}, LogOutput: io.Discard})}
	b.resultWriter, b.scorer = newResultWriter(b), newScorer(b)
	return newRunner(b)
}

// Guards against an instance that ends by itself: a run of a job that was left ended after the
// instance had taken the job again and before its outputs were loaded.
func TestRunOfALeftJobEndsWhileTheJobIsLoadedAgain(t *testing.T) {
	r := newTestRunner()
	j := takenJob(r, job.Submitted{Job: "j"})
	r.onLoaded(loadedJob{id: "j", claimed: j, tasks: make([]job.Task, 1), outputs: []*taskOutput{{}}})
	run := startTestRun(t, r, j)
	r.dropJob("j", j)
	again := takenJob(r, job.Submitted{Job: "j"})
	r.onRunEnd(runEnd{run: run, key: assign.Key{Job: "j"}, taskID: "t", engine: "e", outcome: assign.Canceled})
	if r.jobs["j"] != again || len(r.batch.resultWriter.queue) > 0 {
		t.Fatal("the end of the run has changed the job that is loaded")
	}
}

// Guards against results that begin with the events of another model: the outputs of a job that was
// left were kept by account and task only.
func TestOutputsOfALeftJobAreNotThoseOfAnotherModelOrRoute(t *testing.T) {
	first := job.Submitted{Job: "j", Account: "a", Model: "m", Route: "r"}
	for _, later := range []struct {
		job.Submitted
		events int64
	}{
		{job.Submitted{Job: "k", Account: "a", Model: "m", Route: "r"}, 1},
		{job.Submitted{Job: "k", Account: "a", Model: "other", Route: "r"}, 0},
		{job.Submitted{Job: "k", Account: "a", Model: "m", Route: "other"}, 0},
	} {
		r := newTestRunner()
		load := func(submitted job.Submitted) *claimedJob {
			j := takenJob(r, submitted)
			r.onLoaded(loadedJob{id: submitted.Job, claimed: j, tasks: make([]job.Task, 1), outputs: []*taskOutput{{}}})
			return j
		}
		j := load(first)
		startTestRun(t, r, j)
		r.dropJob("j", j)
		if kept := load(later.Submitted).outputs[0].eventCount(); kept != later.events {
			t.Errorf("%d events are kept for a job of model %s and route %s", kept, later.Model, later.Route)
		}
	}
}

// Guards against a listed output that joins events of two software versions: a task was given up
// while it was not known which version makes the events of its run.
func TestGivenUpOutputHasNoEventsOfAnUnknownMakerAfterOthers(t *testing.T) {
	for _, events := range []struct{ before, listed string }{{"a", "a"}, {"", "b"}} {
		r := newTestRunner()
		j := takenJob(r, job.Submitted{Job: "j"})
		output := &taskOutput{}
		r.onLoaded(loadedJob{id: "j", claimed: j, tasks: make([]job.Task, 1), outputs: []*taskOutput{output}})
		if events.before != "" {
			startTestRun(t, r, j)
		}
		after := output.startRun(2, "v1")
		output.expectMaker(2, &maker{known: func() bool { return false }})
		output.addEvent(2, after+1, []byte("b"), 1, 2)
		r.giveUpTask("j", j, 0)
		if result := <-r.batch.resultWriter.queue; string(result.output) != events.listed {
			t.Errorf("the output %q is listed, with %q before the run", result.output, events.before)
		}
	}
}

// Guards against a record with each try: a job that another writer has made up was taken and read
// again five times a second.
func TestJobThatCannotBeReadIsTriedLessAndLessOften(t *testing.T) {
	for err, most := range map[error]int{errors.New("2 of 3 tasks are stored"): 11, platform.ErrRefused: 62} {
		var u unreadableJobs
		tries := 0
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if !u.isPutOff(now, "j") {
				tries++
				u.add(now, "j", err)
			}
		}
		if tries > most || tries < 5 {
			t.Errorf("%v: %d tries in a minute, want at most %d", err, tries, most)
		}
	}
}

// Guards against tasks of a submission that the log has not accepted: an instance got another one of the
// same id.
func TestCachedTasksAreThoseOfTheAcceptedSubmission(t *testing.T) {
	r := newTestRunner()
	stored := []job.Location{{Offset: 1, Records: 1}}
	for _, content := range [][]job.Location{stored, {{Offset: 2, Records: 1}}} {
		r.cacheTasks(cacheKey("a", "j"), make([]job.Task, 1), stored)
		accepted := &job.Job{Submitted: job.Submitted{Job: "j", Account: "a", Content: content}}
		if found := r.takeCached(accepted) != nil; found != (content[0] == stored[0]) || r.takeCached(accepted) != nil {
			t.Errorf("tasks of %v for a submission of %v: %t", stored, content, found)
		}
	}
}
