package metering

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

// receivedStepsTTL is how long a peer's open steps are kept after the peer last sent them.
const receivedStepsTTL = 3 * maxExchange

// receivedSteps holds the open steps that a peer sent last.
type receivedSteps struct {
	receivedAt time.Time
	steps      []plan.OpenStep
}

// SetStepSource sets the function that returns the open steps of the trainers that this
// instance owns. It must be called before Run.
func (e *Exchange) SetStepSource(f func() []plan.OpenStep) { e.stepSource = f }

func (e *Exchange) localSteps() []plan.OpenStep {
	if e.stepSource == nil {
		return nil
	}
	return e.stepSource()
}

// OpenSteps returns the open steps of this instance's trainers and those that peers have
// sent. The remaining time of received steps is reduced by the time since they were
// received; steps received longer than receivedStepsTTL ago are removed.
func (e *Exchange) OpenSteps() []plan.OpenStep {
	out := e.localSteps()
	e.mu.Lock()
	defer e.mu.Unlock()
	for source, reported := range e.received {
		age := time.Since(reported.receivedAt)
		if age > receivedStepsTTL {
			delete(e.received, source)
			continue
		}
		for _, s := range reported.steps {
			s.Remaining -= age
			out = append(out, s)
		}
	}
	return out
}

// storeSteps replaces the open steps of the batch's source.
func (e *Exchange) storeSteps(batch ReportBatch) {
	if batch.Source == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[batch.Source] = receivedSteps{time.Now(), batch.Steps}
}
