package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const second = time.Second

var _ = DescribeTable("Settle",
	func(action record.Action, firstSeen, lastSent time.Duration, attempts int, fencing record.Offset, listed bool, requestedAt, now time.Duration, want plan.OrderStatus) {
		open := plan.OpenOrder{
			Order:   record.OrderIntent{OrderID: "o", Action: action, Target: "t"},
			Fencing: fencing, FirstSeen: firstSeen, LastSent: lastSent, Attempts: attempts,
		}
		listing := plan.Listing{RequestedAt: requestedAt, ByOrder: map[string]string{}, Targets: map[string]bool{}}
		if listed {
			listing.ByOrder["o"], listing.Targets["t"] = "t", true
		}
		got, _ := plan.ReconcileOrder(open, listing, now, plan.Term{Fencing: 7, AcquiredAt: 20 * second}, plan.OrderTiming{Flight: second, Lag: 2 * second})
		Expect(got).To(Equal(want))
	},
	Entry("a listed start is done", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), true, 30*second, 31*second, plan.Done),
	Entry("a listed start of an earlier term is done", record.ActionStart, 10*second, 0*second, 0, record.Offset(5), true, 21*second, 21*second, plan.Done),
	Entry("an order without a reply is resent", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), false, 30*second, 30*second+600*time.Millisecond, plan.Resend),
	Entry("an order is not resent before the backoff", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), false, 30*second, 30*second+400*time.Millisecond, plan.Pending),
	Entry("the backoff grows with the attempts", record.ActionStart, 30*second, 31*second, 3, record.Offset(7), false, 30*second, 32*second, plan.Pending),
	Entry("a list requested before flight and lag have passed does not fail an order", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), false, 33*second, 60*second, plan.Pending),
	Entry("a list requested after flight and lag fails an unlisted start", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), false, 33*second+1, 34*second, plan.Failed),
	Entry("a resend postpones the failure", record.ActionStart, 30*second, 32*second, 2, record.Offset(7), false, 34*second, 34*second, plan.Pending),
	Entry("a start is not resent after an outage", record.ActionStart, 30*second, 30*second, 1, record.Offset(7), false, 30*second, 90*second, plan.Pending),
	Entry("an order that was never sent is not sent later", record.ActionStart, 30*second, 0*second, 0, record.Offset(7), false, 30*second, 31*second, plan.Pending),
	Entry("an order of an earlier term is not resent", record.ActionStart, 10*second, 0*second, 0, record.Offset(5), false, 21*second, 22*second, plan.Pending),
	Entry("an order of an earlier term is open until flight and lag after the term was acquired", record.ActionStart, 10*second, 0*second, 0, record.Offset(5), false, 22*second, 22*second, plan.Pending),
	Entry("an order of an earlier term fails after that", record.ActionStart, 10*second, 0*second, 0, record.Offset(5), false, 23*second+1, 24*second, plan.Failed),
	Entry("a start does not fail before the list's lag has passed", record.ActionStart, 30*second, 31*second, 1, record.Offset(7), false, 33*second, 34*second, plan.Pending),
	Entry("a stop whose target is not listed is done", record.ActionStop, 30*second, 30*second, 1, record.Offset(7), false, 30*second+1, 31*second, plan.Done),
	Entry("a stop is open if the list is older than the order", record.ActionStop, 30*second, 30*second, 1, record.Offset(7), false, 29*second, 30*second, plan.Pending),
	Entry("a stop is resent while its target is listed", record.ActionStop, 30*second, 31*second, 1, record.Offset(7), true, 31*second, 32*second, plan.Resend),
	Entry("a stop of an earlier term fails if its target is listed", record.ActionStop, 10*second, 0*second, 0, record.Offset(5), true, 24*second, 24*second, plan.Failed),
)

var _ = It("does not resend an accepted order whose effect is not listed yet", func() {
	open := plan.OpenOrder{Order: record.OrderIntent{OrderID: "o", Action: record.ActionStart}, Fencing: 7, FirstSeen: 30 * second, LastSent: 30 * second, Attempts: 1, Accepted: true}
	term, timing := plan.Term{Fencing: 7, AcquiredAt: 20 * second}, plan.OrderTiming{Flight: second, Lag: 2 * second}
	got, _ := plan.ReconcileOrder(open, plan.Listing{RequestedAt: 32 * second}, 32*second, term, timing)
	Expect(got).To(Equal(plan.Pending))
})
