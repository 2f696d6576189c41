package sample

import "slices"

// StepRemaining is the generation that a step of the trainer still needs.
type StepRemaining struct {
	Step   int64 // zero: groups of no step
	Tokens int   // predicted for the unfinished samples
}

// Remaining returns the open steps that have unfinished samples, oldest first.
func (o *Owner) Remaining() []StepRemaining {
	tokens := map[int64]int{}
	for _, g := range o.groups {
		if unfinished := g.Size - g.finished; unfinished > 0 {
			tokens[g.Step] += unfinished * g.predictedTokens()
		}
	}
	out := make([]StepRemaining, 0, len(tokens))
	for step, n := range tokens {
		out = append(out, StepRemaining{step, n})
	}
	slices.SortFunc(out, func(a, b StepRemaining) int { return int(a.Step - b.Step) })
	return out
}
