package samples

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

// OpenSteps returns the open steps of the trainers that this instance owns.
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

// openSteps returns the owner's open steps and remembers when each was first seen.
func (o *owner) openSteps(now time.Duration, service string, deadline time.Duration) []plan.OpenStep {
	o.mu.Lock()
	defer o.mu.Unlock()
	open := o.state.Remaining()
	seen := make(map[int64]time.Duration, len(open))
	first := make([]time.Duration, len(open))
	for i, left := range open {
		at, known := o.stepFirstSeen[left.Step]
		if !known {
			at = now
		}
		seen[left.Step], first[i] = at, at
	}
	o.stepFirstSeen = seen
	deadlines := plan.TimeToDeadline(first, now, deadline)
	out := make([]plan.OpenStep, len(open))
	for i, left := range open {
		out[i] = plan.OpenStep{Trainer: o.trainer, Service: service, Step: left.Step, Tokens: float64(left.Tokens), Remaining: deadlines[i]}
	}
	return out
}
