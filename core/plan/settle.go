package plan

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// OpenOrder is an announced order that is not resolved: it may or may not take effect.
// It also holds what this instance has done about the order.
type OpenOrder struct {
	Order     record.OrderIntent
	Fencing   record.Offset // fencing number of the term that announced it
	FirstSeen time.Duration // when this instance first read it
	LastSent  time.Duration // when this instance last sent it; zero: never
	Attempts  int           // number of times that this instance sent it
	// Accepted is whether the platform accepted it. The order stays open until the
	// list shows its effect, so that planning counts it in the meantime.
	Accepted bool
}

// Listing is the platform's list of the targets in a data centre.
type Listing struct {
	RequestedAt time.Duration     // when the list was requested; zero: never read
	ByOrder     map[string]string // target id by id of the order that started it
	Targets     map[string]bool   // by id
}

// Term is the term of the lease under which this instance sends orders. Fencing is its
// fencing number.
type Term struct {
	Fencing    record.Offset
	AcquiredAt time.Duration // when this instance first held it
}

// OrderTiming limits the time until an order's effect is listed.
type OrderTiming struct {
	Flight time.Duration // longest time from the last lease check to the platform's decision
	Lag    time.Duration // longest time from the decision to its effect in the list
}

// OrderStatus is what to do next about an open order, or its outcome.
type OrderStatus uint8

// The statuses of an open order.
const (
	Pending OrderStatus = iota + 1 // no action: the outcome is open
	Resend                         // send the same order again, under the same term
	Done                           // the order took effect
	Failed                         // the order took no effect, and no copy of it still can
)

const (
	initialResendBackoff = 500 * time.Millisecond // doubled after each resend, at most maxResendExp times
	maxResendBackoff     = 10 * time.Second
	maxResendExp         = 6
)

// ReconcileOrder determines the status of an open order from the platform's list. For
// Done it also returns the target that was started or stopped.
//
// An order counts as failed only if its effect is missing in a list that was requested
// more than Flight plus Lag after the last time at which the order may have been sent.
// Only the term that announced an order sends it, so for an order of another term that
// time is when this term was acquired or, if that is later, when the order was first
// seen.
func ReconcileOrder(o OpenOrder, l Listing, now time.Duration, term Term, timing OrderTiming) (status OrderStatus, target string) {
	if target, found := l.ByOrder[o.Order.OrderID]; found && o.Order.Action == record.ActionStart {
		return Done, target
	}
	if o.Order.Action == record.ActionStop && l.RequestedAt > o.FirstSeen && !l.Targets[o.Order.Target] {
		return Done, o.Order.Target
	}
	lastPossibleSend := max(o.FirstSeen, o.LastSent)
	if o.Fencing != term.Fencing {
		lastPossibleSend = max(o.FirstSeen, term.AcquiredAt)
	}
	if l.RequestedAt > lastPossibleSend+timing.Flight+timing.Lag {
		return Failed, ""
	}
	if o.resendDue(now, term, timing) {
		return Resend, ""
	}
	return Pending, ""
}

// resendDue reports whether the order must be sent again. A start is resent only while
// its first copy may still be in flight, so that a start ordered during an outage does
// not take effect later, when it is no longer needed.
func (o *OpenOrder) resendDue(now time.Duration, term Term, timing OrderTiming) bool {
	if o.Fencing != term.Fencing || o.Attempts == 0 || o.Accepted {
		return false
	}
	if o.Order.Action == record.ActionStart && now-o.FirstSeen > timing.Flight+timing.Lag {
		return false
	}
	delay := min(initialResendBackoff<<min(o.Attempts-1, maxResendExp), maxResendBackoff)
	return now-o.LastSent >= delay
}
