package fold_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const coach = "coach"

var _ = Describe("Ledger", func() {
	var l *log
	var term record.Offset
	lease := record.TrainerLease(coach)

	BeforeEach(func() {
		l = newLog()
		term = l.apply(l.id(), "a", 0, record.Lease{Name: lease, Holder: "a"}).Offset
	})
	ledger := func() fold.DeliveryState { return l.state.Deliveries[coach] }
	batch := func(number int64, groups ...string) record.Batch {
		b := record.Batch{Trainer: coach, Number: number, Term: term}
		for _, g := range groups {
			b.Groups = append(b.Groups, record.BatchGroup{ID: g, Size: 1, Step: number})
		}
		return b
	}
	deliver := func(number int64, groups ...string) {
		GinkgoHelper()
		Expect(l.apply(l.id(), "a", ledger().LastOffset, batch(number, groups...)).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "a", 0, record.BatchAck{Trainer: coach, Number: number}).Verdict).To(Equal(fold.Accepted))
	}

	It("voids the batch of a former owner that arrives late", func() {
		Expect(l.apply(l.id(), "b", term, record.Lease{Name: lease, Holder: "b"}).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Conflict))
		Expect(ledger().Number).To(BeZero())
	})

	It("keeps the first of two batches that one owner numbered alike", func() {
		Expect(l.apply(l.id(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "a", 0, batch(1, "g", "h")).Verdict).To(Equal(fold.Conflict))
		Expect(ledger().Groups).To(HaveLen(1))
	})

	It("opens no batch while one is open, whatever the record supersedes", func() {
		Expect(l.apply(l.id(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		Expect(l.apply(l.id(), "a", ledger().LastOffset, batch(2, "h")).Verdict).To(Equal(fold.Conflict))
	})

	It("skips no number", func() {
		Expect(l.apply(l.id(), "a", 0, batch(2, "g")).Verdict).To(Equal(fold.Conflict))
	})

	It("takes an acknowledgement once, from whoever heard it", func() {
		Expect(l.apply(l.id(), "a", 0, batch(1, "g")).Verdict).To(Equal(fold.Accepted))
		ack := record.BatchAck{Trainer: coach, Number: 1}
		Expect(l.apply(l.id(), "z", 0, ack).Verdict).To(Equal(fold.Accepted))
		at := ledger().LastOffset
		Expect(l.apply(l.id(), "a", 0, ack).Verdict).To(Equal(fold.Conflict))
		Expect(ledger().LastOffset).To(Equal(at))
	})

	It("remembers delivered groups, and closes the steps that it forgets", func() {
		const batches = 40 // more than are remembered
		deliver(1, "g1")
		before := ledger()
		for n := int64(2); n <= batches; n++ {
			deliver(n, fmt.Sprintf("g%d", n))
		}
		now := ledger()
		for n := int64(1); n <= batches; n++ {
			known := now.Delivered(fmt.Sprintf("g%d", n)) || now.StepClosed(n)
			Expect(known).To(BeTrue(), "group g%d could be generated again", n)
		}
		Expect(now.StepClosed(batches)).To(BeFalse())
		Expect(now.Delivered("other")).To(BeFalse())
		Expect(len(now.Recent)).To(BeNumerically("<", batches))
		Expect(before.Recent).To(HaveLen(1), "a published ledger changed")
	})
})
