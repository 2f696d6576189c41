package assign

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/hash"
)

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
		before := e.homeModel
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
		if e.homeModel != before || e.positions == nil {
			e.positions = map[string]int{}
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
