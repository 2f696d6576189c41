package intake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/intake"
)

var _ = Describe("Queue", func() {
	var q *intake.Queue
	arrive := func(now time.Duration, id uint64, account string) intake.Decision {
		return q.Arrive(now, intake.Request{ID: id, Account: account, Deadline: now + patience})
	}
	send := func(now time.Duration, id uint64, account string) {
		d := arrive(now, id, account)
		Expect(d.Verdict).To(Equal(intake.Send))
		q.Sent(now, d.Target, d.Target)
	}
	BeforeEach(func() {
		q = intake.NewQueue()
		q.SetTargets([]intake.Target{{ID: "t", Slots: 2}})
	})

	It("sends as many as there are slots, and the next one when an answer leaves one free", func() {
		send(0, 1, "a")
		send(0, 2, "a")
		Expect(arrive(0, 3, "a").Verdict).To(Equal(intake.Wait))
		Expect(q.Step(0)).To(BeEmpty())
		q.Ended(work, "t", work, intake.Ran)
		granted := q.Step(work)
		Expect(granted).To(HaveLen(1))
		Expect(granted[0].ID).To(Equal(uint64(3)))
	})
	It("does not take requests that a target gave up for the time of others", func() {
		for i := range uint64(40) {
			send(0, 2*i, "a")
			q.Ended(work, "t", work, intake.Ran)
			send(0, 2*i+1, "a")
			q.Ended(work, "t", 0, intake.Ran)
		}
		Expect(q.ServiceTime(work)).To(Equal(work))
		send(work, 100, "a")
		send(work, 101, "a")
		Expect(arrive(work, 102, "a").Verdict).To(Equal(intake.Wait), "slots of given up requests are free, no more")
	})
	It("sends a request to the target that was granted to it if others have the last slots of the chosen one", func() {
		q.SetTargets([]intake.Target{{ID: "t", Slots: 1}, {ID: "u", Slots: 1}})
		first, second := arrive(0, 1, "a"), arrive(0, 2, "a")
		Expect([]string{first.Target, second.Target}).To(ConsistOf("t", "u"))
		Expect(q.Sent(0, second.Target, first.Target)).To(BeFalse(), "the slot is the second one's")
		Expect(q.Sent(0, first.Target, first.Target)).To(BeTrue())
		Expect(q.Sent(0, second.Target, second.Target)).To(BeTrue())
		Expect(arrive(0, 3, "a").Verdict).To(Equal(intake.Wait))
	})
	It("keeps the slot of a granted request that is not sent for others", func() {
		send(0, 1, "a")
		d := arrive(0, 2, "a")
		Expect(arrive(0, 3, "a").Verdict).To(Equal(intake.Wait), "the second slot is granted")
		q.Withdrawn(d.Target)
		Expect(q.Step(0)).To(HaveLen(1))
	})
	It("asks a target that refuses again at growing intervals of four service times at most", func() {
		send(0, 1, "a")
		q.Ended(work, "t", work, intake.Ran)
		now, last := work, work
		var gaps []time.Duration
		for range 20 {
			d := q.Arrive(now, intake.Request{ID: 2, Account: "a", Deadline: time.Hour, Again: true})
			for d.Verdict == intake.Wait {
				now, _ = q.Next(now)
				if decided := q.Step(now); len(decided) > 0 {
					d = decided[0]
				}
			}
			q.Sent(now, d.Target, d.Target)
			q.Ended(now, d.Target, 0, intake.Refused)
			gaps = append(gaps, now-last)
			last = now
		}
		for i := 1; i < len(gaps); i++ {
			Expect(gaps[i]).To(BeNumerically(">=", gaps[i-1]))
		}
		Expect(gaps[1]).To(BeNumerically(">=", work))
		Expect(gaps[len(gaps)-1]).To(Equal(4 * work))
	})
	It("gives the accounts equal turns", func() {
		send(0, 1, "a")
		send(0, 2, "a")
		for id := range uint64(6) {
			arrive(0, 10+id, "a")
		}
		arrive(0, 20, "b")
		arrive(0, 21, "b")
		var order []uint64
		for i := range 5 {
			now := time.Duration(i+1) * work
			q.Ended(now, "t", work, intake.Ran)
			d := q.Step(now)[0]
			order = append(order, d.ID)
			q.Sent(now, d.Target, d.Target)
		}
		Expect(order).To(Equal([]uint64{10, 20, 11, 21, 12}))
	})
	It("refuses what cannot be answered in time, and nothing while a slot may be free", func() {
		for range 20 {
			send(0, 1, "a")
			q.Ended(work, "t", 300*ms, intake.Ran)
		}
		late := intake.Request{ID: 2, Account: "a", Deadline: 200 * ms}
		d := q.Arrive(work, late)
		Expect(d.Verdict).To(Equal(intake.Send), "a service time is an estimate")
		q.Sent(work, d.Target, d.Target)
		send(work, 3, "a")
		d = q.Arrive(work, late)
		Expect(d.Verdict).To(Equal(intake.Refuse))
		Expect(d.ExpectedWait).To(BeNumerically(">", 0))
		Expect(q.Arrive(work, intake.Request{ID: 4, Account: "a", Deadline: -time.Hour}).Verdict).To(Equal(intake.Refuse))
	})
	It("does not take a target that has stopped for one with room while others answer", func() {
		q.SetTargets([]intake.Target{{ID: "t", Slots: 2}, {ID: "u", Slots: 2}})
		for id := range uint64(4) {
			send(0, id, "a")
		}
		q.Ended(work, "u", work, intake.Failed)
		q.Ended(work, "u", work, intake.Failed)
		Expect(arrive(work, 5, "a").Verdict).To(Equal(intake.Wait))
		q.Ended(work, "t", work, intake.Ran)
		Expect(q.Step(work)).To(HaveLen(1))
		q.SetTargets([]intake.Target{{ID: "u", Slots: 2}})
		Expect(arrive(work, 6, "a").Target).To(Equal("u"), "there is no other")
	})
	It("forgets a request whose caller has gone", func() {
		send(0, 1, "a")
		send(0, 2, "a")
		arrive(0, 3, "a")
		q.Left(3)
		_, waiting := q.Next(0)
		Expect(waiting).To(BeFalse())
	})
	It("sends what it knows no target for, and takes targets without slots", func() {
		q.SetTargets(nil)
		Expect(arrive(0, 1, "").Verdict).To(Equal(intake.Send))
		q.SetTargets([]intake.Target{{ID: "u", Slots: -4}})
		for id := range uint64(50) {
			send(0, id, "")
		}
	})
	It("spreads the times at which refused callers come back around the expected wait", func() {
		Expect(intake.RetryAfter(time.Second, 0)).To(Equal(500 * ms))
		Expect(intake.RetryAfter(time.Second, 1)).To(Equal(1500 * ms))
		Expect(intake.RetryAfter(0, 0.5)).To(BeNumerically(">", 0))
	})
})
