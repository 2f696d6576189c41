package plan

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// OpenOrder is an announced order that is not settled, as one instance knows it.
type OpenOrder struct {
	Order     record.OrderIntent
	Fencing   record.Offset // term that announced it
	FirstSeen time.Duration // when this instance first read it
	LastSent  time.Duration // when this instance last sent it; zero: never
	Attempts  int           // how often this instance sent it
	// Accepted tells that the platform accepted it. It stays open until the list
	// shows its effect, so that whoever plans meanwhile counts it.
	Accepted bool
}

// Listing is a data centre's list of targets.
type Listing struct {
	RequestedAt time.Duration     // zero: never read
	ByOrder     map[string]string // target by the order that started it
	Targets     map[string]bool
}

// Term is the lease under which orders are sent now.
type Term struct {
	Fencing    record.Offset
	AcquiredAt time.Duration // when this instance first held it
}

// OrderTiming bound how long orders are under way.
type OrderTiming struct {
	Flight time.Duration // from the last check to the platform's decision
	Lag    time.Duration // from the decision to the list
}

// OrderStatus is what to do about an open order.
type OrderStatus uint8

// The verdicts.
const (
	Wait   OrderStatus = iota + 1
	Resend             // the same order again, under the same term
	Done               // it took effect
	Failed             // it did not, and no copy can take effect any more
)

const (
	resendPause    = 500 * time.Millisecond // doubled with each try
	maxResendPause = 10 * time.Second
	maxResendExp   = 6
)

// ReconcileOrder decides about an open order from what the platform lists.
//
// An order counts as failed only when a list that was asked for after its last
// copy's flight time and the list's lag does not show it. Only the term that
// announced an order sends it: what a former term announced is waited for.
func ReconcileOrder(o OpenOrder, l Listing, now time.Duration, term Term, t OrderTiming) (v OrderStatus, target string) {
	if target, found := l.ByOrder[o.Order.OrderID]; found && o.Order.Action == record.ActionStart {
		return Done, target
	}
	if o.Order.Action == record.ActionStop && l.RequestedAt > o.FirstSeen && !l.Targets[o.Order.Target] {
		return Done, o.Order.Target
	}
	last := max(o.FirstSeen, o.LastSent)
	if o.Fencing != term.Fencing {
		last = max(o.FirstSeen, term.AcquiredAt)
	}
	if l.RequestedAt > last+t.Flight+t.Lag {
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
func (o *OpenOrder) mayResend(now time.Duration, term Term, t OrderTiming) bool {
	if o.Fencing != term.Fencing || o.Attempts == 0 || o.Accepted {
		return false
	}
	if o.Order.Action == record.ActionStart && now-o.FirstSeen > t.Flight+t.Lag {
		return false
	}
	pause := min(resendPause<<min(o.Attempts-1, maxResendExp), maxResendPause)
	return now-o.LastSent >= pause
}
