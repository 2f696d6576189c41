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
	// allocationWaitTimeout is the timeout of an allocation request that callers'
	// requests wait for. If the instance has no allocation afterwards, an equal share
	// of the limit applies.
	allocationWaitTimeout = 100 * time.Millisecond
	renewalTimeout        = limit.AllocationTTL / 2
	// A caller's request over the instance's allocation waits for up to maxQuotaRetries
	// allocation requests, each sent after quotaRetryDelay, while the owner may have
	// unallocated quota of the account.
	maxQuotaRetries = 3
	quotaRetryDelay = 10 * time.Millisecond
)

// snapshotSource provides snapshots with the accounts and the instances.
type snapshotSource interface{ Snapshot() *control.Snapshot }

// limiter applies the accounts' limits at this instance. It holds this instance's
// allocations of the limits, and the allocators of the accounts that this instance
// owns. It is safe for concurrent use.
type limiter struct {
	loop  snapshotSource
	peers *peer.Pool
	clock clock.Clock

	mu          sync.Mutex
	accounts    map[string]*accountLimiter // by account name
	allocators  map[string]*limit.Allocator
	owners      []string      // ids of the account owners at the last allocate
	ownersSince time.Duration // when owners last changed
}

// accountLimiter is the local limiter of an account with its pending allocation request.
type accountLimiter struct {
	*limit.LocalLimiter
	pending     chan struct{} // closed when the allocation request ends; nil: none is pending
	requestedAt time.Duration // when a caller's request last started an allocation request; zero: never
}

func newLimiter(loop snapshotSource, peers *peer.Pool, c clock.Clock) *limiter {
	return &limiter{loop: loop, peers: peers, clock: c, accounts: map[string]*accountLimiter{}, allocators: map[string]*limit.Allocator{}, ownersSince: c.Now()}
}

func limitsOf(a *config.Account) limit.Limits {
	return limit.Limits{Rate: a.RequestsPerSecond, Concurrency: a.Concurrency}
}

// acquire counts a request against the account's limits, or returns the failure of a
// refused one. Before a refusal it requests a larger allocation if more quota may be
// available. For an admitted request release must be called.
func (l *limiter) acquire(ctx context.Context, a *config.Account) *failure {
	decision, retryAfter := l.tryAcquire(ctx, a)
	for range maxQuotaRetries {
		if decision == limit.Admitted || !l.requestLargerAllocation(ctx, a, decision) {
			break
		}
		decision, retryAfter = l.tryAcquire(ctx, a)
	}
	switch decision {
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

func (l *limiter) tryAcquire(ctx context.Context, a *config.Account) (limit.Decision, time.Duration) {
	l.awaitFirstAllocation(ctx, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLimiter(a).TryAcquire(l.clock.Now())
}

func (l *limiter) release(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts[account].Release()
}

// awaitFirstAllocation requests an allocation and waits for the owner's reply if the
// account is limited and this instance has no allocation of it. If an allocation request
// within the last limit.AllocationTTL got no allocation, it does not wait: the equal
// share applies.
func (l *limiter) awaitFirstAllocation(ctx context.Context, a *config.Account) {
	l.mu.Lock()
	s := l.accountLimiter(a)
	now := l.clock.Now()
	ownerUnresponsive := s.pending == nil && s.requestedAt != 0 && now-s.requestedAt < limit.AllocationTTL
	if !s.Limited() || s.HasAllocation(now) || ownerUnresponsive {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.awaitAllocationRequest(ctx, a, 0)
}

// requestLargerAllocation requests a larger allocation if the owner may allocate more of
// the exceeded limit, waits for the reply, and reports whether it sent a request.
func (l *limiter) requestLargerAllocation(ctx context.Context, a *config.Account, decision limit.Decision) bool {
	l.mu.Lock()
	available := l.accountLimiter(a).MoreAvailable(l.clock.Now(), decision)
	l.mu.Unlock()
	if available {
		l.awaitAllocationRequest(ctx, a, quotaRetryDelay)
	}
	return available
}

// awaitAllocationRequest starts an allocation request, which is sent after the delay, and
// waits until it has ended. If one is pending for the account, it waits for that one. The
// delay lets more callers share one request.
func (l *limiter) awaitAllocationRequest(ctx context.Context, a *config.Account, delay time.Duration) {
	l.mu.Lock()
	s := l.accountLimiter(a)
	if s.pending == nil {
		s.pending, s.requestedAt = make(chan struct{}), l.clock.Now()
		go l.requestAllocation(context.WithoutCancel(ctx), a.Name, delay)
	}
	pending := s.pending
	l.mu.Unlock()
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// requestAllocation requests an allocation of one account after the delay, and unblocks
// the waiters.
func (l *limiter) requestAllocation(ctx context.Context, account string, delay time.Duration) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(ctx, allocationWaitTimeout)
	defer cancel()
	snapshot := l.loop.Snapshot()
	l.requestAllocations(ctx, snapshot, accountOwner(snapshot, account), []string{account})
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.accounts[account]; s != nil && s.pending != nil {
		close(s.pending)
		s.pending = nil
	}
}

// accountLimiter returns the account's local limiter with the current limits. l.mu must
// be held.
func (l *limiter) accountLimiter(a *config.Account) *accountLimiter {
	instances := len(l.loop.Snapshot().Owners)
	s := l.accounts[a.Name]
	if s == nil {
		s = &accountLimiter{LocalLimiter: limit.NewLocalLimiter(l.clock.Now(), limitsOf(a), instances)}
		l.accounts[a.Name] = s
	}
	s.SetLimits(limitsOf(a), instances)
	return s
}

// accountOwner returns the id of the instance that allocates the account's limits.
func accountOwner(s *control.Snapshot, account string) string {
	return member.Owner("account/"+account, s.Owners)
}

// run renews the allocations until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	return clock.Every(ctx, limit.RequestInterval, func() { l.renewAllocations(ctx) })
}

// renewAllocations sends each owner one request for all its accounts that are in use at
// this instance. It removes idle accounts and allocators.
func (l *limiter) renewAllocations(ctx context.Context) {
	snapshot := l.loop.Snapshot()
	byOwner := map[string][]string{}
	l.mu.Lock()
	now := l.clock.Now()
	for account, s := range l.accounts {
		switch {
		case s.Idle(now) && s.pending == nil:
			delete(l.accounts, account)
		case s.Limited():
			owner := accountOwner(snapshot, account)
			byOwner[owner] = append(byOwner[owner], account)
		}
	}
	for account, allocator := range l.allocators {
		if allocator.Idle(now) {
			delete(l.allocators, account)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	var g errgroup.Group
	for owner, accounts := range byOwner {
		g.Go(func() error {
			l.requestAllocations(ctx, snapshot, owner, accounts)
			return nil
		})
	}
	_ = g.Wait() // requests return no error: without a reply the old allocations expire
}

// allocationCall requests allocations from an owner.
type allocationCall struct {
	Accounts []string                  `cbor:"1,keyasint"`
	Requests []limit.AllocationRequest `cbor:"2,keyasint"`
}

// allocationReply holds the allocations in the order of the call's accounts.
type allocationReply struct {
	Allocations []limit.Allocation `cbor:"1,keyasint"`
}

// requestAllocations requests allocations of the accounts from one owner and applies the
// reply. Without a reply the old allocations expire.
func (l *limiter) requestAllocations(ctx context.Context, snapshot *control.Snapshot, owner string, accounts []string) {
	call := allocationCall{}
	l.mu.Lock()
	sentAt := l.clock.Now()
	for _, account := range accounts {
		if s := l.accounts[account]; s != nil {
			call.Accounts = append(call.Accounts, account)
			call.Requests = append(call.Requests, s.Demand(sentAt))
		}
	}
	l.mu.Unlock()
	var reply allocationReply
	if owner == snapshot.Self.ID {
		reply = l.allocate(snapshot.Self.ID, call)
	} else if err := l.peers.Call(ctx, snapshot.PeerByID[owner].Address, peer.KindAllocate, call, &reply); err != nil {
		return
	}
	if len(reply.Allocations) != len(call.Accounts) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, account := range call.Accounts {
		if s := l.accounts[account]; s != nil {
			s.SetAllocation(sentAt, l.clock.Now(), reply.Allocations[i])
		}
	}
}

// allocate returns the allocations for an instance's request.
func (l *limiter) allocate(from string, call allocationCall) allocationReply {
	snapshot := l.loop.Snapshot()
	var reply allocationReply
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !slices.Equal(l.owners, snapshot.Owners) {
		l.owners, l.ownersSince = snapshot.Owners, now
	}
	for i, account := range call.Accounts {
		var allocation limit.Allocation
		if i >= len(call.Requests) || snapshot.Config == nil {
			break
		}
		if a := snapshot.Config.Account(account); a != nil {
			allocation = l.allocator(a).Allocate(now, from, len(snapshot.Owners), call.Requests[i])
		}
		reply.Allocations = append(reply.Allocations, allocation)
	}
	return reply
}

// allocator returns the account's allocator with the current limits. l.mu must be held.
func (l *limiter) allocator(a *config.Account) *limit.Allocator {
	allocator := l.allocators[a.Name]
	if allocator == nil {
		allocator = limit.NewAllocator(l.ownersSince, limitsOf(a))
		l.allocators[a.Name] = allocator
	}
	allocator.SetLimits(limitsOf(a))
	return allocator
}

// HandleAllocate handles a peer's request for allocations.
func (s *Server) HandleAllocate(from peer.Session, body []byte) (any, error) {
	call, err := peer.Decode[allocationCall](body)
	if err != nil {
		return nil, err
	}
	return s.limiter.allocate(from.ID, call), nil
}

// retryAfterSeconds returns the value of Retry-After for the wait: whole seconds, rounded
// up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(max(int(math.Ceil(wait.Seconds())), minRetryAfterSeconds))
}

// minRetryAfterSeconds is the smallest value of Retry-After.
const minRetryAfterSeconds = 1
