package caller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/limit"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

type stoppedClock struct{ now atomic.Int64 }

func (c *stoppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }
func (c *stoppedClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.Now()) }

func newTestLimiter(self string, owners []string, a config.Account, c *stoppedClock) *limiter {
	s := &control.Snapshot{
		Self: member.Peer{ID: self}, Owners: owners,
		Config: &config.Config{Accounts: []config.Account{a}}, PeerByID: map[string]member.Status{},
	}
	return newLimiter(heldSnapshot{s}, peer.NewPool(peer.Hello{ID: self}, nil), c)
}

type heldSnapshot struct{ s *control.Snapshot }

func (h heldSnapshot) Snapshot() *control.Snapshot { return h.s }

func TestOneInstanceServesTheWholeLimit(t *testing.T) {
	g := NewWithT(t)
	c := &stoppedClock{}
	account := config.Account{Name: "acc", RequestsPerSecond: 10, Concurrency: 4}
	l := newTestLimiter("a", []string{"a"}, account, c)
	c.now.Store(int64(2 * limit.AllocationTTL))
	for range 4 {
		g.Expect(l.enter(context.Background(), &account)).To(BeNil())
	}
	fail := l.enter(context.Background(), &account)
	g.Expect(fail.code).To(Equal("too_many_in_flight"))
	for range 4 {
		l.leave("acc")
	}
	admitted := 0
	for range 100 { // at the limit's rate
		c.now.Add(int64(100 * time.Millisecond))
		l.requestAll(context.Background())
		if l.enter(context.Background(), &account) == nil {
			admitted++
			l.leave("acc")
		}
	}
	g.Expect(admitted).To(BeNumerically(">=", 95), "all but what comes before the demand is known")
	fail = nil
	for range 11 {
		if fail = l.enter(context.Background(), &account); fail != nil {
			break
		}
		l.leave("acc")
	}
	g.Expect(fail).NotTo(BeNil(), "more than a second of the limit at once")
	g.Expect(fail.code).To(Equal("rate_limited"))
	g.Expect(fail.status).To(Equal(429))
	g.Expect(fail.retryAfter).To(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
}

func TestAnInstanceWithoutTheOwnerKeepsToAnEqualShare(t *testing.T) {
	g := NewWithT(t)
	c := &stoppedClock{}
	account := config.Account{Name: "acc", Concurrency: 8}
	l := newTestLimiter("a", []string{"b", "c"}, account, c) // neither can be reached
	for range 4 {
		g.Expect(l.enter(context.Background(), &account)).To(BeNil())
	}
	g.Expect(l.enter(context.Background(), &account).code).To(Equal("too_many_in_flight"))
}

func TestIdleAccountsAreDropped(t *testing.T) {
	g := NewWithT(t)
	c := &stoppedClock{}
	account := config.Account{Name: "acc", Concurrency: 8}
	l := newTestLimiter("a", []string{"a"}, account, c)
	g.Expect(l.enter(context.Background(), &account)).To(BeNil())
	c.now.Store(int64(time.Minute))
	l.requestAll(context.Background())
	g.Expect(l.shares).To(HaveLen(1), "a request is in flight")
	l.leave("acc")
	c.now.Store(int64(2 * time.Minute))
	l.requestAll(context.Background())
	g.Expect(l.shares).To(BeEmpty())
	g.Expect(l.books).To(BeEmpty())
}

// BenchmarkAllotBytes reports what a holder's asks for 12 accounts of one owner
// cost on the wire, before framing.
func BenchmarkAllotBytes(b *testing.B) {
	var call allotCall
	var reply allotReply
	for i := range 12 {
		call.Accounts = append(call.Accounts, fmt.Sprintf("client-account-%d", i))
		call.Asks = append(call.Asks, limit.AllocationRequest{Rate: 123.4, PeakInFlight: 17, InFlight: 16, Current: limit.Allocation{Rate: 98.7, Concurrency: 16, MoreRate: true}})
		reply.Parts = append(reply.Parts, limit.Allocation{Rate: 98.7, Concurrency: 16, MoreRate: true})
	}
	for b.Loop() {
		sent, err := record.Marshal(call)
		if err != nil {
			b.Fatal(err)
		}
		received, err := record.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(sent)+len(received))*float64(time.Second/limit.RequestInterval), "B/s")
	}
}
