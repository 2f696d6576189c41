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

// advance reports the events of each run up to the time until: one every 40 ms, or at the
// interval given for the run's index in starts.
func advance(m *assign.Scheduler, starts []assign.Start, until time.Duration, intervals map[int]time.Duration) {
	for i, s := range starts {
		interval, given := intervals[i]
		if !given {
			interval = 40 * ms
		}
		for n := int64(1); time.Duration(n)*interval <= until; n++ {
			m.Progress(s.Run, n, time.Duration(n)*interval)
		}
	}
}

func started(starts []assign.Start) (tasks []int, engines []string) {
	for _, s := range starts {
		tasks, engines = append(tasks, s.Task.Task), append(engines, s.Engine)
	}
	return tasks, engines
}

var _ = Describe("Assignment", func() {
	var m *assign.Scheduler
	BeforeEach(func() { m = assign.New(assign.DefaultLimits()) })

	It("starts resubmitted tasks first, then the longest, and spreads them over the engines", func() {
		m.SetEngines([]assign.Engine{engine("e1", 2, 2), engine("e2", 2, 2)})
		resubmitted := task(3, 1)
		resubmitted.Resubmitted = true
		for _, t := range []assign.Task{task(0, 10), task(1, 30), task(2, 20), resubmitted, task(4, 5)} {
			m.Add(t)
		}
		tasks, engines := started(m.Assign(0))
		Expect(tasks).To(Equal([]int{3, 1, 2, 0}))
		Expect(engines).To(Equal([]string{"e1", "e2", "e1", "e2"}))
		waiting, running := m.Counts()
		Expect([]int{waiting, running}).To(Equal([]int{1, 4}))
	})

	It("assigns tasks of a group to one engine while the group bonus outweighs its utilization", func() {
		m.SetEngines([]assign.Engine{engine("e1", 8, 2), engine("e2", 8, 2)})
		for i := range 4 {
			t := task(i, 10)
			t.Group = "g"
			m.Add(t)
		}
		_, engines := started(m.Assign(0))
		Expect(engines).To(Equal([]string{"e1", "e1", "e1", "e2"}))
	})

	DescribeTable("starts no run on an engine that cannot run the task",
		func(change func(e *assign.Engine)) {
			e := engine("e1", 4, 2)
			change(&e)
			m.SetEngines([]assign.Engine{e})
			m.Add(task(0, 1))
			Expect(m.Assign(500 * ms)).To(BeEmpty())
		},
		Entry("old weights", func(e *assign.Engine) { e.Versions["m"] = 1 }),
		Entry("another service", func(e *assign.Engine) { e.Service = "t" }),
		Entry("leaving", func(e *assign.Engine) { e.Ready = false }),
		Entry("loading the model", func(e *assign.Engine) { e.LoadOrderedAt, e.LoadingModel = 100*ms, "m" }),
		Entry("no slots", func(e *assign.Engine) { e.Slots = 0 }),
	)

	It("prefers newer weights among engines with equal utilization", func() {
		m.SetEngines([]assign.Engine{engine("e1", 4, 2), engine("e2", 4, 3)})
		m.Add(task(0, 1))
		_, engines := started(m.Assign(0))
		Expect(engines).To(Equal([]string{"e2"}))
	})

	It("resumes an interrupted run on another engine after the events that are kept", func() {
		m.SetEngines([]assign.Engine{engine("e1", 4, 2), engine("e2", 4, 2)})
		m.Add(task(0, 1))
		first := m.Assign(0)[0]
		Expect(m.Finished(50*ms, first.Run, assign.Broken, 7)).To(BeTrue())
		second := m.Assign(50 * ms)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Engine).NotTo(Equal(first.Engine))
		Expect(second[0].ResumeAfter).To(Equal(int64(7)))
	})

	It("starts no run on an engine that refused one until the backoff has passed", func() {
		m.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		m.Add(task(0, 1))
		m.Finished(0, m.Assign(0)[0].Run, assign.NotRun, 0)
		Expect(m.Assign(100 * ms)).To(BeEmpty())
		Expect(m.Assign(200 * ms)).To(HaveLen(1))
	})

	It("moves stalled runs and runs without a first event only while an engine has a free slot", func() {
		m.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		m.Add(task(0, 2))
		m.Add(task(1, 1))
		starts := m.Assign(0)
		m.Progress(starts[1].Run, 5, 600*ms)
		m.SetEngines([]assign.Engine{engine("e1", 2, 2)})
		Expect(m.RunsToMove(2*time.Second)).To(BeEmpty(), "no engine has a free slot")
		m.SetEngines([]assign.Engine{engine("e1", 2, 2), engine("e2", 2, 2)})
		Expect(m.RunsToMove(800 * ms)).To(BeEmpty())
		Expect(m.RunsToMove(1 * time.Second)).To(HaveLen(1))
		Expect(m.RunsToMove(2 * time.Second)).To(HaveLen(2))
	})

	It("moves runs off an engine well above the median event interval", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 3 {
			m.Add(task(i, 1))
		}
		starts := m.Assign(0)
		advance(m, starts, 800*ms, map[int]time.Duration{1: 160 * ms})
		stops := m.RunsToMove(900 * ms)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Run).To(Equal(starts[1].Run))
		m.Requeue(900*ms, stops[0].Run, 5)
		again := m.Assign(900 * ms)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Engine).To(Equal("e4"))
		Expect(m.Finished(time.Second, stops[0].Run, assign.Canceled, 5)).To(BeFalse(), "the run is no longer assigned")
	})

	It("prefers faster engines, and does not count the pause of a load as slowness", func() {
		list := []assign.Engine{engine("e1", 4, 2), engine("e2", 4, 2), engine("e3", 4, 2), engine("e4", 4, 2)}
		m.SetEngines(list)
		for i := range 4 {
			m.Add(task(i, 1))
		}
		intervals := map[string]time.Duration{"e1": 52 * ms, "e2": 40 * ms, "e3": 40 * ms, "e4": 40 * ms}
		starts := m.Assign(0)
		for _, s := range starts {
			for n := int64(1); n <= 5; n++ {
				m.Progress(s.Run, n, time.Duration(n)*intervals[s.Engine])
			}
		}
		list[1].LoadOrderedAt, list[1].LoadingModel = 250*ms, "m"
		m.SetEngines(list)
		list[1] = engine("e2", 4, 3) // loaded
		m.SetEngines(list)
		for _, s := range starts {
			if s.Engine == "e2" {
				m.Progress(s.Run, 6, 1100*ms)
			}
			m.Finished(1200*ms, s.Run, assign.Completed, 6)
		}
		for i := range 6 {
			m.Add(task(10+i, 1))
		}
		_, engines := started(m.Assign(1500 * ms))
		Expect(engines).To(HaveLen(6))
		Expect(engines).NotTo(ContainElement("e1"))
		Expect(engines).To(ContainElement("e2"))
	})

	It("does not move long runs for a single pause", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 3 {
			m.Add(task(i, 1))
		}
		starts := m.Assign(0)
		advance(m, starts, 2000*ms, nil)
		for i, s := range starts {
			if i == 0 {
				m.Progress(s.Run, 52, 2400*ms)
			} else {
				m.Progress(s.Run, 60, 2400*ms)
			}
		}
		Expect(m.RunsToMove(2450 * ms)).To(BeEmpty())
	})

	It("moves long runs to faster engines once these have free slots", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 1, 2), engine("e3", 1, 2), engine("e4", 1, 2)})
		for i := range 4 {
			m.Add(task(i, 1))
		}
		starts := m.Assign(0)
		advance(m, starts, 2200*ms, map[int]time.Duration{0: 52 * ms})
		Expect(m.RunsToMove(2200*ms)).To(BeEmpty(), "no engine has a free slot")
		m.Finished(2200*ms, starts[1].Run, assign.Completed, 55)
		stops := m.RunsToMove(2200 * ms)
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Run).To(Equal(starts[0].Run))
		m.Requeue(2200*ms, stops[0].Run, 42)
		_, engines := started(m.Assign(2200 * ms))
		Expect(engines).To(Equal([]string{starts[1].Engine}))
	})

	It("moves runs off an engine that is ordered to load their model, while an engine has a free slot", func() {
		m.SetEngines([]assign.Engine{engine("e1", 2, 2)})
		m.Add(task(0, 1))
		run := m.Assign(0)[0]
		m.Progress(run.Run, 1, 100*ms)
		loading := engine("e1", 2, 2)
		loading.LoadOrderedAt, loading.LoadingModel = 200*ms, "m"
		m.SetEngines([]assign.Engine{loading})
		Expect(m.RunsToMove(220 * ms)).To(BeEmpty())
		m.SetEngines([]assign.Engine{loading, engine("e2", 2, 2)})
		Expect(m.RunsToMove(220 * ms)).To(HaveLen(1))
		loading.LoadingModel = "other"
		m.SetEngines([]assign.Engine{loading, engine("e2", 2, 2)})
		Expect(m.RunsToMove(220 * ms)).To(BeEmpty())
	})

	It("returns the run to end when a running task is dropped, and none for a waiting task", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2)})
		m.Add(task(0, 2))
		m.Add(task(1, 1))
		run := m.Assign(0)[0]
		stop, running := m.Drop(assign.Key{Job: "j", Task: 0})
		Expect(running).To(BeTrue())
		Expect(stop.Run).To(Equal(run.Run))
		_, running = m.Drop(assign.Key{Job: "j", Task: 1})
		Expect(running).To(BeFalse())
		Expect(m.Assign(0)).To(BeEmpty())
	})

	It("reports the longest wait for a free slot, without waits for weights", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2), engine("e2", 9, 1)})
		m.Add(task(0, 2))
		m.Add(task(1, 1))
		m.Assign(0)
		Expect(m.MaxSlotWait(700 * ms)).To(Equal(700 * ms))
		m.SetEngines([]assign.Engine{engine("e1", 1, 1), engine("e2", 9, 1)})
		Expect(m.MaxSlotWait(700 * ms)).To(BeZero())
	})

	It("accepts the end of a run whose engine is no longer listed", func() {
		m.SetEngines([]assign.Engine{engine("e1", 1, 2)})
		m.Add(task(0, 1))
		run := m.Assign(0)[0]
		m.SetEngines(nil)
		Expect(m.Finished(10*ms, run.Run, assign.Broken, 3)).To(BeTrue())
		m.SetEngines([]assign.Engine{engine("e2", 1, 2)})
		Expect(m.Assign(10 * ms)).To(HaveLen(1))
	})
})
