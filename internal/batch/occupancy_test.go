package batch

import (
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	core "github.com/amaranthfold/amaranthfold/core/occupancy"
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
	var s platform.Settings
	s.Store.Partitions = 1
	o := New(Config{Settings: s}).occupancy
	reads := 0
	o.loads = func() []core.Load { reads++; return []core.Load{{Engine: "e", Runs: reads}} }
	for range 3 {
		o.readLoads(time.Second)
	}
	if reads != 1 {
		t.Fatalf("%d reads", reads)
	}
	<-o.due
	o.readPutOff = false
	o.readLoads(time.Second + loadsInterval)
	if reads != 2 || (*o.own.Load())[0].Runs != 2 {
		t.Fatalf("%d reads", reads)
	}
}
