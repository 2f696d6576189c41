package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const s = time.Second

var _ = DescribeTable("Settle",
	func(action record.Action, seen, sent time.Duration, tries int, fencing record.Offset, listed bool, asked, now time.Duration, want plan.OrderStatus) {
		open := plan.OpenOrder{
			Order:   record.OrderIntent{OrderID: "o", Action: action, Target: "t"},
			Fencing: fencing, FirstSeen: seen, LastSent: sent, Attempts: tries,
		}
		list := plan.Listing{RequestedAt: asked, ByOrder: map[string]string{}, Targets: map[string]bool{}}
		if listed {
			list.ByOrder["o"], list.Targets["t"] = "t", true
		}
		got, _ := plan.ReconcileOrder(open, list, now, plan.Term{Fencing: 7, AcquiredAt: 20 * s}, plan.OrderTiming{Flight: s, Lag: 2 * s})
		Expect(got).To(Equal(want))
	},
	Entry("a listed start is done", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), true, 30*s, 31*s, plan.Done),
	Entry("a listed start of a former term is done", record.ActionStart, 10*s, 0*s, 0, record.Offset(5), true, 21*s, 21*s, plan.Done),
	Entry("a lost answer is asked for again", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), false, 30*s, 30*s+600*time.Millisecond, plan.Resend),
	Entry("not before the pause", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), false, 30*s, 30*s+400*time.Millisecond, plan.Wait),
	Entry("the pause grows", record.ActionStart, 30*s, 31*s, 3, record.Offset(7), false, 30*s, 32*s, plan.Wait),
	Entry("an old list does not settle", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), false, 33*s, 60*s, plan.Wait),
	Entry("a list after flight and lag fails an unlisted start", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), false, 33*s+1, 34*s, plan.Failed),
	Entry("a repeat postpones that", record.ActionStart, 30*s, 32*s, 2, record.Offset(7), false, 34*s, 34*s, plan.Wait),
	Entry("a start is not repeated after an outage", record.ActionStart, 30*s, 30*s, 1, record.Offset(7), false, 30*s, 90*s, plan.Wait),
	Entry("what was never sent is not sent later", record.ActionStart, 30*s, 0*s, 0, record.Offset(7), false, 30*s, 31*s, plan.Wait),
	Entry("a former term's order is not sent again", record.ActionStart, 10*s, 0*s, 0, record.Offset(5), false, 21*s, 22*s, plan.Wait),
	Entry("it is waited for from when the term was taken", record.ActionStart, 10*s, 0*s, 0, record.Offset(5), false, 22*s, 22*s, plan.Wait),
	Entry("and then fails", record.ActionStart, 10*s, 0*s, 0, record.Offset(5), false, 23*s+1, 24*s, plan.Failed),
	Entry("not before the list's lag", record.ActionStart, 30*s, 31*s, 1, record.Offset(7), false, 33*s, 34*s, plan.Wait),
	Entry("a stop whose target is gone is done", record.ActionStop, 30*s, 30*s, 1, record.Offset(7), false, 30*s+1, 31*s, plan.Done),
	Entry("unless the list is older", record.ActionStop, 30*s, 30*s, 1, record.Offset(7), false, 29*s, 30*s, plan.Wait),
	Entry("a stop is repeated while its target runs", record.ActionStop, 30*s, 31*s, 1, record.Offset(7), true, 31*s, 32*s, plan.Resend),
	Entry("a former term's stop of a running target fails", record.ActionStop, 10*s, 0*s, 0, record.Offset(5), true, 24*s, 24*s, plan.Failed),
)

var _ = It("does not repeat an order that was answered and is not listed yet", func() {
	open := plan.OpenOrder{Order: record.OrderIntent{OrderID: "o", Action: record.ActionStart}, Fencing: 7, FirstSeen: 30 * s, LastSent: 30 * s, Attempts: 1, Accepted: true}
	term, times := plan.Term{Fencing: 7, AcquiredAt: 20 * s}, plan.OrderTiming{Flight: s, Lag: 2 * s}
	got, _ := plan.ReconcileOrder(open, plan.Listing{RequestedAt: 32 * s}, 32*s, term, times)
	Expect(got).To(Equal(plan.Wait))
})
