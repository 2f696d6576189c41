package assign_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

var _ = Describe("Runs of other runners", func() {
	var scheduler *assign.Scheduler
	BeforeEach(func() { scheduler = assign.New(assign.DefaultLimits()) })

	// shared returns two engines of four slots that serve two models and are home to one each.
	shared := func() []assign.Engine {
		var out []assign.Engine
		for _, id := range []string{"e1", "e2"} {
			e := engine(id, 4, 2)
			e.Versions["other"], e.Serves = 2, []string{"m", "other"}
			out = append(out, e)
		}
		return out
	}
	addTasks := func(n int, now time.Duration) {
		for i := range n {
			t := task(i, 10)
			t.WaitingSince = now
			scheduler.Add(t)
		}
	}

	It("take slots of the engines", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2), engine("e2", 4, 2)})
		scheduler.SetOccupancy(10*ms, map[string]assign.Load{"e1": {Runs: 3}, "e2": {Runs: 9}})
		addTasks(4, 0)
		_, engines := started(scheduler.Assign(10 * ms))
		Expect(engines).To(Equal([]string{"e1"}))
	})

	It("are waited for before an engine is used that is home to another model", func() {
		scheduler.SetEngines(shared())
		scheduler.SetOccupancy(900*ms, map[string]assign.Load{})
		addTasks(8, time.Second)
		_, home := started(scheduler.Assign(time.Second))
		Expect(home).To(HaveLen(4))
		Expect(home).To(HaveEach(home[0]))
		Expect(scheduler.Assign(1050*ms)).To(BeEmpty(), "the news is older than the tasks")
		scheduler.SetOccupancy(1060*ms, map[string]assign.Load{"e1": {Runs: 1}, "e2": {Runs: 1}})
		Expect(scheduler.Assign(1060 * ms)).To(HaveLen(3))
	})

	It("are waited for 100 ms at most", func() {
		scheduler.SetEngines(shared())
		scheduler.SetOccupancy(0, map[string]assign.Load{})
		addTasks(8, time.Second)
		Expect(scheduler.Assign(time.Second)).To(HaveLen(4))
		Expect(scheduler.Assign(1100 * ms)).To(HaveLen(4))
	})

	It("do not count when no other runner is known or the news is older than 3 s", func() {
		scheduler.SetEngines(shared())
		scheduler.SetOccupancy(0, nil)
		addTasks(6, time.Second)
		Expect(scheduler.Assign(time.Second)).To(HaveLen(6))
		scheduler.SetOccupancy(time.Second, map[string]assign.Load{"e1": {Runs: 4}, "e2": {Runs: 4}})
		scheduler.Add(task(6, 10))
		scheduler.Add(task(7, 10))
		Expect(scheduler.Assign(3900 * ms)).To(BeEmpty())
		Expect(scheduler.Assign(4100 * ms)).To(HaveLen(2))
	})

	It("are told of the own ones with the tokens that they are expected to hold, a group's prompt once", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 8, 2), engine("e2", 8, 2)})
		for i := range 3 {
			t := task(i, 100)
			t.Group, t.PromptTokens = "g", 1000
			scheduler.Add(t)
		}
		starts := scheduler.Assign(0)
		Expect(scheduler.Occupancy()).To(Equal(map[string]assign.Load{"e1": {Runs: 3, Tokens: 1300}}))
		scheduler.Finish(0, starts[0].Run, assign.Completed, assign.Kept{})
		Expect(scheduler.Occupancy()).To(Equal(map[string]assign.Load{"e1": {Runs: 2, Tokens: 1200}}))
		scheduler.Finish(0, starts[1].Run, assign.Completed, assign.Kept{})
		scheduler.Finish(0, starts[2].Run, assign.Completed, assign.Kept{})
		Expect(scheduler.Occupancy()).To(BeEmpty())
	})

	// Guards against sums that overflow, and against negative counts that add slots.
	It("count within bounds when the input is not sensible", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 2, 2), engine("e2", 0, 2), engine("e3", -1, 2)})
		scheduler.SetOccupancy(ms, map[string]assign.Load{"e1": {Runs: -5, Tokens: -1}, "unknown": {Runs: 1}})
		for i, tokens := range []int64{math.MaxInt64, math.MaxInt64, -7} {
			t := task(i, tokens)
			t.PromptTokens = tokens
			scheduler.Add(t)
		}
		Expect(scheduler.Assign(ms)).To(HaveLen(2))
		Expect(scheduler.Occupancy()["e1"].Tokens).To(And(BeNumerically(">", 0), BeNumerically("<=", 4<<20)))
	})
})
