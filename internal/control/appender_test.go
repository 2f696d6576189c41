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

// manualClock is a clock that tests move.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration      { return time.Duration(c.now.Load()) }
func (c *manualClock) Wall() time.Time         { return time.Unix(0, c.now.Load()) }
func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// fakeLog answers appends by a script, and by success once it is used up.
type fakeLog struct {
	mu      sync.Mutex
	script  []error
	effect  bool // a scripted failure has taken effect all the same
	hold    func(records [][]byte)
	refuse  string // refuses calls that carry this record
	records []string
	calls   int
}

func (f *fakeLog) Append(_ context.Context, records [][]byte) ([]int64, error) {
	if f.hold != nil {
		f.hold(records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var err error
	if len(f.script) > 0 {
		err, f.script = f.script[0], f.script[1:]
	}
	for _, r := range records {
		if f.refuse != "" && string(r) == f.refuse {
			return nil, platform.ErrRejected
		}
	}
	if err == nil || f.effect {
		for _, r := range records {
			f.records = append(f.records, string(r))
		}
	}
	return nil, err
}

func (f *fakeLog) Read(context.Context, int64, int, time.Duration) (platform.ReadReply, error) {
	return platform.ReadReply{}, platform.ErrUnavailable
}

func (f *fakeLog) kept() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.records...)
}

func named(name string, c class) *entry {
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

	DescribeTable("repeats until the records are in the log", func(effect bool, script ...error) {
		log.script, log.effect = script, effect
		Expect(a.submit(named("x", classOrders))).To(Succeed())
		start()
		want := 1
		if effect {
			want += len(script)
		}
		Eventually(log.kept, "30s").Should(HaveLen(want))
		Expect(log.kept()).To(HaveEach("x"))
	},
		Entry("an outage longer than five tries", false, platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable,
			platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrUnavailable),
		Entry("the rate limit", false, platform.ErrRateLimited, platform.ErrRateLimited),
		Entry("lost answers, twice", true, platform.ErrUnavailable, platform.ErrUnavailable),
		Entry("the rate limit, then an outage", false, platform.ErrRateLimited, platform.ErrUnavailable),
	)

	It("puts configuration, keys and leases before orders, usage and ledger", func() {
		for c := numClasses - 1; c >= 0; c-- {
			Expect(a.submit(named(fmt.Sprint(c), c))).To(Succeed())
		}
		Expect(a.nextBatch(laneUrgent)).To(HaveLen(1))
		var order []string
		for _, e := range a.nextBatch(laneOthers) {
			order = append(order, string(e.data[0]))
		}
		Expect(order).To(Equal([]string{"1", "2", "3"}))
		start()
	})

	It("renews leases while calls of the other classes hang", func() {
		release := make(chan struct{})
		log.hold = func(records [][]byte) {
			if string(records[0]) == "bulk" {
				<-release
			}
		}
		Expect(a.submit(named("bulk", classLedger))).To(Succeed())
		start()
		Expect(a.submit(named("lease", classUrgent))).To(Succeed())
		Eventually(log.kept, "30s").Should(ContainElement("lease"))
		Expect(log.kept()).NotTo(ContainElement("bulk"))
		close(release)
	})

	It("does not send a lease record after its term", func() {
		late := named("late", classUrgent)
		late.expiresAt = time.Second
		Expect(a.submit(late)).To(Succeed())
		clock.advance(time.Second)
		Expect(a.submit(named("next", classUrgent))).To(Succeed())
		start()
		Eventually(log.kept, "30s").Should(Equal([]string{"next"}))
	})

	It("reports a refused record and appends the rest of its batch", func() {
		log.refuse = "bad"
		failed := make(chan error, 1)
		bad := named("bad", classOrders)
		bad.onRejected = func(err error) { failed <- err }
		Expect(a.submit(bad)).To(Succeed())
		Expect(a.submit(named("good", classOrders))).To(Succeed())
		start()
		Eventually(failed, "30s").Should(Receive(MatchError(platform.ErrRejected)))
		Eventually(log.kept, "30s").Should(Equal([]string{"good"}))
	})

	It("tells a full queue and a record that never left", func() {
		for range maxQueuedEntries {
			Expect(a.submit(named("x", classLedger))).To(Succeed())
		}
		Expect(a.submit(named("x", classLedger))).To(MatchError(ErrOverloaded))
		urgent := named("lease", classUrgent)
		Expect(a.submit(urgent)).To(Succeed(), "other classes have room of their own")
		Expect(a.remove(urgent.id)).To(BeTrue())
		Expect(a.nextBatch(laneUrgent)).To(BeEmpty(), "withdrawn")
		start()
	})

	It("knows whether a failed call can have had an effect", func() {
		e := named("x", classOrders)
		Expect(a.submit(e)).To(Succeed())
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrRateLimited)
		Expect(e.sent).To(BeFalse())
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrUnavailable)
		a.handleFailure(context.Background(), a.nextBatch(laneOthers), platform.ErrRateLimited)
		Expect(a.remove(e.id)).To(BeFalse(), "an earlier call may take effect late")
		start()
	})
})

var _ = Describe("pace", func() {
	It("halves at refusals, not more often than its step, and grows back", func() {
		p := newAdaptiveLimiter()
		for i := range 10 {
			p.update(time.Duration(i)*time.Millisecond, platform.ErrRateLimited)
		}
		Expect(float64(p.limiter.Limit())).To(Equal(firstAppendRate / 2))
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
		Entry(nil, record.KindBatch, classLedger),
	)
})
