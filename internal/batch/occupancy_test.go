package batch

import (
	"io"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/internal/occupancy"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against messages to a process that has ended, to instances that run nothing, and to an
// instance without a listener for others.
func TestRunnersOf(t *testing.T) {
	s := job.NewState()
	apply := func(writer string, r job.Record) {
		r.Writer = writer
		s.Apply(int64(len(s.Instances)), 0, r)
	}
	for i, writer := range []string{"n1/a", "n2/b", "n3/c", "n4/d"} {
		started := job.InstanceStarted{Instance: writer[:2], PeerAddress: "host:" + writer[1:2], StartedAt: int64(i + 1)}
		if i == 3 {
			started.PeerAddress = ""
		}
		apply(writer, job.Record{InstanceStarted: &started})
	}
	for model, runner := range map[string]string{"x": "n1/a", "y": "n2/old", "z": "n4/d"} {
		apply("n3/c", job.Record{Submitted: &job.Submitted{Job: model, Model: model, Runner: runner, Tasks: []job.TaskRef{{ID: "t"}}}})
	}
	got := runnersOf(s)
	if len(got) != 1 || got[0] != (occupancy.Runner{Name: "n1", Address: "host:1"}) {
		t.Fatalf("%+v", got)
	}
	apply("n1/a", job.Record{Ended: &job.Ended{Job: "x"}})
	if got = runnersOf(s); len(got) != 1 {
		t.Fatalf("%+v after the job has ended", got) // n1 ran the latest job of the model
	}
	apply("n1/a", job.Record{InstanceLeaving: &job.InstanceLeaving{}})
	if got = runnersOf(s); len(got) != 0 {
		t.Fatalf("%+v after n1 has left", got)
	}
}

// Guards against changes that are not passed on because they came shortly after others.
func TestLoadsAreReadAgainAfterTheInterval(t *testing.T) {
	settings := platform.Settings{Store: platform.StoreSettings{Partitions: 1}}
	o := newEngineOccupancy(&Batch{Node: node.New(node.Config{Settings: settings, LogOutput: io.Discard})})
	s := assign.New(assign.DefaultLimits())
	s.SetEngines([]assign.Engine{{ID: "e", Service: "models", Slots: 8, Ready: true, Versions: map[string]int64{"m": 1}}})
	runs := func() int {
		total := 0
		for _, l := range *o.own.Load() {
			total += l.Runs
		}
		return total
	}
	start := func(task int) {
		s.Add(assign.Task{Key: assign.Key{Job: "j", Task: task}, Service: "models", Model: "m"})
		if started := s.Assign(time.Second); len(started) != 1 {
			t.Fatalf("%d runs started", len(started))
		}
	}
	start(0)
	o.readLoads(time.Second, s)
	start(1)
	for range 2 {
		o.readLoads(time.Second, s)
	}
	if runs() != 1 {
		t.Fatalf("%d runs read within the interval", runs())
	}
	<-o.due
	o.readPutOff = false
	o.readLoads(time.Second+loadsInterval, s)
	if runs() != 2 {
		t.Fatalf("%d runs read after the interval", runs())
	}
}
