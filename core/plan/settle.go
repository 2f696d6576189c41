package plan

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Open is an announced order that is not settled, as one instance knows it.
type Open struct {
	Order   record.OrderIntent
	Fencing record.Offset // term that announced it
	Seen    time.Duration // when this instance first read it
	Sent    time.Duration // when this instance last sent it; zero: never
	Tries   int           // how often this instance sent it
	// Answered tells that the platform accepted it. It stays open until the list
	// shows its effect, so that whoever plans meanwhile counts it.
	Answered bool
}

// Listing is a data centre's list of targets.
type Listing struct {
	AskedAt time.Duration     // zero: never read
	ByOrder map[string]string // target by the order that started it
	Targets map[string]bool
}

// Term is the lease under which orders are sent now.
type Term struct {
	Fencing record.Offset
	Taken   time.Duration // when this instance first held it
}

// Times bound how long orders are under way.
type Times struct {
	Flight time.Duration // from the last check to the platform's decision
	Lag    time.Duration // from the decision to the list
}

// Verdict is what to do about an open order.
type Verdict uint8

// The verdicts.
const (
	Wait   Verdict = iota + 1
	Resend         // the same order again, under the same term
	Done           // it took effect
	Failed         // it did not, and no copy can take effect any more
)

const (
	resendPause    = 500 * time.Millisecond // doubled with each try
	maxResendPause = 10 * time.Second
	maxResendExp   = 6
)

// Settle decides about an open order from what the platform lists.
//
// An order counts as failed only when a list that was asked for after its last
// copy's flight time and the list's lag does not show it. Only the term that
// announced an order sends it: what a former term announced is waited for.
func Settle(o Open, l Listing, now time.Duration, term Term, t Times) (v Verdict, target string) {
	if target, found := l.ByOrder[o.Order.OrderID]; found && o.Order.Action == record.ActionStart {
		return Done, target
	}
	if o.Order.Action == record.ActionStop && l.AskedAt > o.Seen && !l.Targets[o.Order.Target] {
		return Done, o.Order.Target
	}
	last := max(o.Seen, o.Sent)
	if o.Fencing != term.Fencing {
		last = max(o.Seen, term.Taken)
	}
	if l.AskedAt > last+t.Flight+t.Lag {
		return Failed, ""
	}
	if o.mayResend(now, term, t) {
		return Resend, ""
	}
	return Wait, ""
}

// mayResend reports whether the order is due again. A start is repeated only while
// its first copy may be under way, so that an outage's orders do not take effect
// when they are no longer wanted.
func (o *Open) mayResend(now time.Duration, term Term, t Times) bool {
	if o.Fencing != term.Fencing || o.Tries == 0 || o.Answered {
		return false
	}
	if o.Order.Action == record.ActionStart && now-o.Seen > t.Flight+t.Lag {
		return false
	}
	pause := min(resendPause<<min(o.Tries-1, maxResendExp), maxResendPause)
	return now-o.Sent >= pause
}
