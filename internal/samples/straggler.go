package samples

import (
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

const (
	moveCheckTokens = 64  // tokens between two checks for a less loaded engine
	stragglerFactor = 2.0 // times the mean sample length from which a sample is a straggler
	minLoadGap      = 0.5 // minimum difference of load / capacity for a move
	maxMoves        = 2   // per sample; each makes the next engine prefill all tokens again
)

// placement is a running sample and the engine (target id) that generates it.
type placement struct {
	trainer *config.Trainer
	job     sample.Job
	target  string
}

// shouldMove reports whether a sample that is much longer than the mean should move to a
// less loaded engine. A token takes longer in a larger batch of an engine, so the sample
// is expected to run faster there.
func (o *owner) shouldMove(run placement, p *progress) bool {
	o.mu.Lock()
	meanTokens := o.meanTokens
	o.mu.Unlock()
	if meanTokens == 0 || p.moves >= maxMoves || float64(p.tokens) < stragglerFactor*meanTokens {
		return false
	}
	s := o.m.Loop.Snapshot()
	current := s.Target(run.trainer.Service, run.target)
	if current == nil {
		return false
	}
	other, err := o.chooseEngine(s, run.trainer, map[string]bool{run.target: true})
	return err == nil && lessLoaded(other, current)
}

// lessLoaded reports whether the load fraction of other is at least minLoadGap below that
// of current.
func lessLoaded(other, current *route.Target) bool {
	loadFraction := func(t *route.Target) float64 { return float64(t.Load) / float64(max(t.Capacity, 1)) }
	return loadFraction(current)-loadFraction(other) >= minLoadGap
}
