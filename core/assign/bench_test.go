package assign_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// BenchmarkAssign measures one runner at the sizes of deployments with 9, 90 and 1,700
// instances: the assignment of a whole step, an assignment while all slots are taken, and a
// review of the runs.
func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ runners, engines, tasks int }{{4, 44, 160}, {8, 600, 512}, {17, 12_000, 2048}} {
		var engines []assign.Engine
		for i := range size.engines {
			e := assign.Engine{ID: fmt.Sprintf("i-%d", i*7919), Service: "s", Slots: 8, Ready: true, Versions: map[string]int64{}}
			for m := range size.runners {
				e.Versions[fmt.Sprint("m", m)] = 1
				e.Serves = append(e.Serves, fmt.Sprint("m", m))
			}
			engines = append(engines, e)
		}
		loaded := func(others int) *assign.Scheduler {
			scheduler := assign.New(assign.DefaultLimits())
			scheduler.SetEngines(engines)
			loads := map[string]assign.Load{}
			for _, e := range engines {
				loads[e.ID] = assign.Load{Runs: others, Tokens: 5000}
			}
			scheduler.SetOccupancy(time.Second, loads)
			scheduler.SetJob("j", assign.Job{Due: 8 * time.Second, Groups: size.tasks / 16})
			for i := range size.tasks {
				scheduler.Add(assign.Task{
					Key: assign.Key{Job: "j", Task: i}, Service: "s", Model: "m0", MinVersion: 1, Group: fmt.Sprint(i / 16),
					ExpectedTokens: int64(500 + i*37%1000),
				})
			}
			return scheduler
		}
		name := fmt.Sprintf("%d tasks on %d engines", size.tasks, size.engines)
		b.Run(name+", all start", func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				scheduler := loaded(3)
				b.StartTimer()
				scheduler.Assign(time.Second)
			}
		})
		b.Run(name+", no free slot", func(b *testing.B) {
			scheduler := loaded(8)
			for i := range b.N {
				scheduler.Assign(time.Second + time.Duration(i%1000)*ms)
			}
		})
		b.Run(name+", review", func(b *testing.B) {
			scheduler := loaded(3)
			scheduler.Assign(time.Second)
			for i := range b.N {
				scheduler.RunsToMove(time.Second + time.Duration(i%1000)*150*time.Microsecond)
			}
		})
	}
}
