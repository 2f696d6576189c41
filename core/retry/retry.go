// Package retry decides whether a failed attempt may be tried again, how many
// retries an instance may send in all, and which targets are left out for a
// while because they keep failing.
package retry

// Outcome is what is known of an effect on targets, of one attempt or of all
// attempts of a request.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota // a byte may have reached a target
	NotRun                 // no byte could have reached a target
	Ran                    // a target answered
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

// Combine returns the outcome of a request whose attempts ended with o and other:
// NotRun only if both did, and Ran if any did.
func (o Outcome) Combine(other Outcome) Outcome {
	switch {
	case o == Ran || other == Ran:
		return Ran
	case o == NotRun && other == NotRun:
		return NotRun
	default:
		return Unknown
	}
}

// Allowed reports whether an attempt that ended with o may be repeated elsewhere.
func Allowed(o Outcome, repeatable bool) bool {
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

// SetLimits changes the ratio and the burst from now on.
func (b *Budget) SetLimits(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}

// Deposit notes a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw reports whether a retry is within the budget, and spends it.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
