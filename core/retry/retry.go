// Package retry decides whether a failed attempt may be retried (Allowed), limits the
// retries that an instance sends (Budget), and ejects, for a limited time, targets that
// keep failing (OutlierDetector).
//
// The package has no clock, no locks and no randomness: the caller passes the time and
// the jitter, serialises the calls, and reports the result of every attempt.
package retry

// Outcome is whether one attempt, or all attempts of a request together, had an effect
// on a target.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota // a byte may have reached a target
	NotRun                 // no byte could have reached a target
	Ran                    // a target responded
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

// Combine returns the outcome of a request whose attempts ended with o and other: Ran if
// either is Ran, NotRun if both are NotRun, otherwise Unknown.
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

// Allowed reports whether a request whose attempt ended with o may be retried at another
// target: after NotRun any request, after Unknown only a repeatable one, which may be
// executed twice.
func Allowed(o Outcome, repeatable bool) bool {
	return o == NotRun || o == Unknown && repeatable
}

// Budget is a retry budget: a token bucket that limits retries to a fraction of the
// requests, so that retries do not overload targets that fail. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	ratio  float64 // tokens added per request
	burst  float64 // most tokens
}

// NewBudget returns a full budget of ratio retries per request and of burst retries at
// once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, burst: burst}
}

// SetLimits sets the ratio and the burst. Tokens over the new burst are dropped.
func (b *Budget) SetLimits(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}

// Deposit adds ratio tokens for the first attempt of a request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw reports whether the budget allows a retry, and if so removes one token.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
