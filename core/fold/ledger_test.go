package fold_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const trainerName = "coach"

var _ = Describe("Ledger", func() {
	var l *testLog
	var term record.Offset
	leaseName := record.TrainerLease(trainerName)

	BeforeEach(func() {
		l = newTestLog()
		term = l.apply(l.newID(), "a", 0, record.Lease{Name: leaseName, Holder: "a"}).Offset
	})
	deliveryState := func() fold.DeliveryState { return l.state.Deliveries[trainerName] }
	batch := func(number int64, groups ...string) record.Batch {
		b := record.Batch{Trainer: trainerName, Number: number, Term: term}
		for _, g := range groups {
			b.Groups = append(b.Groups, record.BatchGroup{ID: g, Size: 1, Step: number})
		}
		return b
	}
	deliver := func(number int64, groups ...string) {
		GinkgoHelper()
		Expect(l.apply(l.newID(), "a", deliveryState().LastOffset, batch(number, groups...)).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "a", 0, record.BatchAck{Trainer: trainerName, Number: number}).Verdict).To(Equal(fold.Accepted))
	}

	It("rejects a late batch of a former owner", func() {
		Expect(l.apply(l.newID(), "b", term, record.Lease{Name: leaseName, Holder: "b"}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Conflict))
		Expect(deliveryState().Number).To(BeZero())
	})

	It("keeps the first of two batches with the same number by one owner", func() {
		Expect(l.apply(l.newID(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "a", 0, batch(1, "g", "h")).Verdict).To(Equal(fold.Conflict))
		Expect(deliveryState().Groups).To(HaveLen(1))
	})

	It("rejects a batch while one is open, even if it supersedes the latest record", func() {
		Expect(l.apply(l.newID(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.newID(), "a", deliveryState().LastOffset, batch(2, "h")).Verdict).To(Equal(fold.Conflict))
	})

	It("rejects a batch that skips a number", func() {
		Expect(l.apply(l.newID(), "a", 0, batch(2, "g")).Verdict).To(Equal(fold.Conflict))
	})

	It("accepts an acknowledgement once, from any instance", func() {
		Expect(l.apply(l.newID(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		ack := record.BatchAck{Trainer: trainerName, Number: 1}
		Expect(l.apply(l.newID(), "z", 0, ack).Verdict).To(Equal(fold.Accepted))
		ackOffset := deliveryState().LastOffset
		Expect(l.apply(l.newID(), "a", 0, ack).Verdict).To(Equal(fold.Conflict))
		Expect(deliveryState().LastOffset).To(Equal(ackOffset))
	})

	It("keeps delivered groups and closes the steps of evicted batches", func() {
		const batches = 40 // more than are kept
		deliver(1, "g1")
		before := deliveryState()
		for n := int64(2); n <= batches; n++ {
			deliver(n, fmt.Sprintf("g%d", n))
		}
		after := deliveryState()
		for n := int64(1); n <= batches; n++ {
			recognised := after.Delivered(fmt.Sprintf("g%d", n)) || after.StepClosed(n)
			Expect(recognised).To(BeTrue(), "group g%d could be generated again", n)
		}
		Expect(after.StepClosed(batches)).To(BeFalse())
		Expect(after.Delivered("other")).To(BeFalse())
		Expect(len(after.Recent)).To(BeNumerically("<", batches))
		Expect(before.Recent).To(HaveLen(1), "a published delivery state changed")
	})
})
