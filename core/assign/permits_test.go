package assign_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

var _ = Describe("Engines that limit their requests", func() {
	var scheduler *assign.Scheduler
	BeforeEach(func() { scheduler = assign.New(assign.DefaultLimits()) })

	limited := func(id string, slots int) assign.Engine {
		e := engine(id, slots, 2)
		e.Limited = true
		return e
	}
	addTasks := func(n int) {
		for i := range n {
			scheduler.Add(task(i, int64(100-i)))
		}
	}

	It("run no more tasks than there are permits", func() {
		scheduler.SetEngines([]assign.Engine{limited("e1", 4)})
		addTasks(6)
		Expect(scheduler.Assign(0)).To(BeEmpty())
		Expect(scheduler.PermitsWanted()).To(Equal([]assign.PermitRequest{{Engine: "e1", Count: 4}}))
		Expect(scheduler.Assign(ms)).To(BeEmpty())
		Expect(scheduler.PermitsWanted()).To(BeEmpty(), "permits are being obtained")
		scheduler.SetPermits(2*ms, "e1", 2, 500*ms)
		Expect(scheduler.Assign(2 * ms)).To(HaveLen(2))
		Expect(scheduler.PermitsWanted()).To(BeEmpty(), "before the next ones can be granted")
		Expect(scheduler.Assign(503 * ms)).To(BeEmpty())
		Expect(scheduler.PermitsWanted()).To(Equal([]assign.PermitRequest{{Engine: "e1", Count: 2}}))
	})

	It("are not used with a permit that is too old", func() {
		scheduler.SetEngines([]assign.Engine{limited("e1", 4)})
		addTasks(1)
		scheduler.Assign(0)
		scheduler.PermitsWanted()
		scheduler.SetPermits(0, "e1", 1, 0)
		Expect(scheduler.Assign(time.Second)).To(BeEmpty())
		Expect(scheduler.PermitsWanted()).To(HaveLen(1))
	})

	// Two thirds of the engines take a few requests a second when a step's tasks are
	// submitted at once. The longest tasks decide when the step is complete, and engines
	// with few runs generate faster.
	It("get the longest tasks of a step, while the shorter ones fill the other engines", func() {
		scheduler.SetEngines([]assign.Engine{limited("e1", 12), limited("e2", 12), engine("e3", 12, 2)})
		addTasks(30)
		starts := scheduler.Assign(0)
		for _, p := range scheduler.PermitsWanted() {
			scheduler.SetPermits(0, p.Engine, 2, 400*ms)
		}
		tasks, engines := started(append(starts, scheduler.Assign(0)...))
		tasksByEngine := map[string][]int{}
		for i, e := range engines {
			tasksByEngine[e] = append(tasksByEngine[e], tasks[i])
		}
		Expect(tasksByEngine["e3"]).To(HaveLen(12))
		for _, e := range []string{"e1", "e2"} {
			Expect(tasksByEngine[e]).To(HaveLen(2))
			Expect(tasksByEngine[e]).To(HaveEach(BeNumerically("<", 8)))
		}
	})

	It("run as many tasks as they have slots once they limit their requests no more", func() {
		scheduler.SetEngines([]assign.Engine{limited("e1", 4)})
		addTasks(6)
		scheduler.Assign(0)
		scheduler.PermitsWanted()
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		Expect(scheduler.Assign(0)).To(HaveLen(4))
	})

	It("take over runs that are stuck, but not those that make progress", func() {
		scheduler.SetEngines([]assign.Engine{engine("e1", 4, 2)})
		addTasks(2)
		starts := scheduler.Assign(0)
		loading := engine("e1", 4, 2)
		loading.LoadOrderedAt, loading.LoadingModel = 500*ms, "m" // pauses the runs
		scheduler.SetEngines([]assign.Engine{loading, limited("e2", 4)})
		scheduler.Progress(starts[0].Run, 10, 500*ms)
		Expect(scheduler.RunsToMove(800 * ms)).To(BeEmpty())
		moved := scheduler.RunsToMove(1600 * ms)
		Expect(moved).To(HaveLen(1), "no first event")
		Expect(moved[0].Run).To(Equal(starts[1].Run))
	})
})
