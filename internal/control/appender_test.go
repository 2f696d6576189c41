package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration      { return time.Duration(c.now.Load()) }
func (c *manualClock) Wall() time.Time         { return time.Unix(0, c.now.Load()) }
func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// fakeLog returns the errors in failures from its first appends, in order; later appends
// succeed.
type fakeLog struct {
	mu              sync.Mutex
	failures        []error
	appendOnFailure bool                   // appends that return an error from failures take effect
	beforeAppend    func(records [][]byte) // called before each append; may be nil
	reject          string                 // calls with this record are rejected
	records         []string
	calls           int
}

func (f *fakeLog) Append(_ context.Context, records [][]byte) ([]int64, error) {
	if f.beforeAppend != nil {
		f.beforeAppend(records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var err error
	if len(f.failures) > 0 {
		err, f.failures = f.failures[0], f.failures[1:]
	}
	for _, r := range records {
		if f.reject != "" && string(r) == f.reject {
			return nil, platform.ErrRejected
		}
	}
	if err == nil || f.appendOnFailure {
		for _, r := range records {
			f.records = append(f.records, string(r))
		}
	}
	return nil, err
}

func (f *fakeLog) Read(context.Context, int64, int, time.Duration) (platform.ReadReply, error) {
	return platform.ReadReply{}, platform.ErrUnavailable
}

func (f *fakeLog) appended() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.records...)
}

func newTestEntry(name string, c class) *entry {
	return &entry{id: uuid.New(), class: c, data: [][]byte{[]byte(name)}}
}

var _ = Describe("appender", func() {
	var (
		log    *fakeLog
		clock  *manualClock
		a      *appender
		start  func()
		cancel context.CancelFunc
	)
	BeforeEach(func() {
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		log, clock = &fakeLog{}, &manualClock{}
		a = newAppender(log, clock, events.New("a", nil, clock.Wall))
		done := make(chan struct{})
		start = func() { go func() { defer close(done); _ = a.run(ctx) }() }
		DeferCleanup(func() { cancel(); Eventually(done, "30s").Should(BeClosed()) })
	})

	DescribeTable("repeats a failed append until the records are in the log", func(takesEffect bool, failures ...error) {
		log.failures, log.appendOnFailure = failures, takesEffect
		Expect(a.submit(newTestEntry("x", classOrders))).To(Succeed())
		start()
		want := 1
		if takesEffect {
			want += len(failures)
		}
		Eventually(log.appended, "30s").Should(HaveLen(want))
		Expect(log.appended()).To(HaveEach("x"))
	},
		Entry("an outage longer than five attempts", false, platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable,
			platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable),
		Entry("rate limited", false, platform.ErrRateLimited, platform.ErrRateLimited),
		Entry("two lost responses", true, platform.ErrUnavailable, platform.ErrUnavailable),
		Entry("rate limited, then an outage", false, platform.ErrRateLimited, platform.ErrUnavailable),
	)

	It("appends configuration, keys and leases before orders, usage and deliveries", func() {
		for c := numClasses - 1; c >= 0; c-- {
			Expect(a.submit(newTestEntry(fmt.Sprint(c), c))).To(Succeed())
		}
		Expect(a.nextBatch(laneUrgent)).To(HaveLen(1))
		var order []string
		for _, e := range a.nextBatch(laneOthers) {
			order = append(order, string(e.data[0]))
		}
		Expect(order).To(Equal([]string{"1", "2", "3"}))
		start()
	})

	It("appends lease records while calls of the other classes hang", func() {
		release := make(chan struct{})
		log.beforeAppend = func(records [][]byte) {
			if string(records[0]) == "bulk" {
				<-release
			}
		}
		Expect(a.submit(newTestEntry("bulk", classDelivery))).To(Succeed())
		start()
		Expect(a.submit(newTestEntry("lease", classUrgent))).To(Succeed())
		Eventually(log.appended, "30s").Should(ContainElement("lease"))
		Expect(log.appended()).NotTo(ContainElement("bulk"))
		close(release)
	})

	It("does not send a lease record after its term", func() {
		late := newTestEntry("late", classUrgent)
		late.expiresAt = time.Second
		Expect(a.submit(late)).To(Succeed())
		clock.advance(time.Second)
		Expect(a.submit(newTestEntry("next", classUrgent))).To(Succeed())
		start()
		Eventually(log.appended, "30s").Should(Equal([]string{"next"}))
	})

	It("reports a rejected record and appends the rest of its batch", func() {
		log.reject = "bad"
		failed := make(chan error, 1)
		rejected := newTestEntry("bad", classOrders)
		rejected.onRejected = func(err error) { failed <- err }
		Expect(a.submit(rejected)).To(Succeed())
		Expect(a.submit(newTestEntry("good", classOrders))).To(Succeed())
		start()
		Eventually(failed, "30s").Should(Receive(MatchError(platform.ErrRejected)))
		Eventually(log.appended, "30s").Should(Equal([]string{"good"}))
	})

	It("reports a full queue, and an entry that is removed before it was sent", func() {
		for range maxQueuedEntries {
			Expect(a.submit(newTestEntry("x", classDelivery))).To(Succeed())
		}
		Expect(a.submit(newTestEntry("x", classDelivery))).To(MatchError(ErrOverloaded))
		urgent := newTestEntry("lease", classUrgent)
		Expect(a.submit(urgent)).To(Succeed(), "the limit is per class")
		Expect(a.remove(urgent.id)).To(BeTrue())
		Expect(a.nextBatch(laneUrgent)).To(BeEmpty(), "withdrawn")
		start()
	})

	It("records whether a failed call may have taken effect", func() {
		e := newTestEntry("x", classOrders)
		Expect(a.submit(e)).To(Succeed())
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrRateLimited)
		Expect(e.sent).To(BeFalse())
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrUnavailable)
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrRateLimited)
		Expect(a.remove(e.id)).To(BeFalse(), "an earlier call may still take effect")
		start()
	})
})

var _ = Describe("pace", func() {
	It("halves the rate after rate-limited calls, at most once in minDecreaseInterval, and raises it after successful ones", func() {
		p := newAdaptiveLimiter()
		for i := range 10 {
			p.update(time.Duration(i)*time.Millisecond, platform.ErrRateLimited)
		}
		Expect(float64(p.limiter.Limit())).To(Equal(initialAppendRate / 2))
		for range 10_000 {
			p.update(time.Second, nil)
		}
		Expect(float64(p.limiter.Limit())).To(Equal(maxAppendRate))
	})
})

var _ = Describe("classOf", func() {
	DescribeTable("priorities", func(k record.Kind, want class) { Expect(classOf(k)).To(Equal(want)) },
		Entry(nil, record.KindLease, classUrgent), Entry(nil, record.KindKeyWithdraw, classUrgent),
		Entry(nil, record.KindOrderIntent, classOrders), Entry(nil, record.KindUsageSeal, classUsage),
		Entry(nil, record.KindBatch, classDelivery),
	)
})
