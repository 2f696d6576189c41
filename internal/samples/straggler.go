package samples

import (
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/core/sample"
)

const (
	moveCheckTokens = 64  // tokens between two checks for a less loaded engine
	stragglerFactor = 2.0 // a sample of this multiple of the mean length is a straggler
	minLoadGap      = 0.5 // minimum difference of load / capacity for a move
	maxMoves        = 2   // per sample; each makes the next engine prefill all tokens again
)

// runningSample is a sample that is being generated, with the id of its engine.
type runningSample struct {
	trainer *config.Trainer
	job     sample.GenerationRequest
	target  string
}

// shouldMove reports whether a sample that is much longer than the mean should move to a
// less loaded engine. An engine takes longer for a token the more requests it runs at
// once, so the sample is expected to run faster there.
func (o *owner) shouldMove(running runningSample, p *progress) bool {
	o.mu.Lock()
	meanTokens := o.meanTokens
	o.mu.Unlock()
	if meanTokens == 0 || p.moves >= maxMoves || float64(p.tokens) < stragglerFactor*meanTokens {
		return false
	}
	s := o.m.Loop.Snapshot()
	current := s.Target(running.trainer.Service, running.target)
	if current == nil {
		return false
	}
	other, err := o.chooseEngine(s, running.trainer, map[string]bool{running.target: true})
	return err == nil && lessLoaded(other, current)
}

// lessLoaded reports whether the load fraction of other is at least minLoadGap below that
// of current.
func lessLoaded(other, current *route.Target) bool {
	loadFraction := func(t *route.Target) float64 { return float64(t.Load) / float64(max(t.Capacity, 1)) }
	return loadFraction(current)-loadFraction(other) >= minLoadGap
}
