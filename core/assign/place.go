package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

// canRun reports whether a run of a task of the class may start on the engine now, or once
// there is a permit for it.
func (s *Scheduler) canRun(now time.Duration, e *engine, c class) bool {
	if !e.Ready || e.Service != c.service || e.occupied() >= e.Slots || now < e.backoffUntil {
		return false
	}
	if e.Versions[c.model] < c.minVersion || c.resumes && e.Software != c.software {
		return false
	}
	return e.LoadingModel != c.model || now >= e.LoadOrderedAt+s.limits.LoadTime
}

// pickEngine returns the engine with the highest score that can run the task, which is of the
// class c, nil for none. Without overflow only engines that are home to its model count.
func (s *Scheduler) pickEngine(now time.Duration, t *Task, c class, overflow bool) *engine {
	var best *engine
	var bestScore float64
	for _, e := range s.preferred(t.Model) {
		if !overflow && e.homeModel != t.Model || !s.canRun(now, e, c) || !e.permitted(now) && !e.mayPermit(now) {
			continue
		}
		if score := s.score(e, t); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// Bonuses and penalties in the score of an engine that can run a task. The engine's
// utilization, the share of its slots in use from 0 to 1, is subtracted from the score.
const (
	// homeBonus outweighs the utilization: a runner fills the engines that are home to its
	// model before it uses those of other runners.
	homeBonus    = 1.0
	groupBonus   = 0.3 // for an engine with runs of the group: it computes the prompt once
	versionBonus = 0.2 // for weights newer than required: results are still valid for the next step
	avoidPenalty = 2.0 // for the engine of the task's last run
	slowPenalty  = 1.5 // for an engine with a slowdown above SlowFactor
	// startOverPenalty is for an engine on which the task would lose its kept events.
	startOverPenalty = 3.0
	// slowdownPenalty is per unit of slowdown above 1: at a slowdown of 1.3 other engines are
	// preferred until their utilization is higher by 0.6.
	slowdownPenalty = 2.0
)

// score rates an engine for a task: the higher, the better.
func (s *Scheduler) score(e *engine, t *Task) float64 {
	score := -float64(e.occupied()+e.permits.wanted) / float64(max(1, e.Slots))
	if e.runsByGroup[t.Group] > 0 {
		score += groupBonus
	}
	if e.homeModel == t.Model {
		score += homeBonus
	}
	if e.Versions[t.Model] > t.MinVersion {
		score += versionBonus
	}
	if t.avoidEngine == e.ID {
		score -= avoidPenalty
	}
	if s.slow(e) {
		score -= slowPenalty
	}
	if t.Kept.Events > 0 && !t.resumes(e) {
		score -= startOverPenalty
	}
	return score - slowdownPenalty*max(0, s.slowdown(e)-1)
}

// assignHomes gives every ready engine a home model: of the models that it serves, the one
// that has the fewest engines so far. Every runner that sees the same engines computes the
// same, without a message.
//
// Each model has a runner of its own, and a runner sees only its own runs. When the trainers
// of several models submit at once, runners that rank the engines alike fill the same engines
// and leave others idle.
func (s *Scheduler) assignHomes() {
	if s.byHash == nil {
		s.byHash = slices.SortedFunc(maps.Values(s.engines), func(a, b *engine) int {
			return cmp.Or(cmp.Compare(rank("", a.ID), rank("", b.ID)), cmp.Compare(a.ID, b.ID))
		})
	}
	count := map[string]int{}
	for _, e := range s.byHash {
		e.homeModel = ""
		if !e.Ready {
			continue
		}
		for _, model := range e.Serves {
			if e.homeModel == "" || count[model] < count[e.homeModel] || count[model] == count[e.homeModel] && model < e.homeModel {
				e.homeModel = model
			}
		}
		if e.homeModel != "" {
			count[e.homeModel]++
		}
	}
}

// rank returns the engine's rank for the model. Different models rank engines differently.
func rank(model, engine string) uint64 {
	return hash.Mix(xxhash.Sum64String(model) ^ xxhash.Sum64String(engine))
}

// preferred returns all engines in the model's order of preference, which decides between
// engines with the same score.
func (s *Scheduler) preferred(model string) []*engine {
	if order, known := s.preference[model]; known {
		return order
	}
	order := slices.SortedFunc(maps.Values(s.engines), func(a, b *engine) int {
		return cmp.Or(cmp.Compare(rank(model, b.ID), rank(model, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	s.preference[model] = order
	return order
}
