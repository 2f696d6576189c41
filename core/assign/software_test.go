package assign_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

var _ = Describe("Engines of several software versions", func() {
	var scheduler *assign.Scheduler
	BeforeEach(func() { scheduler = assign.New(assign.DefaultLimits()) })

	versioned := func(id, software string, slots int) assign.Engine {
		e := engine(id, slots, 2)
		e.Software = software
		return e
	}
	keptTask := func(i int, events int64) assign.Task {
		t := task(i, 100)
		t.Kept = assign.Kept{Events: events, Software: "v1"}
		return t
	}

	It("resume a task only where the software version is that of its kept events", func() {
		scheduler.SetEngines([]assign.Engine{versioned("e1", "v1", 1), versioned("e2", "v2", 8)})
		scheduler.Add(keptTask(0, 20))
		scheduler.Add(keptTask(1, 20))
		starts := scheduler.Assign(0)
		Expect(starts).To(HaveLen(1), "the other task waits for the engine of its version")
		Expect(starts[0].Engine).To(Equal("e1"))
		Expect(starts[0].ResumeAfter).To(Equal(int64(20)))
	})

	It("start a task over at once when no engine of its version is left", func() {
		scheduler.SetEngines([]assign.Engine{versioned("e2", "v2", 8)})
		scheduler.Add(keptTask(0, 20))
		starts := scheduler.Assign(0)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].ResumeAfter).To(BeZero())
	})

	// Half of the engines were replaced by a newer version and the others are full: waiting
	// for one of them pays as long as generating the kept events again takes longer.
	It("start a task over when it has waited longer than its kept events take", func() {
		scheduler.SetEngines([]assign.Engine{versioned("e1", "v1", 1), versioned("e2", "v2", 8)})
		scheduler.Add(keptTask(0, 50))
		scheduler.Assign(0)
		scheduler.Add(keptTask(1, 5))
		scheduler.Add(keptTask(2, 50))
		Expect(scheduler.Assign(150 * ms)).To(BeEmpty())
		tasks, engines := started(scheduler.Assign(300 * ms))
		Expect(tasks).To(Equal([]int{1}))
		Expect(engines).To(Equal([]string{"e2"}))
		tasks, _ = started(scheduler.Assign(2100 * ms))
		Expect(tasks).To(Equal([]int{2}))
	})

	It("do not take over a run whose events would be lost, unless it is stuck", func() {
		scheduler.SetEngines([]assign.Engine{versioned("e1", "v1", 1), versioned("e2", "v2", 8)})
		scheduler.Add(keptTask(0, 20))
		start := scheduler.Assign(0)[0]
		scheduler.Progress(start.Run, 10, 400*ms)
		loading := versioned("e1", "v1", 1)
		loading.LoadOrderedAt, loading.LoadingModel = 500*ms, "m" // pauses the runs
		scheduler.SetEngines([]assign.Engine{loading, versioned("e2", "v2", 8)})
		Expect(scheduler.RunsToMove(600 * ms)).To(BeEmpty())
		scheduler.SetEngines([]assign.Engine{versioned("e2", "v2", 8)})
		Expect(scheduler.RunsToMove(2 * time.Second)).To(HaveLen(1))
	})
})
