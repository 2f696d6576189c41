package size_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/size"
)

const (
	tick     = 100 * time.Millisecond
	bootTime = 4 * time.Second
	due      = 7500 * time.Millisecond
	eventAt  = 30 * time.Second // of what happens to data centre a
	replayed = 90 * time.Second
	slots    = 8
)

var replayBounds = size.Bounds{Min: 1, Max: 6, Prices: map[string]float64{"a": 0.8, "b": 1, "c": 1, "d": 1.2}}

// server is a target of the replay; running holds the ends of its tasks by task.
type server struct {
	id, zone           string
	from, until, downs time.Duration // it runs in between, but is down from downs for bootTime
	running            map[int]time.Duration
}

func (s *server) up(now time.Duration) bool {
	return now >= s.from && now < s.until && (s.downs == 0 || now < s.downs || now >= s.downs+bootTime)
}

// replay is a deployment of four data centres with three targets each, and one trainer.
type replay struct {
	servers            []*server
	tasks              int // of a step
	refuses, evacuated map[string]bool
	notice             time.Duration // data centre a is reclaimed then
	loseAnswers        int

	step            size.Job
	waiting         []int
	since           map[int]time.Duration // tasks that wait
	late, steps     int
	lastAnswered    time.Duration
	jobs            []size.Job
	asked, refused  int
	firstOrder      time.Duration
	lowered, bought int
}

func newReplay(tasks int) *replay {
	r := &replay{tasks: tasks, refuses: map[string]bool{}, evacuated: map[string]bool{}, since: map[int]time.Duration{}}
	for i := range 12 {
		r.start(string("abcd"[i%4]), 0)
	}
	return r
}

func (r *replay) start(zone string, from time.Duration) {
	id := fmt.Sprintf("%s%d", zone, len(r.servers))
	r.servers = append(r.servers, &server{id: id, zone: zone, from: from, until: time.Hour, running: map[int]time.Duration{}})
}

// order carries out an order: its total counts every target that runs or starts.
func (r *replay) order(now time.Duration, zone string, count int) size.Outcome {
	r.asked++
	if r.firstOrder == 0 {
		r.firstOrder = now
	}
	if r.refuses[zone] {
		r.refused++
		return size.Refused
	}
	present := 0
	for _, s := range r.servers {
		if s.zone == zone && now < s.until {
			present++
		}
	}
	if count < present {
		r.lowered++
	}
	for ; present < count; present++ {
		r.start(zone, now+bootTime)
		r.bought++
	}
	if r.loseAnswers > 0 {
		r.loseAnswers--
		return size.Unknown
	}
	return size.Accepted
}

// entries returns the registry: a target that crashes leaves it, one that is reclaimed says so.
func (r *replay) entries(now time.Duration) []size.Target {
	var out []size.Target
	for _, s := range r.servers {
		if !s.up(now) {
			continue
		}
		t := size.Target{ID: s.id, DataCentre: s.zone, Slots: slots, Ready: true, Evacuated: now >= eventAt && r.evacuated[s.zone]}
		t.Ready = !t.Evacuated
		if r.notice > 0 && now >= r.notice && s.until < time.Hour {
			t.LeavesIn = s.until - now
		}
		out = append(out, t)
	}
	return out
}

// advance runs the tasks: one in twelve takes 6.5 s, the others 2 s. A task whose target stops
// starts again.
func (r *replay) advance(now time.Duration) {
	usable := map[string]bool{}
	for _, t := range r.entries(now) {
		usable[t.ID] = t.Ready && t.LeavesIn == 0
	}
	for _, s := range r.servers {
		for task, end := range s.running {
			switch {
			case !s.up(now):
				r.waiting, r.since[task] = append(r.waiting, task), now
			case now >= end:
				r.step.OpenTasks--
			default:
				continue
			}
			delete(s.running, task)
		}
	}
	r.nextStep(now)
	for _, s := range r.servers {
		for usable[s.id] && len(s.running) < slots && len(r.waiting) > 0 {
			task, length := r.waiting[0], 2*time.Second
			if task%12 == 0 {
				length = 6500 * time.Millisecond
			}
			r.step.SlotWait = max(r.step.SlotWait, now-r.since[task])
			r.waiting, s.running[task] = r.waiting[1:], now+length
		}
	}
}

// nextStep closes a step that is complete and submits the next one 4 s later.
func (r *replay) nextStep(now time.Duration) {
	if r.step.OpenTasks == 0 && r.lastAnswered == 0 {
		r.lastAnswered = max(now, tick)
		if r.step.Deadline > 0 {
			r.step.ClosedAt = now
			r.jobs = append(r.jobs, r.step)
			r.steps++
			if now-r.step.SubmittedAt > due {
				r.late++
			}
		}
	}
	if r.step.OpenTasks > 0 || now < r.lastAnswered+4*time.Second {
		return
	}
	r.lastAnswered = 0
	r.step = size.Job{Stream: "m", SubmittedAt: now, OpenTasks: r.tasks, Deadline: due}
	for task := range r.tasks {
		r.waiting, r.since[task] = append(r.waiting, task), now
	}
}

// openJobs returns the jobs of the last 30 s.
func (r *replay) openJobs(now time.Duration) []size.Job {
	var out []size.Job
	for _, j := range r.jobs {
		if now-j.ClosedAt <= 30*time.Second {
			out = append(out, j)
		}
	}
	if r.step.OpenTasks > 0 {
		step := r.step
		for _, task := range r.waiting {
			step.SlotWait = max(step.SlotWait, now-r.since[task])
		}
		out = append(out, step)
	}
	return out
}

// extra returns the seconds of targets that were ordered.
func (r *replay) extra() float64 {
	sum := time.Duration(0)
	for _, s := range r.servers {
		if s.from > 0 {
			sum += replayed - s.from
		}
	}
	return sum.Seconds()
}

// policy is called every tick and orders.
type policy func(now time.Duration, r *replay)

// planned is the policy of the planner, stepped every 200 ms.
func planned() policy {
	forecast, planner := size.NewForecast(), size.NewPlanner(size.Settings{Boot: bootTime, Lapse: 3 * time.Second})
	return func(now time.Duration, r *replay) {
		if now%(200*time.Millisecond) != 0 {
			return
		}
		for range 4 { // what one refuses is asked of another at once
			in := size.Input{Targets: r.entries(now), Bounds: replayBounds, Load: forecast.Observe(now, r.openJobs(now))}
			refused := false
			for _, o := range planner.Plan(now, in).Orders {
				outcome := r.order(now, o.DataCentre, o.Count)
				planner.SetOutcome(now, o, outcome)
				refused = refused || outcome == size.Refused
			}
			if !refused {
				return
			}
		}
	}
}

// earlier is DesiredTargets for the peak where NeedsMoreTargets was true lately, every second.
func earlier() policy {
	peak, peakAt, shortAt := 0, time.Duration(0), time.Duration(0)
	ordered := map[string]int{}
	return func(now time.Duration, r *replay) {
		if now%time.Second != 0 {
			return
		}
		tasks := 0
		for _, j := range r.openJobs(now) {
			elapsed := j.ClosedAt - j.SubmittedAt
			if j.ClosedAt == 0 {
				tasks, elapsed = tasks+j.OpenTasks, now-j.SubmittedAt
			}
			if size.NeedsMoreTargets(j.SlotWait, elapsed, j.Deadline) {
				shortAt = now
			}
		}
		if tasks >= peak || now-peakAt > 30*time.Second {
			peak, peakAt = tasks, now
		}
		if shortAt == 0 || now-shortAt > 30*time.Second {
			return
		}
		present, bounds := map[string]int{}, replayBounds
		bounds.Prices = maps.Clone(bounds.Prices)
		for _, t := range r.entries(now) {
			if t.Ready {
				present[t.DataCentre]++
			} else {
				delete(bounds.Prices, t.DataCentre)
			}
		}
		for zone, count := range size.DesiredTargets(size.Demand{PeakTasks: peak, SlotsPerTarget: slots}, bounds, present) {
			if count > max(present[zone], ordered[zone]) && r.order(now, zone, count) == size.Accepted {
				ordered[zone] = count
			}
		}
	}
}

func (r *replay) run(p policy) *replay {
	for now := time.Duration(0); now < replayed; now += tick {
		r.advance(now)
		p(now, r)
	}
	return r
}

func (r *replay) String() string {
	return fmt.Sprintf("%d of %d steps late, %d targets ordered, first after %.1f s, %.0f s of them, %d asked, %d refused, %d lowered",
		r.late, r.steps, r.bought, max(0, r.firstOrder-eventAt).Seconds(), r.extra(), r.asked, r.refused, r.lowered)
}

func reclaim(r *replay) {
	r.notice = eventAt
	for _, s := range r.servers {
		if s.zone == "a" {
			s.until = eventAt + 2500*time.Millisecond
		}
	}
}

func crash(r *replay) {
	for _, s := range r.servers {
		if s.zone == "a" {
			s.downs = eventAt
		}
	}
}

func refuseAll(r *replay) {
	for zone := range replayBounds.Prices {
		r.refuses[zone] = true
	}
}

var _ = Describe("Replay of lost capacity", func() {
	compare := func(tasks int, events ...func(*replay)) (now, before *replay) {
		now, before = newReplay(tasks), newReplay(tasks)
		for _, e := range events {
			e(now)
			e(before)
		}
		now.run(planned())
		before.run(earlier())
		AddReportEntry(fmt.Sprintf("%s, %d tasks; planner: %s; earlier policy: %s", CurrentSpecReport().LeafNodeText, tasks, now, before))
		Expect(now.lowered).To(BeZero(), "an order states fewer targets than run")
		return now, before
	}
	const low, high = 38, 86 // 40 % and 90 % of 96 slots
	evacuate := func(r *replay) { r.evacuated["a"] = true }
	It("orders nothing if nothing happens", func() {
		now, _ := compare(high)
		Expect(now.asked).To(BeZero())
	})
	It("orders nothing for a reclaimed data centre if the others cover the peak", func() {
		now, _ := compare(low, reclaim)
		Expect(now.asked).To(BeZero())
	})
	DescribeTable("orders what is missing at the peak when it learns of it",
		func(event func(*replay)) {
			now, before := compare(high, event)
			Expect(now.firstOrder).To(Equal(eventAt))
			Expect(now.bought).To(Equal(2), "11 targets have a slot for each of 86 tasks")
			Expect(now.late).To(BeNumerically("<=", before.late))
		},
		Entry("reclaim", reclaim), Entry("evacuation", evacuate), Entry("crash and return", crash),
	)
	It("orders in the data centres that have some, and asks the others at growing intervals", func() {
		now, before := compare(high, reclaim, refuseAll)
		Expect(now.bought).To(BeZero())
		Expect(now.asked).To(BeNumerically("<", before.asked))
		now, _ = compare(high, reclaim, func(r *replay) { r.refuses["b"], r.refuses["c"] = true, true })
		Expect(now.bought).To(Equal(2))
		Expect(now.firstOrder).To(Equal(eventAt))
	})
	It("repeats an order whose answer is lost with the same number", func() {
		now, _ := compare(high, reclaim, func(r *replay) { r.loseAnswers = 2 })
		Expect(now.bought).To(Equal(2))
	})
})
