package sample

import "slices"

// StepLeft is what a step of the trainer still needs to be generated.
type StepLeft struct {
	Step   int64 // zero: groups of no step
	Tokens int
}

// Left returns the open steps with samples that are not finished, oldest first.
func (o *Owner) Left() []StepLeft {
	tokens := map[int64]int{}
	for _, g := range o.groups {
		if left := g.Size - g.finished; left > 0 {
			tokens[g.Step] += left * g.predicted()
		}
	}
	out := make([]StepLeft, 0, len(tokens))
	for step, n := range tokens {
		out = append(out, StepLeft{step, n})
	}
	slices.SortFunc(out, func(a, b StepLeft) int { return int(a.Step - b.Step) })
	return out
}
