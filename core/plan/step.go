package plan

import "time"

// OpenStep is an open step of a trainer, as reported by the trainer's owner.
type OpenStep struct {
	Trainer   string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Step      int64         `cbor:"3,keyasint"`
	Tokens    float64       `cbor:"4,keyasint"` // still to be generated
	Remaining time.Duration `cbor:"5,keyasint"` // time to the deadline; negative after it
}

// TimeToDeadline returns the time to the deadline of each of a trainer's open steps. The
// steps are given, oldest first, by the time at which they were first seen. A trainer
// runs its steps in sequence, so the time for a step starts when it was first seen or, if
// that is later, at the deadline of the step before.
func TimeToDeadline(firstSeen []time.Duration, now, stepDeadline time.Duration) []time.Duration {
	out := make([]time.Duration, len(firstSeen))
	deadlineAt := time.Duration(0)
	for i, seenAt := range firstSeen {
		deadlineAt = max(deadlineAt, seenAt) + stepDeadline
		out[i] = deadlineAt - now
	}
	return out
}

// StepsByService groups open steps by service.
func StepsByService(steps []OpenStep) map[string][]Step {
	out := map[string][]Step{}
	for _, s := range steps {
		out[s.Service] = append(out[s.Service], Step{Tokens: s.Tokens, Remaining: s.Remaining})
	}
	return out
}
