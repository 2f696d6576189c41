package assign_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// policy is what the replay needs of a scheduler.
type policy interface {
	SetEngines([]assign.Engine)
	Add(assign.Task)
	Assign(time.Duration) []assign.Start
	Progress(run, events int64, at time.Duration)
	RunsToMove(time.Duration) []assign.Stop
	Requeue(time.Duration, int64, assign.Kept)
	Finish(time.Duration, int64, assign.Outcome, assign.Kept) bool
	Drop(assign.Key) (assign.Stop, bool)
}

// load is a replayed load: trainers that submit steps at nearly the same time onto engines of
// eight slots that queue further requests in order of arrival.
type load struct {
	trainers, engines, steps int
	tasks                    [2]int        // of a step, smallest and largest number
	apart                    time.Duration // between the first and the last trainer's submission
	means                    [2]float64    // of the outputs of a step without the long ones, in events
	hintError                float64       // sigma of the lognormal error of the hints
	speedClasses             []float64     // factors of the event interval
	slowUntil                time.Duration // one in five engines is three times as slow from 1 s until then
	reclaimAt                time.Duration // when a third of the engines goes, known 2.5 s before; zero: never
	seed                     uint64
}

const (
	replayTick = 5 * ms
	due        = 7500 * ms
	credited   = 8200 * ms // a group that is whole by then counts in full
	slots      = 8

	promptTokens = 1000
)

type simTask struct {
	task   assign.Task
	length int64 // events
	events int64 // received
	done   bool
}

type simRun struct {
	runner    *simRunner
	start     assign.Start
	task      *simTask
	sent      time.Duration
	progress  float64
	events    int64
	lastEvent time.Duration
}

type simEngine struct {
	id             string
	factor         float64
	slow, reclaims bool
	running, queue []*simRun
}

type simRunner struct {
	model     string
	policy    policy
	tasks     map[assign.Key]*simTask // of the current step
	runs      map[int64]*simRun
	step      int
	submitted time.Duration
	wanted    int
	whole     map[string]time.Duration // when each group became whole
	groups    map[string]int           // tasks left
	published map[string]assign.Load
	sentAt    time.Duration
	news      time.Duration // when the others have them
	reviewAt  time.Duration
	changed   bool // a run may start
	acted     bool // a run has started or ended since the latest message
}

// result holds the figures of a replay.
type result struct {
	wanted                              []time.Duration // from a submission until the wanted groups are whole
	credited, groups, runs, queued, mov int
	queueWait                           time.Duration
}

func (r result) mean() time.Duration {
	sum := time.Duration(0)
	for _, d := range r.wanted {
		sum += d
	}
	return sum / time.Duration(max(1, len(r.wanted)))
}

func (r result) String() string {
	return fmt.Sprintf("wanted groups whole after %v on average, %v at most; %d of %d groups whole in time; %d runs, %d waited in an engine's queue for %v together, %d moved",
		r.mean().Round(10*ms), slices.Max(r.wanted).Round(10*ms), r.credited, r.groups, r.runs, r.queued, r.queueWait.Round(10*ms), r.mov)
}

// sim replays a load under one policy.
type sim struct {
	load
	rng     *rand.Rand
	engines []*simEngine
	byID    map[string]*simEngine
	runners []*simRunner
	result  result
}

func replay(l load, newPolicy func() policy) result {
	s := &sim{load: l, rng: rand.New(rand.NewPCG(l.seed, 1)), byID: map[string]*simEngine{}}
	for i := range l.engines {
		e := &simEngine{id: fmt.Sprintf("i-%d", i*7919), factor: 1, slow: l.slowUntil > 0 && i%5 == 0, reclaims: l.reclaimAt > 0 && i%3 == 0}
		if len(l.speedClasses) > 0 {
			e.factor = l.speedClasses[s.rng.IntN(len(l.speedClasses))]
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
	}
	for i := range l.trainers {
		r := &simRunner{model: fmt.Sprint("m", i), policy: newPolicy(), runs: map[int64]*simRun{}, published: map[string]assign.Load{}, sentAt: -time.Second}
		r.submitted = l.apart * time.Duration(i) / time.Duration(l.trainers)
		s.runners = append(s.runners, r)
	}
	for now := time.Duration(0); s.active() && now < time.Minute; now += replayTick {
		s.advanceEngines(now)
		for _, r := range s.runners {
			s.advanceRunner(now, r)
		}
	}
	return s.result
}

func (s *sim) active() bool {
	return slices.ContainsFunc(s.runners, func(r *simRunner) bool { return r.step < s.steps || len(r.tasks) > 0 })
}

func (s *sim) advanceEngines(now time.Duration) {
	for _, e := range s.engines {
		if e.reclaims && now >= s.reclaimAt {
			for _, r := range slices.Concat(e.running, e.queue) {
				s.endRun(now, r, assign.Broken)
			}
			e.running, e.queue = nil, nil
			continue
		}
		tokens := 0.0
		for _, r := range e.running {
			tokens += promptTokens + 67*float64(r.task.events)
		}
		interval := 48e-3 * e.factor * (1 + 0.004*float64(len(e.running)-1) + 5e-6*tokens)
		if e.slow && now >= time.Second && now < s.slowUntil {
			interval *= 3
		}
		for _, r := range slices.Clone(e.running) {
			if r.progress += replayTick.Seconds() / interval; r.progress < 1 {
				continue
			}
			r.progress--
			r.events++
			r.lastEvent = now
			if r.task.events++; r.task.events >= r.task.length {
				s.endRun(now, r, assign.Completed)
			}
		}
		for len(e.running) < slots && len(e.queue) > 0 {
			r := e.queue[0]
			e.queue = e.queue[1:]
			if now-r.sent > replayTick {
				s.result.queued++
				s.result.queueWait += now - r.sent
			}
			r.progress = -0.5 // prefill
			e.running = append(e.running, r)
		}
	}
}

// endRun removes a run from its engine and reports its end to the runner, unless it was moved.
func (s *sim) endRun(now time.Duration, r *simRun, outcome assign.Outcome) {
	e := s.byID[r.start.Engine]
	same := func(other *simRun) bool { return other == r }
	e.running, e.queue = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.queue, same)
	if r.runner.runs[r.start.Run] == nil {
		return
	}
	delete(r.runner.runs, r.start.Run)
	r.runner.changed, r.runner.acted = true, true
	if outcome == assign.Canceled {
		return
	}
	r.runner.policy.Finish(now, r.start.Run, outcome, assign.Kept{Events: r.task.events})
	if outcome == assign.Completed {
		s.complete(now, r.runner, r.task)
	}
}

func (s *sim) complete(now time.Duration, r *simRunner, t *simTask) {
	t.done = true
	delete(r.tasks, t.task.Key)
	if r.groups[t.task.Group]--; r.groups[t.task.Group] > 0 {
		return
	}
	r.whole[t.task.Group] = now
	if now-r.submitted <= credited {
		s.result.credited++
	}
	if len(r.whole) == r.wanted {
		s.result.wanted = append(s.result.wanted, now-r.submitted)
	}
}

// submit ends the previous step, whose tasks left are resubmitted, and submits the next one.
func (s *sim) submit(now time.Duration, r *simRunner) {
	var left []*simTask
	for _, key := range slices.SortedFunc(maps.Keys(r.tasks), func(a, b assign.Key) int { return a.Task - b.Task }) {
		left = append(left, r.tasks[key])
		if stop, running := r.policy.Drop(key); running {
			s.endRun(now, r.runs[stop.Run], assign.Canceled)
		}
	}
	r.tasks, r.groups, r.whole = map[assign.Key]*simTask{}, map[string]int{}, map[string]time.Duration{}
	r.submitted, r.changed = now, true
	job := fmt.Sprint(r.model, "/", r.step)
	size := 8 << s.rng.IntN(2)
	n := (s.tasks[0] + s.rng.IntN(s.tasks[1]-s.tasks[0]+1)) / size * size
	mean := s.means[0] + (s.means[1]-s.means[0])*s.rng.Float64()
	for _, t := range left {
		t.task.Resubmitted = true
		s.add(now, r, t, job, "left/"+t.task.Group)
	}
	for i := range n {
		length := mean * math.Exp(0.35*s.rng.NormFloat64())
		if s.rng.IntN(12) == 0 {
			length *= 5
		}
		t := &simTask{length: int64(min(max(length, 2), 7.3*mean))}
		t.task.ExpectedTokens = int64(float64(t.length) * 67 * math.Exp(s.hintError*s.rng.NormFloat64()))
		s.add(now, r, t, job, fmt.Sprint(job, "/", i/size))
	}
	r.wanted = int(math.Ceil(0.9 * float64(len(r.groups))))
	if scheduler, knows := r.policy.(*assign.Scheduler); knows {
		scheduler.RemoveJob(fmt.Sprint(r.model, "/", r.step-1))
		scheduler.SetJob(job, assign.Job{Due: now + due, GroupsWanted: r.wanted, Groups: len(r.groups)})
	}
	s.result.groups += len(r.groups)
	r.step++
}

func (s *sim) add(now time.Duration, r *simRunner, t *simTask, job, group string) {
	t.task.Key = assign.Key{Job: job, Task: len(r.tasks)}
	t.task.Service, t.task.Model, t.task.MinVersion, t.task.Group = "s", r.model, 1, group
	t.task.PromptTokens = promptTokens
	t.task.Submitted, t.task.WaitingSince, t.task.Kept = now, now, assign.Kept{Events: t.events}
	r.tasks[t.task.Key] = t
	r.groups[group]++
	r.policy.Add(t.task)
}

func (s *sim) advanceRunner(now time.Duration, r *simRunner) {
	switch {
	case r.step == 0 && now >= r.submitted, r.step > 0 && r.step < s.steps && now >= r.submitted+4*time.Second && len(r.whole) >= r.wanted:
		s.submit(now, r)
	case r.step == s.steps && len(r.whole) >= r.wanted && now > r.submitted+credited:
		r.tasks = nil // the last step ends, too
		return
	}
	if now >= r.reviewAt {
		r.reviewAt, r.changed = now+150*ms, true
		r.policy.SetEngines(s.listEngines(now))
		for _, id := range slices.Sorted(maps.Keys(r.runs)) {
			run := r.runs[id]
			r.policy.Progress(id, run.events, run.lastEvent)
		}
		for _, stop := range r.policy.RunsToMove(now) {
			run := r.runs[stop.Run]
			r.policy.Requeue(now, stop.Run, assign.Kept{Events: run.task.events})
			s.endRun(now, run, assign.Canceled)
			s.result.mov++
		}
	}
	if scheduler, shares := r.policy.(*assign.Scheduler); shares {
		s.exchange(now, r, scheduler)
	}
	if !r.changed {
		return
	}
	r.changed = false
	for _, start := range r.policy.Assign(now) {
		run := &simRun{runner: r, start: start, task: r.tasks[start.Task], sent: now}
		r.runs[start.Run], r.acted = run, true
		s.byID[start.Engine].queue = append(s.byID[start.Engine].queue, run)
		s.result.runs++
	}
}

// exchange publishes the runner's occupancy at most every 200 ms, and at least every 2 s, and
// passes on what the others have published, 5 ms after it.
func (s *sim) exchange(now time.Duration, r *simRunner, scheduler *assign.Scheduler) {
	if now >= r.sentAt+200*ms && (r.acted || now >= r.sentAt+2*time.Second) {
		r.published, r.sentAt, r.acted = scheduler.Occupancy(), now, false
	}
	others, oldest, newest := map[string]assign.Load{}, now, time.Duration(0)
	for _, other := range s.runners {
		if other != r {
			oldest, newest = min(oldest, other.sentAt), max(newest, other.sentAt)
		}
	}
	if newest+replayTick > now || newest <= r.news {
		return
	}
	r.news, r.changed = newest, true
	for _, other := range s.runners {
		if other == r {
			continue
		}
		for id, l := range other.published {
			others[id] = assign.Load{Runs: others[id].Runs + l.Runs, Tokens: others[id].Tokens + l.Tokens}
		}
	}
	scheduler.SetOccupancy(oldest, others)
}

func (s *sim) listEngines(now time.Duration) []assign.Engine {
	var out []assign.Engine
	for _, e := range s.engines {
		listed := assign.Engine{ID: e.id, Service: "s", Slots: slots, Ready: !e.reclaims || now < s.reclaimAt, Versions: map[string]int64{}}
		if e.reclaims && now >= s.reclaimAt-2500*ms {
			listed.ReclaimedAt = s.reclaimAt
		}
		for _, r := range s.runners {
			listed.Versions[r.model] = 1
			listed.Serves = append(listed.Serves, r.model)
		}
		out = append(out, listed)
	}
	return out
}
