package sample

import "slices"

// StepRemaining is what a step of the trainer still needs to be generated.
type StepRemaining struct {
	Step   int64 // zero: groups of no step
	Tokens int
}

// Remaining returns the open steps with samples that are not finished, oldest first.
func (o *Owner) Remaining() []StepRemaining {
	tokens := map[int64]int{}
	for _, g := range o.groups {
		if left := g.Size - g.finished; left > 0 {
			tokens[g.Step] += left * g.predictedTokens()
		}
	}
	out := make([]StepRemaining, 0, len(tokens))
	for step, n := range tokens {
		out = append(out, StepRemaining{step, n})
	}
	slices.SortFunc(out, func(a, b StepRemaining) int { return int(a.Step - b.Step) })
	return out
}
