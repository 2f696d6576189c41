package control

import (
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

var _ = Describe("A waiter of Append", func() {
	It("receives its result only once the published snapshot contains the record", func() {
		clock := &manualClock{}
		l := New(Options{
			Self: member.Peer{ID: "n", Incarnation: 1}, Clock: clock, Log: &fakeLog{},
			Events: events.New("n", nil, clock.Wall),
		})
		id := uuid.New()
		result := make(chan fold.Result, 1)
		addWaiter{id, result}.handle(l)
		l.state.Applied = 7
		l.onRecordApplied(0, fold.Result{
			Offset: 7, Verdict: fold.Accepted, Envelope: record.Envelope{ID: id},
			Body: record.TargetDrain{},
		})
		Expect(result).NotTo(Receive(), "the snapshot does not contain the record yet")
		l.publish()
		l.notifyWaiters()
		Expect(result).To(Receive())
		Expect(l.Snapshot().Offset).To(Equal(record.Offset(7)))
	})
})
