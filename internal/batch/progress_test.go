package batch

import (
	"context"
	"io"
	"testing"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a result with the events of another output: a job was left and taken again while
// it was read, and the read that ended last replaced the output to which a run added events.
func TestLateLoadOfAJobDoesNotReplaceTheOutputOfARun(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}, LogOutput: io.Discard})}
	b.resultWriter = newResultWriter(b)
	r := newRunner(b)
	take := func() (*claimedJob, loadedJob) {
		tasks := []job.TaskRef{{ID: "t"}}
		j := &claimedJob{
			job: &job.Job{Submitted: job.Submitted{Job: "j", Tasks: tasks}}, loading: true, recorded: make([]bool, 1), failures: make([]int, 1), groups: newJobGroups(tasks, nil),
		}
		r.jobs["j"] = j
		return j, loadedJob{id: "j", claimed: j, tasks: make([]job.Task, 1), outputs: []*taskOutput{{}}}
	}
	_, early := take()
	delete(r.jobs, "j")
	j, late := take()
	r.onLoaded(late)
	r.scheduler.SetEngines([]assign.Engine{{ID: "e", Service: "s", Slots: 1, Ready: true, Versions: map[string]int64{"m": 1}}})
	r.scheduler.Add(assign.Task{Key: assign.Key{Job: "j"}, Service: "s", Model: "m"})
	starts := r.scheduler.Assign(0)
	if len(starts) != 1 {
		t.Fatalf("%d runs started", len(starts))
	}
	run := starts[0].Run
	output := j.outputs[0]
	output.startRun(run, "v1")
	output.addEvent(run, 1, []byte("a"), 1, 1)
	_, r.cancels[run] = context.WithCancel(context.Background())
	r.outputs[run], r.placed[run] = output, placedRun{group: j.groups.of(0)}
	r.onLoaded(early)
	r.onRunEnd(runEnd{run: run, key: assign.Key{Job: "j"}, taskID: "t", engine: "e", outcome: assign.Completed})
	if result := <-b.resultWriter.queue; string(result.output) != "a" {
		t.Fatalf("the output of the completed task is %q", result.output)
	}
}
