package metering

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

// receivedStepsTTL is how long a peer's steps count without another report of them.
const receivedStepsTTL = 3 * maxExchange

// receivedSteps are the open steps that a peer reported.
type receivedSteps struct {
	at    time.Time
	steps []plan.OpenStep
}

// SetStepSource sets the function that tells the open steps of the trainers that this
// instance owns. It is called before Run.
func (e *Exchange) SetStepSource(f func() []plan.OpenStep) { e.stepSource = f }

func (e *Exchange) localSteps() []plan.OpenStep {
	if e.stepSource == nil {
		return nil
	}
	return e.stepSource()
}

// OpenSteps returns the open steps of all trainers as their owners reported them.
func (e *Exchange) OpenSteps() []plan.OpenStep {
	out := e.localSteps()
	e.mu.Lock()
	defer e.mu.Unlock()
	for source, heard := range e.received {
		passed := time.Since(heard.at)
		if passed > receivedStepsTTL {
			delete(e.received, source)
			continue
		}
		for _, s := range heard.steps {
			s.Remaining -= passed
			out = append(out, s)
		}
	}
	return out
}

func (e *Exchange) storeSteps(batch ReportBatch) {
	if batch.Source == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[batch.Source] = receivedSteps{time.Now(), batch.Steps}
}
