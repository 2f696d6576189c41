package samples

import (
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

const (
	moveCheckTokens = 64  // tokens between looks for a less loaded engine
	stragglerFactor = 2.0 // times the typical length, before a sample counts as a straggler
	minLoadGap      = 0.5 // of an engine's capacity that the other must have free beyond this one's
	maxMoves        = 2   // of one sample: each makes the next engine read all tokens again
)

// placement is a running sample with the engine that it runs on.
type placement struct {
	trainer *config.Trainer
	job     sample.Job
	target  string
}

// shouldMove reports whether a sample that runs far longer than the others
// would run faster on another engine. A token takes longer in a larger batch.
func (o *owner) shouldMove(at placement, p *progress) bool {
	o.mu.Lock()
	typical := o.meanTokens
	o.mu.Unlock()
	if typical == 0 || p.moves >= maxMoves || float64(p.tokens) < stragglerFactor*typical {
		return false
	}
	s := o.m.Loop.Snapshot()
	here := s.Target(at.trainer.Service, at.target)
	if here == nil {
		return false
	}
	there, err := o.choose(s, at.trainer, map[string]bool{at.target: true})
	return err == nil && lessLoaded(there, here)
}

func lessLoaded(there, here *route.Target) bool {
	share := func(t *route.Target) float64 { return float64(t.Load) / float64(max(t.Capacity, 1)) }
	return share(here)-share(there) >= minLoadGap
}
