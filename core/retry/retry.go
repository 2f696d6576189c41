// Package retry decides whether a failed attempt may be tried again.
package retry

// Outcome is what is known of an attempt's effect on its target.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota // a byte may have reached the target
	NotRun                 // no byte could have reached a target
	Ran                    // the target answered
)

// String returns the outcome's name in errors and events.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// May reports whether an attempt that ended with o may be repeated elsewhere.
func May(o Outcome, repeatable bool) bool {
	return o == NotRun || o == Unknown && repeatable
}

// Budget limits retries to a share of the requests, so that a failing fleet is
// not flooded by them. It is not safe for concurrent use.
type Budget struct {
	tokens float64
	ratio  float64
	burst  float64
}

// NewBudget allows ratio retries per request, and burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// Request notes a first attempt.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take reports whether a retry is within the budget, and spends it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
