package pace

import "time"

const (
	// minPatience is over 120 times (twice 60 times) the usual 4 ms of an append.
	minPatience = 500 * time.Millisecond
	// maxPatience covers an append that waits as long as the log lets one wait, 2 s, and its response.
	maxPatience = 2500 * time.Millisecond
)

// Patience is how long a writer waits for the response to an append until it repeats it. A log that
// executes the appends of hundreds of writers one after the other, each more slowly than usual,
// answers all of them late. Repeated before, each would be executed several times, which makes the
// log slower still, and no writer would ever get a response in time. So the writer waits for longer
// after the second append in a row without a response, and as long as the log stays slow: one
// response may be lost. A writer that reads the records of others knows that the log is slow before
// its own first append. A log that answers nothing at all is away, not slow: then the writer repeats
// soon, to be among the first when it is back. The zero value waits minPatience. It is not safe for
// concurrent use.
type Patience struct {
	timeout  time.Duration
	timeouts int // in a row
}

// Timeout returns how long to wait for the next response. logDelay is how long records take
// into the log, zero if that is not known.
func (p *Patience) Timeout(logDelay time.Duration) time.Duration {
	return min(max(p.timeout, 2*logDelay, minPatience), maxPatience)
}

// Answered records a response that took so long.
func (p *Patience) Answered(took time.Duration) {
	p.timeout, p.timeouts = min(2*took, maxPatience), 0
}

// TimedOut records that there was no response within Timeout. answers tells whether the log answers
// other calls.
func (p *Patience) TimedOut(answers bool) {
	if !answers {
		p.timeout, p.timeouts = 0, 0
		return
	}
	if p.timeouts++; p.timeouts > 1 {
		p.timeout = min(2*max(p.timeout, minPatience), maxPatience)
	}
}
