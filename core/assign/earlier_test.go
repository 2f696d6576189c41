package assign_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/assign"
	"github.com/amaranthfold/amaranthfold/core/hash"
)

// earlier is the policy before runners knew of each other, without permits and software
// versions: longest hint first, fixed thresholds for timeouts and moves.
type earlier struct {
	waiting []*assign.Task
	runs    map[int64]*earlierRun
	engines []*earlierEngine
	nextRun int64
	median  float64
}

type earlierRun struct {
	id              int64
	task            *assign.Task
	engine          *earlierEngine
	started, lastAt time.Duration
	events          int64
}

type earlierEngine struct {
	assign.Engine
	running      int
	backoffUntil time.Duration
	interval     float64
	groups       map[string]int
	home         string
	avoidedBy    map[assign.Key]bool
}

func newEarlier() *earlier { return &earlier{runs: map[int64]*earlierRun{}} }

func earlierRank(model, id string) uint64 {
	return hash.Mix(xxhash.Sum64String(model) ^ xxhash.Sum64String(id))
}

func (s *earlier) SetEngines(list []assign.Engine) {
	if s.engines == nil {
		for _, e := range list {
			s.engines = append(s.engines, &earlierEngine{groups: map[string]int{}, avoidedBy: map[assign.Key]bool{}})
			s.engines[len(s.engines)-1].Engine = e
		}
		slices.SortFunc(s.engines, func(a, b *earlierEngine) int { return cmp.Compare(earlierRank("", a.ID), earlierRank("", b.ID)) })
	}
	byID := map[string]assign.Engine{}
	for _, e := range list {
		byID[e.ID] = e
	}
	count := map[string]int{}
	for _, e := range s.engines {
		e.Engine, e.Ready = byID[e.ID], byID[e.ID].Ready
		e.home = ""
		for _, m := range e.Serves {
			if e.home == "" || count[m] < count[e.home] {
				e.home = m
			}
		}
		count[e.home]++
	}
}

func (s *earlier) Add(t assign.Task) { s.enqueue(&t) }

func (s *earlier) enqueue(t *assign.Task) {
	s.waiting = append(s.waiting, t)
	slices.SortStableFunc(s.waiting, func(a, b *assign.Task) int {
		if a.Resubmitted != b.Resubmitted {
			return map[bool]int{true: -1, false: 1}[a.Resubmitted]
		}
		return cmp.Or(cmp.Compare(b.ExpectedTokens, a.ExpectedTokens), cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Key.Task, b.Key.Task))
	})
}

func (s *earlier) updateMedian() {
	var values []float64
	for _, e := range s.engines {
		if e.interval > 0 {
			values = append(values, e.interval)
		}
	}
	if slices.Sort(values); len(values) >= 3 {
		s.median = values[len(values)/2]
	}
}

func (s *earlier) slowdown(e *earlierEngine) float64 {
	if e.interval == 0 || s.median == 0 {
		return 1
	}
	return e.interval / s.median
}

func (s *earlier) free(now time.Duration, e *earlierEngine) bool {
	return e.Ready && e.running < e.Slots && now >= e.backoffUntil
}

func (s *earlier) Assign(now time.Duration) (out []assign.Start) {
	s.updateMedian()
	for len(s.waiting) > 0 {
		t := s.waiting[0]
		var best *earlierEngine
		var bestScore float64
		for _, e := range s.engines {
			if !s.free(now, e) {
				continue
			}
			score := -float64(e.running)/float64(e.Slots) - 2*max(0, s.slowdown(e)-1)
			if e.groups[t.Group] > 0 {
				score += 0.3
			}
			if e.home == t.Model {
				score++
			}
			if e.avoidedBy[t.Key] {
				score -= 2
			}
			if s.slowdown(e) > 1.8 {
				score -= 1.5
			}
			if best == nil || score > bestScore || score == bestScore && earlierRank(t.Model, e.ID) > earlierRank(t.Model, best.ID) {
				best, bestScore = e, score
			}
		}
		if best == nil {
			break
		}
		s.waiting = s.waiting[1:]
		s.nextRun++
		s.runs[s.nextRun] = &earlierRun{id: s.nextRun, task: t, engine: best, started: now, lastAt: now}
		best.running++
		best.groups[t.Group]++
		out = append(out, assign.Start{Run: s.nextRun, Task: t.Key, Engine: best.ID, ResumeAfter: t.Kept.Events})
	}
	return out
}

func (s *earlier) Progress(id, events int64, at time.Duration) {
	r := s.runs[id]
	if r == nil || events <= r.events {
		return
	}
	if r.events > 0 {
		interval := (at - r.lastAt).Seconds() / float64(events-r.events)
		if e := r.engine; e.interval == 0 {
			e.interval = interval
		} else {
			e.interval += 0.12 * (min(interval, 2*e.interval) - e.interval)
		}
	}
	r.events, r.lastAt = events, at
}

func (s *earlier) RunsToMove(now time.Duration) (out []assign.Stop) {
	s.updateMedian()
	left := map[float64]int{}
	for _, limit := range []float64{1.8, 1.07} {
		for _, e := range s.engines {
			if s.free(now, e) && s.slowdown(e) <= limit {
				left[limit] += e.Slots - e.running
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.runs)) {
		r := s.runs[id]
		reason, limit := s.reason(now, r)
		if reason == "" || left[limit] <= 0 {
			continue
		}
		left[limit]--
		out = append(out, assign.Stop{Run: id, Task: r.task.Key, Engine: r.engine.ID, Reason: reason})
	}
	return out
}

func (s *earlier) reason(now time.Duration, r *earlierRun) (string, float64) {
	age := now - r.started
	switch {
	case r.events == 0 && age > 900*ms:
		return "no first event", 1.8
	case r.events > 0 && now-r.lastAt > 1200*ms:
		return "stalled", 1.8
	case age > 400*ms && r.events > 0 && s.slowdown(r.engine) > 1.8:
		return "slow engine", 1.8
	case age > 2*time.Second && r.events > 0 && s.slowdown(r.engine) > 1.15:
		return "faster engines are free", 1.07
	}
	return "", 0
}

func (s *earlier) release(r *earlierRun) {
	delete(s.runs, r.id)
	r.engine.running--
	r.engine.groups[r.task.Group]--
}

func (s *earlier) Requeue(now time.Duration, id int64, kept assign.Kept) {
	r := s.runs[id]
	s.release(r)
	r.engine.backoffUntil = max(r.engine.backoffUntil, now+150*ms)
	s.again(now, r, kept)
}

func (s *earlier) again(now time.Duration, r *earlierRun, kept assign.Kept) {
	for _, e := range s.engines {
		delete(e.avoidedBy, r.task.Key)
	}
	r.engine.avoidedBy[r.task.Key] = true
	r.task.Kept, r.task.WaitingSince = kept, now
	s.enqueue(r.task)
}

func (s *earlier) Finish(now time.Duration, id int64, outcome assign.Outcome, kept assign.Kept) bool {
	r := s.runs[id]
	if r == nil {
		return false
	}
	s.release(r)
	if outcome != assign.Completed {
		r.engine.backoffUntil = now + 300*ms
		s.again(now, r, kept)
	}
	return true
}

func (s *earlier) Drop(k assign.Key) (assign.Stop, bool) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *assign.Task) bool { return t.Key == k })
	for _, r := range s.runs {
		if r.task.Key == k {
			s.release(r)
			return assign.Stop{Run: r.id, Task: k, Engine: r.engine.ID}, true
		}
	}
	return assign.Stop{}, false
}
