package caller

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/limit"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	// firstRequestTimeout bounds the wait of an account's first request for its
	// instance's allotment, after which an equal share applies.
	firstRequestTimeout = 100 * time.Millisecond
	askTimeout          = limit.AllocationTTL / 2
	// Requests over an instance's part wait for up to maxMoreAsks asks, each
	// after moreAskPause, while the account has room left at its owner.
	maxQuotaRetries = 3
	quotaRetryDelay = 10 * time.Millisecond
)

// snapshotSource is where the limiter reads the accounts and instances.
type snapshotSource interface{ Snapshot() *control.Snapshot }

// limiter holds this instance's shares of the accounts' limits, and the books of
// the accounts whose limits this instance owns. It is safe for concurrent use.
type limiter struct {
	loop  snapshotSource
	peers *peer.Pool
	clock clock.Clock

	mu     sync.Mutex
	shares map[string]*share // by account
	books  map[string]*limit.Allocator
	owners []string      // as last seen
	since  time.Duration // when owners last changed
}

// share is an account's share with the ask that is on its way.
type share struct {
	*limit.LocalLimiter
	pending     chan struct{} // closed when the answer is in; nil: none on its way
	requestedAt time.Duration // of the last first ask
}

func newLimiter(loop snapshotSource, peers *peer.Pool, c clock.Clock) *limiter {
	return &limiter{loop: loop, peers: peers, clock: c, shares: map[string]*share{}, books: map[string]*limit.Allocator{}, since: c.Now()}
}

func limitsOf(a *config.Account) limit.Limits {
	return limit.Limits{Rate: a.RequestsPerSecond, Concurrency: a.Concurrency}
}

// enter counts a request against the account's limits. An admitted request must
// leave. Before it refuses, it asks for a larger part if there may be one.
func (l *limiter) enter(ctx context.Context, a *config.Account) *failure {
	verdict, retryAfter := l.tryEnter(ctx, a)
	for range maxQuotaRetries {
		if verdict == limit.Admitted || !l.requestMore(ctx, a, verdict) {
			break
		}
		verdict, retryAfter = l.tryEnter(ctx, a)
	}
	switch verdict {
	case limit.OverRate:
		f := refuse(http.StatusTooManyRequests, "rate_limited", "client account "+a.Name+" is over its requests per second")
		f.retryAfter = retryAfter
		return f
	case limit.OverConcurrency:
		return refuse(http.StatusTooManyRequests, "too_many_in_flight", "client account "+a.Name+" is over its requests in flight")
	default:
		return nil
	}
}

func (l *limiter) tryEnter(ctx context.Context, a *config.Account) (limit.Decision, time.Duration) {
	l.awaitFirstAllocation(ctx, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(a).TryAcquire(l.clock.Now())
}

func (l *limiter) leave(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares[account].Release()
}

// awaitFirstAllocation waits for the owner's answer if the account has no allotment here.
func (l *limiter) awaitFirstAllocation(ctx context.Context, a *config.Account) {
	l.mu.Lock()
	s := l.share(a)
	now := l.clock.Now()
	silent := s.pending == nil && s.requestedAt != 0 && now-s.requestedAt < limit.AllocationTTL // the owner has not answered lately
	if !s.Limited() || s.HasAllocation(now) || silent {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.requestNow(ctx, a, 0)
}

// requestMore asks for a larger part and reports whether it was worth it.
func (l *limiter) requestMore(ctx context.Context, a *config.Account, refusal limit.Decision) bool {
	l.mu.Lock()
	more := l.share(a).MoreAvailable(l.clock.Now(), refusal)
	l.mu.Unlock()
	if more {
		l.requestNow(ctx, a, quotaRetryDelay)
	}
	return more
}

// requestNow waits until the owner has answered, after a pause that lets other
// requests join. All who wait for one account share one ask.
func (l *limiter) requestNow(ctx context.Context, a *config.Account, pause time.Duration) {
	l.mu.Lock()
	s := l.share(a)
	if s.pending == nil {
		s.pending, s.requestedAt = make(chan struct{}), l.clock.Now()
		go l.requestOne(context.WithoutCancel(ctx), a.Name, pause)
	}
	asking := s.pending
	l.mu.Unlock()
	select {
	case <-asking:
	case <-ctx.Done():
	}
}

func (l *limiter) requestOne(ctx context.Context, account string, pause time.Duration) {
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(ctx, firstRequestTimeout)
	defer cancel()
	snapshot := l.loop.Snapshot()
	l.requestFrom(ctx, snapshot, accountOwner(snapshot, account), []string{account})
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shares[account]; s != nil && s.pending != nil {
		close(s.pending)
		s.pending = nil
	}
}

// share returns the account's share with its limits as configured now.
func (l *limiter) share(a *config.Account) *share {
	instances := len(l.loop.Snapshot().Owners)
	s := l.shares[a.Name]
	if s == nil {
		s = &share{LocalLimiter: limit.NewLocalLimiter(l.clock.Now(), limitsOf(a), instances)}
		l.shares[a.Name] = s
	}
	s.SetLimits(limitsOf(a), instances)
	return s
}

// accountOwner returns the instance that allots the account's limits.
func accountOwner(s *control.Snapshot, account string) string {
	return member.Owner("account/"+account, s.Owners)
}

// run asks for allotments until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	return clock.Every(ctx, limit.RequestInterval, func() { l.requestAll(ctx) })
}

// requestAll asks every owner, once, for the accounts that are in use here.
func (l *limiter) requestAll(ctx context.Context) {
	snapshot := l.loop.Snapshot()
	byOwner := map[string][]string{}
	l.mu.Lock()
	now := l.clock.Now()
	for account, s := range l.shares {
		switch {
		case s.Idle(now) && s.pending == nil:
			delete(l.shares, account)
		case s.Limited():
			at := accountOwner(snapshot, account)
			byOwner[at] = append(byOwner[at], account)
		}
	}
	for account, b := range l.books {
		if b.Idle(now) {
			delete(l.books, account)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var g errgroup.Group
	for at, accounts := range byOwner {
		g.Go(func() error {
			l.requestFrom(ctx, snapshot, at, accounts)
			return nil
		})
	}
	_ = g.Wait() // asks return no error: the old allotment ends by itself
}

// allotCall asks an owner for allotments.
type allotCall struct {
	Accounts []string                  `cbor:"1,keyasint"`
	Asks     []limit.AllocationRequest `cbor:"2,keyasint"`
}

// allotReply holds the allotments in the order of the call's accounts.
type allotReply struct {
	Parts []limit.Allocation `cbor:"1,keyasint"`
}

// requestFrom asks one owner for the accounts and puts its answer into force. Without an
// answer the old allotments end by themselves.
func (l *limiter) requestFrom(ctx context.Context, snapshot *control.Snapshot, at string, accounts []string) {
	call := allotCall{}
	l.mu.Lock()
	sentAt := l.clock.Now()
	for _, account := range accounts {
		if s := l.shares[account]; s != nil {
			call.Accounts = append(call.Accounts, account)
			call.Asks = append(call.Asks, s.Demand(sentAt))
		}
	}
	l.mu.Unlock()
	var reply allotReply
	if at == snapshot.Self.ID {
		reply = l.allot(snapshot.Self.ID, call)
	} else if err := l.peers.Call(ctx, snapshot.PeerByID[at].Address, peer.KindAllocate, call, &reply); err != nil {
		return
	}
	if len(reply.Parts) != len(call.Accounts) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, account := range call.Accounts {
		if s := l.shares[account]; s != nil {
			s.SetAllocation(sentAt, l.clock.Now(), reply.Parts[i])
		}
	}
}

// allot answers an instance's ask from this instance's books.
func (l *limiter) allot(from string, call allotCall) allotReply {
	snapshot := l.loop.Snapshot()
	var reply allotReply
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !slices.Equal(l.owners, snapshot.Owners) {
		l.owners, l.since = snapshot.Owners, now
	}
	for i, account := range call.Accounts {
		var part limit.Allocation
		if i >= len(call.Asks) || snapshot.Config == nil {
			break
		}
		if a := snapshot.Config.Account(account); a != nil {
			part = l.book(a).Allocate(now, from, len(snapshot.Owners), call.Asks[i])
		}
		reply.Parts = append(reply.Parts, part)
	}
	return reply
}

func (l *limiter) book(a *config.Account) *limit.Allocator {
	b := l.books[a.Name]
	if b == nil {
		b = limit.NewAllocator(l.since, limitsOf(a))
		l.books[a.Name] = b
	}
	b.SetLimits(limitsOf(a))
	return b
}

// HandleAllot answers a peer's ask for allotments.
func (s *Server) HandleAllot(from peer.Session, body []byte) (any, error) {
	call, err := peer.Decode[allotCall](body)
	if err != nil {
		return nil, err
	}
	return s.limiter.allot(from.ID, call), nil
}

// retryAfterSeconds is the value of Retry-After for a likely wait.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(max(int(math.Ceil(wait.Seconds())), minRetryAfter))
}

// minRetryAfter is the least pause that a refused caller is told, in seconds.
const minRetryAfter = 1
