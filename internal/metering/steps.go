package metering

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

// stepsFor is how long a peer's steps count without another report of them.
const stepsFor = 3 * maxExchange

// heardSteps are the open steps that a peer reported.
type heardSteps struct {
	at    time.Time
	steps []plan.OpenStep
}

// OnSteps sets the function that tells the open steps of the trainers that this
// instance owns. It is called before Run.
func (e *Exchange) OnSteps(f func() []plan.OpenStep) { e.ownSteps = f }

func (e *Exchange) steps() []plan.OpenStep {
	if e.ownSteps == nil {
		return nil
	}
	return e.ownSteps()
}

// Steps returns the open steps of all trainers as their owners reported them.
func (e *Exchange) Steps() []plan.OpenStep {
	out := e.steps()
	e.mu.Lock()
	defer e.mu.Unlock()
	for source, heard := range e.heard {
		passed := time.Since(heard.at)
		if passed > stepsFor {
			delete(e.heard, source)
			continue
		}
		for _, s := range heard.steps {
			s.Left -= passed
			out = append(out, s)
		}
	}
	return out
}

func (e *Exchange) hear(batch Batch) {
	if batch.Source == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard[batch.Source] = heardSteps{time.Now(), batch.Steps}
}
