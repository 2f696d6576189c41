package sample

import "slices"

// StepRemaining is the number of tokens that are still to be generated for a trainer's step.
type StepRemaining struct {
	Step   int64 // zero: the groups without a step
	Tokens int   // predicted for the unfinished samples
}

// Remaining returns the steps that have unfinished samples, in ascending order.
func (o *Owner) Remaining() []StepRemaining {
	tokens := map[int64]int{}
	for _, g := range o.groups {
		if unfinished := g.Size - g.finishedCount; unfinished > 0 {
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
