package assign_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// Guards against stalled runs that hold the slots of all engines for ever, because a run moved only
// while another engine had a free slot.
var _ = It("Runs that stall on all engines at once end, and their tasks run again", func() {
	s := assign.New(assign.DefaultLimits())
	var engines []assign.Engine
	for i := range 3 {
		engines = append(engines, assign.Engine{ID: fmt.Sprint("e", i), Service: "models", Software: "v1", Slots: 2, Ready: true, Versions: map[string]int64{"m": 1}})
	}
	s.SetEngines(engines)
	for i := range 8 {
		s.Add(assign.Task{Key: assign.Key{Job: "j", Task: i}, Service: "models", Model: "m", Group: "g", ExpectedTokens: 100})
	}
	starts := s.Assign(0)
	Expect(starts).To(HaveLen(6), "all slots")
	s.Progress(starts[0].Run, 1, 10*ms) // the others get no event at all
	stopped := map[int64]bool{}
	for now := 150 * ms; now < 20*time.Second && len(stopped) < 6; now += 150 * ms {
		for _, stop := range s.RunsToMove(now) {
			Expect(stopped[stop.Run]).To(BeFalse())
			stopped[stop.Run] = true
			s.Requeue(now, stop.Run, assign.Kept{})
		}
	}
	Expect(stopped).To(HaveLen(6))
	Expect(s.Assign(30 * time.Second)).To(HaveLen(6))
})

// Guards against slow but sound streams that are cut again and again, so that no task ever ends.
var _ = DescribeTable("Tasks of a slow but sound service end", func(firstEvent, interval time.Duration) {
	const events = 6
	s := assign.New(assign.DefaultLimits())
	var engines []assign.Engine
	for i := range 4 {
		engines = append(engines, assign.Engine{ID: fmt.Sprint("e", i), Service: "models", Software: "v1", Slots: 8, Ready: true, Versions: map[string]int64{"m": 1}})
	}
	s.SetEngines(engines)
	for i := range 8 {
		s.Add(assign.Task{Key: assign.Key{Job: "j", Task: i}, Service: "models", Model: "m", Group: "g", ExpectedTokens: 100})
	}
	type running struct {
		key    assign.Key
		nextAt time.Duration
		events int64
	}
	runs, kept, done, moves := map[int64]*running{}, map[assign.Key]int64{}, 0, 0
	for now := time.Duration(0); now < 5*time.Minute && done < 8; now += 50 * ms {
		for _, start := range s.Assign(now) {
			kept[start.Task] = start.ResumeAfter
			runs[start.Run] = &running{key: start.Task, nextAt: now + firstEvent}
		}
		for id, r := range runs {
			if now < r.nextAt {
				continue
			}
			r.events, r.nextAt = r.events+1, r.nextAt+interval
			s.Progress(id, r.events, now)
			if kept[r.key]+r.events == events {
				delete(runs, id)
				s.Finish(now, id, assign.Completed, assign.Kept{Events: events, Software: "v1"})
				done++
			}
		}
		for _, stop := range s.RunsToMove(now) {
			moves++
			s.Requeue(now, stop.Run, assign.Kept{Events: kept[stop.Task] + runs[stop.Run].events, Software: "v1"})
			delete(runs, stop.Run)
		}
	}
	Expect(done).To(Equal(8))
	Expect(moves).To(BeNumerically("<=", 8*4), "runs moved")
},
	Entry("with first events after 5 s", 5*time.Second, 50*ms),
	Entry("with 1.5 s between events", 100*ms, 1500*ms),
	Entry("with 4 s to the first event and 3 s between events", 4*time.Second, 3*time.Second),
)
