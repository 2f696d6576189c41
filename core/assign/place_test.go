package assign_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

var _ = Describe("Placement", func() {
	It("keeps short tasks off the engines of long ones while others are less used", func() {
		scheduler, engines := taught(8)
		scheduler.SetEngines(engines[:3])
		scheduler.Add(grouped("j", "long", 0, 5000))
		long := scheduler.Assign(lesson)[0].Engine
		for i := range 6 {
			scheduler.Add(grouped("j", "short", 1+i, 500))
		}
		_, others := started(scheduler.Assign(lesson))
		Expect(others).To(HaveLen(6))
		Expect(others).NotTo(ContainElement(long))
	})

	It("spreads long tasks over the engines, the fastest ones first", func() {
		scheduler, engines := taught(8)
		for i := range 4 {
			t := grouped("t", "t", 500+i, 1000)
			t.Kept = assign.Kept{}
			scheduler.Add(t)
		}
		// One run on each engine; e1 gets slower, which is known from its run.
		for _, start := range scheduler.Assign(lesson) {
			interval := 50 * ms
			if start.Engine == "e1" {
				interval = 100 * ms
			}
			for n := range int64(10) {
				scheduler.Progress(start.Run, n+1, lesson+time.Duration(n+1)*interval)
			}
		}
		scheduler.SetEngines(engines)
		for i := range 3 {
			scheduler.Add(grouped("j", "long", i, 5000))
		}
		_, used := started(scheduler.Assign(lesson + time.Second))
		Expect(used).To(HaveLen(3))
		Expect(used).NotTo(ContainElement("e1"))
	})

	It("uses an engine that is about to be reclaimed only for a task that ends before, if no other has a slot", func() {
		scheduler, engines := taught(1)
		engines[0].ReclaimedAt = lesson + 2*time.Second
		scheduler.SetEngines(engines[:1])
		scheduler.Add(grouped("j", "long", 0, 5000))
		scheduler.Add(grouped("j", "short", 1, 1000))
		tasks, _ := started(scheduler.Assign(lesson))
		Expect(tasks).To(Equal([]int{1}))
		scheduler.SetEngines(engines[:2])
		scheduler.Add(grouped("j", "short", 2, 1000))
		tasks, used := started(scheduler.Assign(lesson))
		Expect(tasks).To(Equal([]int{0}))
		Expect(used).To(Equal([]string{"e2"}))
	})

	It("states the inputs of a start", func() {
		scheduler, _ := taught(4)
		scheduler.SetOccupancy(lesson+ms, map[string]assign.Load{"e1": {Runs: 1}, "e2": {Runs: 1}, "e3": {Runs: 1}, "e4": {Runs: 1}})
		scheduler.SetJob("j", assign.Job{Due: lesson + 5*time.Second})
		scheduler.Add(grouped("j", "g", 0, 1000))
		in := scheduler.Assign(lesson + 11*ms)[0].Inputs
		Expect(in.Own).To(Equal(1))
		Expect(in.Others).To(Equal(1))
		Expect(in.NewsAge).To(Equal(10 * ms))
		Expect(in.Remaining).To(BeNumerically("~", 1050*ms, 100*ms))
		Expect(in.SlackKnown).To(BeTrue())
		Expect(in.Slack).To(Equal(5*time.Second - 11*ms - in.Remaining))
	})
})

var _ = Describe("Moves", func() {
	It("off an engine that is about to be reclaimed take the runs that do not end before, the least slack first", func() {
		scheduler, engines := taught(8)
		scheduler.SetEngines(engines[:1])
		scheduler.SetJob("j", assign.Job{Due: lesson + 8*time.Second})
		for i, tokens := range []int64{2500, 5000, 500, 4000} {
			scheduler.Add(grouped("j", "g", i, tokens))
		}
		starts := scheduler.Assign(lesson)
		Expect(starts).To(HaveLen(4))
		for _, start := range starts {
			scheduler.Progress(start.Run, 2, lesson+100*ms)
		}
		engines[0].ReclaimedAt = lesson + time.Second
		engines[1].Slots = 2
		scheduler.SetEngines(engines[:2])
		Expect(scheduler.RunsToMove(lesson+120*ms)).To(BeEmpty(), "they go on as long as they can")
		stops := scheduler.RunsToMove(lesson + 420*ms)
		Expect(stops).To(HaveLen(2), "there are two slots")
		Expect(stops[0].Task.Task).To(Equal(1))
		Expect(stops[1].Task.Task).To(Equal(3))
		Expect(stops[0].Reason).To(Equal("engine is reclaimed"))
	})

	It("are not made for less than they cost", func() {
		scheduler, engines := taught(8)
		scheduler.SetEngines(engines)
		for i := range 4 {
			scheduler.Add(grouped("j", "g", i, 1000))
		}
		starts := scheduler.Assign(lesson)
		for _, start := range starts {
			for n := range int64(18) { // two more events are expected
				scheduler.Progress(start.Run, n+1, lesson+time.Duration(n+1)*75*ms)
			}
		}
		Expect(scheduler.RunsToMove(lesson + 1400*ms)).To(BeEmpty())
	})
})
