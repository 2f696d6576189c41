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

type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }
func (c *manualClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.Now()) }

// newTestLimiter returns a limiter of the instance self, whose peers are all unreachable.
func newTestLimiter(self string, owners []string, a config.Account, c *manualClock) *limiter {
	s := &control.Snapshot{
		Self: member.Peer{ID: self}, Owners: owners,
		Config: &config.Config{Accounts: []config.Account{a}}, PeerByID: map[string]member.Status{},
	}
	return newLimiter(fixedSnapshot{s}, peer.NewPool(peer.Hello{ID: self}, nil), c)
}

type fixedSnapshot struct{ s *control.Snapshot }

func (h fixedSnapshot) Snapshot() *control.Snapshot { return h.s }

func TestSingleInstanceGetsFullLimit(t *testing.T) {
	g := NewWithT(t)
	c := &manualClock{}
	account := config.Account{Name: "acc", RequestsPerSecond: 10, Concurrency: 4}
	l := newTestLimiter("a", []string{"a"}, account, c)
	c.now.Store(int64(2 * limit.AllocationTTL))
	for range 4 {
		g.Expect(l.acquire(context.Background(), &account)).To(BeNil())
	}
	fail := l.acquire(context.Background(), &account)
	g.Expect(fail.code).To(Equal("too_many_in_flight"))
	for range 4 {
		l.release("acc")
	}
	admitted := 0
	for range 100 { // at 10 requests per second, the account's limit
		c.now.Add(int64(100 * time.Millisecond))
		l.renewAllocations(context.Background())
		if l.acquire(context.Background(), &account) == nil {
			admitted++
			l.release("acc")
		}
	}
	g.Expect(admitted).To(BeNumerically(">=", 95), "all but the requests before the demand was measured")
	fail = nil
	for range 11 {
		if fail = l.acquire(context.Background(), &account); fail != nil {
			break
		}
		l.release("acc")
	}
	g.Expect(fail).NotTo(BeNil(), "11 requests at once exceed a burst of one second")
	g.Expect(fail.code).To(Equal("rate_limited"))
	g.Expect(fail.status).To(Equal(429))
	g.Expect(fail.retryAfter).To(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
}

func TestEqualShareWithoutOwner(t *testing.T) {
	g := NewWithT(t)
	c := &manualClock{}
	account := config.Account{Name: "acc", Concurrency: 8}
	l := newTestLimiter("a", []string{"b", "c"}, account, c) // neither is reachable
	for range 4 {
		g.Expect(l.acquire(context.Background(), &account)).To(BeNil())
	}
	g.Expect(l.acquire(context.Background(), &account).code).To(Equal("too_many_in_flight"))
}

func TestIdleAccountsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	c := &manualClock{}
	account := config.Account{Name: "acc", Concurrency: 8}
	l := newTestLimiter("a", []string{"a"}, account, c)
	g.Expect(l.acquire(context.Background(), &account)).To(BeNil())
	c.now.Store(int64(time.Minute))
	l.renewAllocations(context.Background())
	g.Expect(l.accounts).To(HaveLen(1), "a request is in flight")
	l.release("acc")
	c.now.Store(int64(2 * time.Minute))
	l.renewAllocations(context.Background())
	g.Expect(l.accounts).To(BeEmpty())
	g.Expect(l.allocators).To(BeEmpty())
}

// BenchmarkAllotBytes reports the bytes per second of the allocation requests of one
// instance for 12 accounts of one owner, before framing.
func BenchmarkAllotBytes(b *testing.B) {
	var call allocationCall
	var reply allocationReply
	for i := range 12 {
		call.Accounts = append(call.Accounts, fmt.Sprintf("client-account-%d", i))
		call.Requests = append(call.Requests, limit.AllocationRequest{Rate: 123.4, PeakInFlight: 17, InFlight: 16, Current: limit.Allocation{Rate: 98.7, Concurrency: 16, MoreRate: true}})
		reply.Allocations = append(reply.Allocations, limit.Allocation{Rate: 98.7, Concurrency: 16, MoreRate: true})
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
