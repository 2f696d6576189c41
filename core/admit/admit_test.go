package admit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/admit"
)

var _ = Describe("Queue", func() {
	It("grants requests in the order of virtual start, not of arrival", func() {
		q := admit.New(admit.Limits{Concurrency: 1, Queue: 100})
		q.Submit(0, admit.Request{ID: 1, Flow: "busy", Weight: 1, Cost: 10})
		q.Submit(0, admit.Request{ID: 2, Flow: "busy", Weight: 1, Cost: 10})
		q.Submit(0, admit.Request{ID: 3, Flow: "quiet", Weight: 1, Cost: 10})
		Expect(q.Finish(0, 1, 10)).To(Equal([]admit.Decision{{ID: 3}}))
	})

	DescribeTable("refuses",
		func(prepare func(q *admit.Queue), r admit.Request, want admit.Reason) {
			q := admit.New(admit.Limits{Concurrency: 1, Queue: 1})
			prepare(q)
			Expect(q.Submit(10, r)).To(Equal([]admit.Decision{{ID: r.ID, Reason: want}}))
		},
		Entry("a request when the queue is full", func(q *admit.Queue) {
			q.Submit(0, admit.Request{ID: 1, Weight: 1})
			q.Submit(0, admit.Request{ID: 2, Weight: 1})
		}, admit.Request{ID: 3, Weight: 1}, admit.QueueFull),
		Entry("a request whose deadline has passed", func(*admit.Queue) {}, admit.Request{ID: 3, Weight: 1, Deadline: 5}, admit.DeadlinePassed),
		Entry("a request when the queue is suspended", func(q *admit.Queue) { q.Suspend() }, admit.Request{ID: 3, Weight: 1}, admit.TargetLeaving),
	)

	It("grants slots of the caller reserve only to callers", func() {
		q := admit.New(admit.Limits{Concurrency: 2, Queue: 9, CallerReserve: 1})
		Expect(q.Submit(0, admit.Request{ID: 1, Weight: 1, Class: admit.ClassSample})).To(HaveLen(1))
		Expect(q.Submit(0, admit.Request{ID: 2, Weight: 1, Class: admit.ClassSample})).To(BeEmpty())
		Expect(q.Submit(0, admit.Request{ID: 3, Weight: 1})).To(HaveLen(1))
	})
})
