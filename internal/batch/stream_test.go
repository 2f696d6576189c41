package batch

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a task whose last event was received just before its run was stopped: the engine
// answered each further run with an empty stream without a version, which counted as too old
// weights, and the task ran again for ever.
func TestRunThatResumesAfterTheLastEventCompletesTheTask(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	for _, c := range []struct {
		name, body string
		version    int64
		kept       bool
		want       assign.Outcome
	}{
		{"an empty stream after all events", "", 0, true, assign.Completed},
		{"an event without a version", "id: 2\ndata: b\n\n", 0, true, assign.Stale},
		{"an event of too old weights", "id: 2\ndata: b\n\n", 7, true, assign.Stale},
		{"weights that are too old before any event", "", 7, false, assign.Stale},
		{"a further event of recent weights", "id: 2\ndata: b\n\n", 8, true, assign.Completed},
		{"weights that become recent with the event", "weight-versions: 8\nid: 2\ndata: b\n\n", 0, true, assign.Completed},
	} {
		output := &taskOutput{}
		if c.kept {
			output.startRun(1, "v1")
			output.addEvent(1, 1, []byte("a"), 8, time.Second)
		}
		output.startRun(2, "v1")
		got, err := b.readEvents(strings.NewReader(c.body), taskRun{id: 2, output: output, minVersion: 8}, c.version, nil)
		if got != c.want {
			t.Errorf("%s: outcome %v, want %v (%v)", c.name, got, c.want, err)
		}
	}
}

// Guards against a result with two weight versions on a route that allows one: a run that went on
// after kept events compared its own events only.
func TestRunOfASingleVersionDoesNotGoOnAfterEventsOfAnother(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	for _, c := range []struct {
		name, body string
		version    int64
		want       assign.Outcome
		events     int64
	}{
		{"the version of the kept events", "id: 2\ndata: b\n\n", 8, assign.Completed, 2},
		{"another version", "id: 2\ndata: b\n\n", 9, assign.Broken, 0},
		{"a change before its first event", "weight-versions: 9\nid: 2\ndata: b\n\n", 8, assign.Broken, 0},
		{"a change between its events", "id: 2\ndata: b\n\nweight-versions: 9\nid: 3\ndata: c\n\n", 8, assign.Broken, 0},
		{"no version and no event", "", 0, assign.Completed, 1},
	} {
		output := &taskOutput{}
		output.startRun(1, "v1")
		output.addEvent(1, 1, []byte("a"), 8, time.Second)
		output.startRun(2, "v1")
		got, err := b.readEvents(strings.NewReader(c.body), taskRun{id: 2, output: output, minVersion: 8, singleVersion: true}, c.version, nil)
		if got != c.want || output.eventCount() != c.events {
			t.Errorf("%s: outcome %v with %d events, want %v with %d (%v)", c.name, got, output.eventCount(), c.want, c.events, err)
		}
	}
}

// Guards against a result without a weight version on a route that allows one.
func TestRunOfASingleVersionThatStatesNoneIsNotComplete(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	for _, c := range []struct {
		singleVersion bool
		version       int64
		want          assign.Outcome
	}{{true, 0, assign.Broken}, {true, 1, assign.Completed}, {false, 0, assign.Completed}} {
		output := &taskOutput{}
		output.startRun(1, "v1")
		got, err := b.readEvents(strings.NewReader("id: 1\ndata: a\n\n"), taskRun{id: 1, output: output, singleVersion: c.singleVersion}, c.version, nil)
		if got != c.want {
			t.Errorf("version %d, one version %v: outcome %v, want %v (%v)", c.version, c.singleVersion, got, c.want, err)
		}
	}
}

// Guards against a record that names this instance as a runner before it has read the
// configuration: that ended the process.
func TestTasksWaitForTheConfiguration(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	r := newRunner(b)
	j := &claimedJob{
		job: &job.Job{Submitted: job.Submitted{Job: "j", Route: "r", Tasks: []job.TaskRef{{ID: "t"}}}}, tasks: make([]job.Task, 1),
		outputs: []*taskOutput{{}}, recorded: make([]bool, 1), failures: make([]int, 1),
	}
	r.updateTasks(b.CurrentView(), "j", j, make([]job.TaskStatus, 1))
	if r.scheduler.Has(assign.Key{Job: "j"}) || j.recorded[0] {
		t.Fatal("the task was started or given up")
	}
}

// Guards against tasks that a runner gave up as their route was not in its configuration, which was
// older than that of the instance that had accepted their job.
func TestTasksOfARouteAreGivenUpOnlyAfterItsConfiguration(t *testing.T) {
	for version, givenUp := range map[int64]bool{6: false, 7: true, 9: true} {
		b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
		b.resultWriter = newResultWriter(b)
		r := newRunner(b)
		j := &claimedJob{
			job:   &job.Job{Submitted: job.Submitted{Job: "j", Route: "r", Configuration: 7, MaxAttempts: 1, Tasks: []job.TaskRef{{ID: "t"}}}},
			tasks: make([]job.Task, 1), outputs: []*taskOutput{{}}, recorded: make([]bool, 1), failures: make([]int, 1),
		}
		r.updateTasks(&node.View{Catalog: (&catalog.Catalog{Version: version}).Index()}, "j", j, make([]job.TaskStatus, 1))
		if j.recorded[0] != givenUp || r.scheduler.Has(assign.Key{Job: "j"}) {
			t.Errorf("version %d of the configuration: given up %v, want %v", version, j.recorded[0], givenUp)
		}
	}
}

// Guards against tasks that wait for ever: their route has moved to another service, and the one of
// before has no targets any more.
func TestTasksFollowTheirRouteToAnotherService(t *testing.T) {
	b := &Batch{Node: node.New(node.Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1, RecordBytes: 1 << 20}}, LogOutput: io.Discard})}
	r := newRunner(b)
	tasks := []job.TaskRef{{ID: "t"}}
	j := &claimedJob{
		job:   &job.Job{Submitted: job.Submitted{Job: "j", Route: "r", Model: "m", MaxAttempts: 1, Tasks: tasks}},
		tasks: make([]job.Task, 1), outputs: []*taskOutput{{}}, recorded: make([]bool, 1), failures: make([]int, 1), groups: newJobGroups(tasks, nil),
	}
	for _, service := range []string{"old", "old", "new"} {
		view := &node.View{Catalog: (&catalog.Catalog{Routes: []catalog.Route{{Name: "r", Split: []catalog.Share{{Service: service, Weight: 1}}}}}).Index()}
		r.updateTasks(view, "j", j, make([]job.TaskStatus, 1))
		if got, _ := r.scheduler.ServiceOf(assign.Key{Job: "j"}); got != service {
			t.Errorf("the service of the task is %q, want %q", got, service)
		}
	}
	r.scheduler.SetEngines([]assign.Engine{{ID: "e", Service: "new", Slots: 1, Ready: true, Versions: map[string]int64{"m": 1}}})
	if len(r.scheduler.Assign(0)) != 1 {
		t.Error("the task is not run by the route's service")
	}
}
