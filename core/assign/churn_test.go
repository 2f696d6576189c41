package assign_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// Guards against runs that move from one equal engine to another and back, because the estimates
// of their speeds differ by some percent: half of all runs of a day moved so.
var _ = Describe("Runs on engines of equal speed whose intervals between events vary", func() {
	It("do not move", func() {
		const engines, tasks, interval = 12, 24, 0.048
		s := assign.New(assign.DefaultLimits())
		var list []assign.Engine
		for i := range engines {
			list = append(list, assign.Engine{ID: fmt.Sprint("e", i), Service: "models", Slots: 8, Ready: true, Versions: map[string]int64{"m": 1}, Serves: []string{"m"}})
		}
		s.SetEngines(list)
		for i := range tasks {
			s.Add(assign.Task{Key: assign.Key{Job: "j", Task: i}, Service: "models", Model: "m", Group: fmt.Sprint(i % 3), ExpectedTokens: 6000})
		}
		random := rand.New(rand.NewPCG(1, 2))
		type running struct {
			factor, at float64
			events     int64
		}
		runs := map[int64]*running{}
		for _, start := range s.Assign(0) {
			runs[start.Run] = &running{factor: 1 + 0.06*(random.Float64()-0.5)}
		}
		Expect(runs).To(HaveLen(tasks))
		moved := 0
		for now := 150 * time.Millisecond; now < 4*time.Second; now += 150 * time.Millisecond {
			for id, r := range runs {
				for r.at < now.Seconds() {
					r.at += interval * r.factor * (1 + 0.04*(random.Float64()-0.5))
					r.events++
				}
				s.Progress(id, r.events, time.Duration(r.at*float64(time.Second)))
			}
			moved += len(s.RunsToMove(now))
		}
		Expect(moved).To(BeZero())
	})
})
