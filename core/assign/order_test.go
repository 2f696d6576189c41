package assign_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// taught returns a scheduler that has seen 24 outputs of 20 events and three of 100 events, with
// hints of 50 tokens for each event, on four engines with 50 ms between events. The engines have
// no runs when it is 10 s.
func taught(slots int) (*assign.Scheduler, []assign.Engine) {
	scheduler := assign.New(assign.DefaultLimits())
	var engines []assign.Engine
	for i := range 4 {
		engines = append(engines, engine(fmt.Sprint("e", i+1), 8, 2))
	}
	scheduler.SetEngines(engines)
	for i := range 27 {
		t := task(1000+i, 1000)
		if i < 3 {
			t.ExpectedTokens = 5000
		}
		scheduler.Add(t)
	}
	for _, start := range scheduler.Assign(0) {
		events := int64(20)
		if start.Task.Task < 1003 {
			events = 100
		}
		for n := range events {
			scheduler.Progress(start.Run, n+1, time.Duration(n+1)*50*ms)
		}
		scheduler.Finish(5*time.Second, start.Run, assign.Completed, assign.Kept{Events: events})
	}
	scheduler.Assign(5 * time.Second)
	for i := range engines {
		engines[i].Slots = slots
	}
	scheduler.SetEngines(engines)
	return scheduler, engines
}

const lesson = 6 * time.Second // when the specs go on after taught

// grouped returns a task of a group of a job.
func grouped(job, group string, i int, tokens int64) assign.Task {
	t := task(i, tokens)
	t.Key.Job, t.Group, t.WaitingSince, t.Submitted = job, group, lesson, lesson
	return t
}

// order starts one task at a time and returns the groups in the order of their starts.
func order(scheduler *assign.Scheduler, groups map[assign.Key]string) (out []string) {
	for now := lesson; ; now += 100 * ms {
		starts := scheduler.Assign(now)
		if len(starts) == 0 {
			return out
		}
		for _, start := range starts {
			out = append(out, groups[start.Task])
			scheduler.Finish(now, start.Run, assign.Canceled, assign.Kept{})
		}
	}
}

var _ = Describe("Start order", func() {
	var scheduler *assign.Scheduler
	groups := map[assign.Key]string{}
	add := func(job, group string, first, n int, tokens int64) {
		for i := range n {
			t := grouped(job, group, first+i, tokens)
			groups[t.Key] = group
			scheduler.Add(t)
		}
	}
	BeforeEach(func() {
		var engines []assign.Engine
		scheduler, engines = taught(1)
		scheduler.SetEngines(engines[:1])
		clear(groups)
	})

	It("has the least slack first, and at equal slack the group that is closest to completion", func() {
		scheduler.SetJob("j", assign.Job{Due: lesson + 8*time.Second, GroupsWanted: 3, Groups: 3})
		add("j", "large", 0, 3, 1000)
		add("j", "small", 10, 2, 1000)
		add("j", "long", 20, 1, 4000)
		Expect(order(scheduler, groups)).To(Equal([]string{"long", "small", "small", "large", "large", "large"}))
	})

	It("has the job first that is due first", func() {
		scheduler.SetJob("j", assign.Job{Due: lesson + 9*time.Second, Groups: 1})
		scheduler.SetJob("k", assign.Job{Due: lesson + 3*time.Second, Groups: 1})
		add("j", "later", 0, 2, 2000)
		add("k", "sooner", 0, 2, 1000)
		Expect(order(scheduler, groups)).To(Equal([]string{"sooner", "sooner", "later", "later"}))
	})

	It("has the groups last that are not needed for the wanted number", func() {
		scheduler.SetJob("j", assign.Job{Due: lesson + 8*time.Second, GroupsWanted: 2, Groups: 3})
		add("j", "a", 0, 2, 1000)
		add("j", "b", 10, 2, 1000)
		add("j", "c", 20, 2, 4000)
		Expect(order(scheduler, groups)[:4]).To(ConsistOf("a", "a", "b", "b"))
	})

	// Guards against callers that are never served because others can still be in time.
	It("gives one start in eight to groups that cannot be in time", func() {
		scheduler.SetJob("j", assign.Job{Due: lesson + 30*time.Second, Groups: 1})
		scheduler.SetJob("k", assign.Job{Due: lesson - time.Hour, Groups: 1})
		add("j", "in time", 0, 32, 1000)
		add("k", "late", 0, 8, 1000)
		starts := order(scheduler, groups)
		Expect(starts).To(HaveLen(40))
		first := slices.Index(starts, "late")
		Expect(first).To(BeNumerically("<", 8))
		for i, group := range starts[:36] {
			Expect(group == "late").To(Equal(i%8 == first), "start %d", i)
		}
	})

	It("is the longest expected output first where no due time is known, or it has passed", func() {
		for _, due := range []time.Duration{0, time.Second, -time.Hour, math.MinInt64, math.MinInt64 / 2} {
			scheduler.SetJob("j", assign.Job{Due: due, Groups: 3})
			add("j", "b", 0, 1, 2000)
			add("j", "a", 1, 1, 3000)
			add("j", "c", 2, 1, 1000)
			Expect(order(scheduler, groups)).To(Equal([]string{"a", "b", "c"}))
		}
		scheduler.RemoveJob("j")
	})

	// Guards against hints that make a group count as one that can never be in time, or overflow.
	It("takes hints that are not sensible for the longest known length, or the mean one", func() {
		scheduler.SetJob("j", assign.Job{Due: lesson + 8*time.Second, GroupsWanted: -1, Groups: -5})
		hints := []int64{math.MaxInt64, 50_000_000, 4000, 0, -1, math.MinInt64}
		for i, hint := range hints {
			add("j", fmt.Sprint(hint), i, 1, hint)
		}
		starts := order(scheduler, groups)
		Expect(starts).To(HaveLen(len(hints)))
		Expect(slices.Sorted(slices.Values(starts[:2]))).To(Equal([]string{"50000000", "9223372036854775807"}))
		Expect(starts[2]).To(Equal("4000"))
	})
})
