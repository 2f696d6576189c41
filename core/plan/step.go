package plan

import "time"

// OpenStep is a trainer's step as the trainer's owner reports it.
type OpenStep struct {
	Trainer   string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Step      int64         `cbor:"3,keyasint"`
	Tokens    float64       `cbor:"4,keyasint"` // still to be generated
	Remaining time.Duration `cbor:"5,keyasint"` // to the deadline; negative after it
}

// TimeToDeadline returns how long each of a trainer's steps has, oldest first. A step
// has its whole deadline from when it was first seen, and not less than that from
// the deadline of the step before, because trainers take them one by one.
func TimeToDeadline(seen []time.Duration, now, deadline time.Duration) []time.Duration {
	out := make([]time.Duration, len(seen))
	end := time.Duration(0)
	for i, at := range seen {
		end = max(end, at) + deadline
		out[i] = end - now
	}
	return out
}

// StepsByService groups reported steps as demand.
func StepsByService(steps []OpenStep) map[string][]Step {
	out := map[string][]Step{}
	for _, s := range steps {
		out[s.Service] = append(out[s.Service], Step{Tokens: s.Tokens, Remaining: s.Remaining})
	}
	return out
}
