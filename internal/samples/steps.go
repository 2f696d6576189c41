package samples

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

// OpenSteps returns the steps with unfinished samples of the trainers whose leases this
// instance holds.
func (m *Manager) OpenSteps() []plan.OpenStep {
	cfg := m.Loop.Snapshot().Config
	if cfg == nil {
		return nil
	}
	now := m.Clock.Now()
	m.mu.Lock()
	owners := make([]*owner, 0, len(m.owners))
	for _, o := range m.owners {
		owners = append(owners, o)
	}
	m.mu.Unlock()
	var out []plan.OpenStep
	for _, o := range owners {
		if t := cfg.Trainer(o.trainer); t != nil && o.holdsLease(0) {
			out = append(out, o.openSteps(now, t.Service, t.StepDeadline)...)
		}
	}
	return out
}

// openSteps returns the owner's open steps, oldest first, and records when each was first
// observed. The deadline of a step counts from that time.
func (o *owner) openSteps(now time.Duration, service string, stepDeadline time.Duration) []plan.OpenStep {
	o.mu.Lock()
	defer o.mu.Unlock()
	remaining := o.state.Remaining()
	stepFirstSeen := make(map[int64]time.Duration, len(remaining))
	firstSeen := make([]time.Duration, len(remaining))
	for i, step := range remaining {
		seenAt, known := o.stepFirstSeen[step.Step]
		if !known {
			seenAt = now
		}
		stepFirstSeen[step.Step], firstSeen[i] = seenAt, seenAt
	}
	o.stepFirstSeen = stepFirstSeen
	remainingTimes := plan.TimeToDeadline(firstSeen, now, stepDeadline)
	out := make([]plan.OpenStep, len(remaining))
	for i, step := range remaining {
		out[i] = plan.OpenStep{Trainer: o.trainer, Service: service, Step: step.Step, Tokens: float64(step.Tokens), Remaining: remainingTimes[i]}
	}
	return out
}
