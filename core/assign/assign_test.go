package assign_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

const ms = time.Millisecond

func engine(id string, slots int, version int64) assign.Engine {
	return assign.Engine{ID: id, Service: "s", Slots: slots, Ready: true, Versions: map[string]int64{"m": version}}
}

func task(i int, expectedTokens int64) assign.Task {
	return assign.Task{Key: assign.Key{Job: "j", Task: i}, Service: "s", Model: "m", MinVersion: 2, Group: fmt.Sprint(i), ExpectedTokens: expectedTokens}
}

// advance reports the events of each run that occur by the time until: one event every 40 ms,
// or at the interval given for the run's index in starts.
func advance(scheduler *assign.Scheduler, starts []assign.Start, until time.Duration, intervals map[int]time.Duration) {
	for i, start := range starts {
		interval, given := intervals[i]
		if !given {
			interval = 40 * ms
		}
		for n := int64(1); time.Duration(n)*interval <= until; n++ {
			scheduler.Progress(start.Run, n, time.Duration(n)*interval)
		}
	}
}

// started returns the task indexes and the engines of the starts.
func started(starts []assign.Start) (tasks []int, engines []string) {
	for _, start := range starts {
		tasks, engines = append(tasks, start.Task.Task), append(engines, start.Engine)
	}
	return tasks, engines
}

var _ = Describe("Assignment", func() {
	var scheduler *assign.Scheduler
	BeforeEach(func() { scheduler = assign.New(assign.DefaultLimits()) })

	It("starts resubmitted tasks first, then those with the longest expected output, and spreads them over the engines", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 2, 2), engine("e2", 2, 2)})
		resubmitted := task(3, 1)
		resubmitted.Resubmitted = true
		for _, t := range []assign.Task{task(0, 10), task(1, 30), task(2, 20), resubmitted, task(4, 5)} {
			scheduler.Add(t)
		}
		tasks, engines := started(scheduler.Assign(0))
		Expect(tasks).To(Equal([]int{3, 1, 2, 0}))
		Expect(engines).To(Equal([]string{"e1", "e2", "e1", "e2"}))
		waiting, running := scheduler.Counts()
		Expect([]int{waiting, running}).To(Equal([]int{1, 4}))
	})

	It("assigns tasks of a group to one engine until its utilization outweighs the group bonus", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 8, 2), engine("e2", 8, 2)})
		for i := range 4 {
			t := task(i, 10)
			t.Group = "g"
			scheduler.Add(t)
		}
		_, engines := started(scheduler.Assign(0))
		Expect(engines).To(Equal([]string{"e1", "e1", "e1", "e2"}))
	})

	DescribeTable("starts no run on an engine that cannot run the task",
		func(change func(e *assign.Engine)) {
			e := engine("e1", 4, 2)
			change(&e)
			scheduler.SetEngines([]assign.Engine{e})
			scheduler.Add(task(0, 1))
			Expect(scheduler.Assign(500 * ms)).To(BeEmpty())
		},
		Entry("old weights", func(e *assign.Engine) { e.Versions["m"] = 1 }),
		Entry("another service", func(e *assign.Engine) { e.Service = "t" }),
		Entry("leaving", func(e *assign.Engine) { e.Ready = false }),
		Entry("loading the model", func(e *assign.Engine) { e.LoadOrderedAt, e.LoadingModel = 100*ms, "m" }),
		Entry("no slots", func(e *assign.Engine) { e.Slots = 0 }),
	)

	It("prefers the engine with newer weights among engines with equal utilization", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2), engine("e2", 4, 3)})
		scheduler.Add(task(0, 1))
		_, engines := started(scheduler.Assign(0))
		Expect(engines).To(Equal([]string{"e2"}))
	})

	It("resumes the task of an interrupted run on another engine after the last kept event", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2), engine("e2", 4, 2)})
		scheduler.Add(task(0, 1))
		first := scheduler.Assign(0)[0]
		Expect(scheduler.Finish(50*ms, first.Run, assign.Broken, assign.Kept{Events: 7})).To(BeTrue())
		second := scheduler.Assign(50 * ms)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Engine).NotTo(Equal(first.Engine))
		Expect(second[0].ResumeAfter).To(Equal(int64(7)))
	})

	It("starts no run on an engine that refused one until the backoff has passed", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		scheduler.Add(task(0, 1))
		scheduler.Finish(0, scheduler.Assign(0)[0].Run, assign.NotRun, assign.Kept{Events: 0})
		Expect(scheduler.Assign(100 * ms)).To(BeEmpty())
		Expect(scheduler.Assign(200 * ms)).To(HaveLen(1))
	})

	It("moves stalled runs and runs without a first event only if another engine has a free slot", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		scheduler.Add(task(0, 2))
		scheduler.Add(task(1, 1))
		starts := scheduler.Assign(0)
		scheduler.Progress(starts[1].Run, 5, 600*ms)
		scheduler.SetEngines([]assign.Engine{engine("e1", 2, 2)})
		Expect(scheduler.RunsToMove(2*time.Second)).To(BeEmpty(), "no engine has a free slot")
		scheduler.SetEngines([]assign.Engine{engine("e1", 2, 2), engine("e2", 2, 2)})
		Expect(scheduler.RunsToMove(800 * ms)).To(BeEmpty())
		Expect(scheduler.RunsToMove(1 * time.Second)).To(HaveLen(1))
		Expect(scheduler.RunsToMove(2 * time.Second)).To(HaveLen(2))
	})

	It("moves runs off an engine whose event interval is well above the median", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 3 {
			scheduler.Add(task(i, 1))
		}
		starts := scheduler.Assign(0)
		advance(scheduler, starts, 800*ms, map[int]time.Duration{1: 160 * ms})
		stops := scheduler.RunsToMove(900 * ms)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Run).To(Equal(starts[1].Run))
		scheduler.Requeue(900*ms, stops[0].Run, assign.Kept{Events: 5})
		restarted := scheduler.Assign(900 * ms)
		Expect(restarted).To(HaveLen(1))
		Expect(restarted[0].Engine).To(Equal("e4"))
		Expect(scheduler.Finish(time.Second, stops[0].Run, assign.Canceled, assign.Kept{Events: 5})).To(BeFalse(), "the run is no longer assigned")
	})

	It("prefers faster engines and does not count a pause for loading weights as slowness", func() {
		list := []assign.Engine{engine("e1", 4, 2), engine("e2", 4, 2), engine("e3", 4, 2), engine("e4", 4, 2)}
		scheduler.SetEngines(list)
		for i := range 4 {
			scheduler.Add(task(i, 1))
		}
		intervals := map[string]time.Duration{"e1": 52 * ms, "e2": 40 * ms, "e3": 40 * ms, "e4": 40 * ms}
		starts := scheduler.Assign(0)
		for _, s := range starts {
			for n := int64(1); n <= 5; n++ {
				scheduler.Progress(s.Run, n, time.Duration(n)*intervals[s.Engine])
			}
		}
		list[1].LoadOrderedAt, list[1].LoadingModel = 250*ms, "m"
		scheduler.SetEngines(list)
		list[1] = engine("e2", 4, 3) // loaded
		scheduler.SetEngines(list)
		for _, s := range starts {
			if s.Engine == "e2" {
				scheduler.Progress(s.Run, 6, 1100*ms)
			}
			scheduler.Finish(1200*ms, s.Run, assign.Completed, assign.Kept{Events: 6})
		}
		for i := range 6 {
			scheduler.Add(task(10+i, 1))
		}
		_, engines := started(scheduler.Assign(1500 * ms))
		Expect(engines).To(HaveLen(6))
		Expect(engines).NotTo(ContainElement("e1"))
		Expect(engines).To(ContainElement("e2"))
	})

	It("does not move a long run because of a single pause", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 3 {
			scheduler.Add(task(i, 1))
		}
		starts := scheduler.Assign(0)
		advance(scheduler, starts, 2000*ms, nil)
		for i, s := range starts {
			if i == 0 {
				scheduler.Progress(s.Run, 52, 2400*ms)
			} else {
				scheduler.Progress(s.Run, 60, 2400*ms)
			}
		}
		Expect(scheduler.RunsToMove(2450 * ms)).To(BeEmpty())
	})

	It("moves long runs to faster engines once these have free slots", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 4 {
			scheduler.Add(task(i, 1))
		}
		starts := scheduler.Assign(0)
		advance(scheduler, starts, 2200*ms, map[int]time.Duration{0: 52 * ms})
		Expect(scheduler.RunsToMove(2200*ms)).To(BeEmpty(), "no engine has a free slot")
		scheduler.Finish(2200*ms, starts[1].Run, assign.Completed, assign.Kept{Events: 55})
		stops := scheduler.RunsToMove(2200 * ms)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Run).To(Equal(starts[0].Run))
		scheduler.Requeue(2200*ms, stops[0].Run, assign.Kept{Events: 42})
		_, engines := started(scheduler.Assign(2200 * ms))
		Expect(engines).To(Equal([]string{starts[1].Engine}))
	})

	It("leaves runs on an engine that loads the weights of their model, also if another engine has a free slot", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 2, 2)})
		scheduler.Add(task(0, 1))
		start := scheduler.Assign(0)[0]
		scheduler.Progress(start.Run, 1, 100*ms)
		loading := engine("e1", 2, 2)
		loading.LoadOrderedAt, loading.LoadingModel = 200*ms, "m"
		scheduler.SetEngines([]assign.Engine{loading, engine("e2", 2, 2)})
		for _, now := range []time.Duration{220 * ms, 600 * ms, 1100 * ms} {
			Expect(scheduler.RunsToMove(now)).To(BeEmpty())
		}
	})

	It("returns the run to end when a running task is dropped, and none for a waiting task", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2)})
		scheduler.Add(task(0, 2))
		scheduler.Add(task(1, 1))
		start := scheduler.Assign(0)[0]
		stop, running := scheduler.Drop(assign.Key{Job: "j", Task: 0})
		Expect(running).To(BeTrue())
		Expect(stop.Run).To(Equal(start.Run))
		_, running = scheduler.Drop(assign.Key{Job: "j", Task: 1})
		Expect(running).To(BeFalse())
		Expect(scheduler.Assign(0)).To(BeEmpty())
	})

	It("returns the longest wait for a free slot and does not count waits for weights", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 9, 1)})
		scheduler.Add(task(0, 2))
		scheduler.Add(task(1, 1))
		scheduler.Assign(0)
		Expect(scheduler.MaxSlotWait(700 * ms)).To(Equal(700 * ms))
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 1), engine("e2", 9, 1)})
		Expect(scheduler.MaxSlotWait(700 * ms)).To(BeZero())
	})

	It("accepts the end of a run whose engine is no longer listed", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 1, 2)})
		scheduler.Add(task(0, 1))
		start := scheduler.Assign(0)[0]
		scheduler.SetEngines(nil)
		Expect(scheduler.Finish(10*ms, start.Run, assign.Broken, assign.Kept{Events: 3})).To(BeTrue())
		scheduler.SetEngines([]assign.Engine{engine("e2", 1, 2)})
		Expect(scheduler.Assign(10 * ms)).To(HaveLen(1))
	})

	// The load of a step that six trainers submit at once: 584 tasks for 102 engines of six
	// slots that serve all six models. Each model has a runner that sees only its own runs.
	It("keeps runners that submit at once from filling the same engines", func() {
		jobs := map[string][2]int{"m0": {5, 16}, "m1": {5, 16}, "m2": {13, 8}, "m3": {13, 8}, "m4": {13, 8}, "m5": {14, 8}} // groups, tasks in each
		runs := map[string]int{}
		total, beyondSlots := 0, 0
		for model, job := range jobs {
			scheduler := assign.New(assign.DefaultLimits())
			var engines []assign.Engine
			for i := range 102 {
				e := assign.Engine{ID: fmt.Sprintf("i-%d", i*7919), Service: "s", Slots: 6, Ready: true, Versions: map[string]int64{}}
				for m := range jobs {
					e.Versions[m] = 1
					e.Serves = append(e.Serves, m)
				}
				engines = append(engines, e)
			}
			scheduler.SetEngines(engines)
			for i := range job[0] * job[1] {
				scheduler.Add(assign.Task{
					Key: assign.Key{Job: model, Task: i}, Service: "s", Model: model, MinVersion: 1, Group: fmt.Sprint(model, i/job[1]),
				})
			}
			for _, start := range scheduler.Assign(0) {
				runs[start.Engine]++
				total++
			}
		}
		for _, n := range runs {
			beyondSlots += max(0, n-6)
		}
		Expect(total).To(Equal(584))
		Expect(beyondSlots).To(BeNumerically("<", total/20), "runs that wait at a full engine")
	})
})
