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
	// firstAskTimeout bounds the wait of an account's first request for its
	// instance's allotment, after which an equal share applies.
	firstAskTimeout = 100 * time.Millisecond
	askTimeout      = limit.Term / 2
	// Requests over an instance's part wait for up to maxMoreAsks asks, each
	// after moreAskPause, while the account has room left at its owner.
	maxMoreAsks  = 3
	moreAskPause = 10 * time.Millisecond
)

// snapshots is where the limiter reads the accounts and instances.
type snapshots interface{ Snapshot() *control.Snapshot }

// limiter holds this instance's shares of the accounts' limits, and the books of
// the accounts whose limits this instance owns. It is safe for concurrent use.
type limiter struct {
	loop  snapshots
	peers *peer.Pool
	clock clock.Clock

	mu     sync.Mutex
	shares map[string]*share // by account
	books  map[string]*limit.Book
	owners []string      // as last seen
	since  time.Duration // when owners last changed
}

// share is an account's share with the ask that is on its way.
type share struct {
	*limit.Share
	asking  chan struct{} // closed when the answer is in; nil: none on its way
	askedAt time.Duration // of the last first ask
}

func newLimiter(loop snapshots, peers *peer.Pool, c clock.Clock) *limiter {
	return &limiter{loop: loop, peers: peers, clock: c, shares: map[string]*share{}, books: map[string]*limit.Book{}, since: c.Now()}
}

func limitsOf(a *config.Account) limit.Limits {
	return limit.Limits{Rate: a.RequestsPerSecond, Concurrency: a.Concurrency}
}

// enter counts a request against the account's limits. An admitted request must
// leave. Before it refuses, it asks for a larger part if there may be one.
func (l *limiter) enter(ctx context.Context, a *config.Account) *failure {
	verdict, retryAfter := l.tryEnter(ctx, a)
	for range maxMoreAsks {
		if verdict == limit.Admitted || !l.askMore(ctx, a, verdict) {
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

func (l *limiter) tryEnter(ctx context.Context, a *config.Account) (limit.Verdict, time.Duration) {
	l.first(ctx, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(a).Enter(l.clock.Now())
}

func (l *limiter) leave(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares[account].Leave()
}

// first waits for the owner's answer if the account has no allotment here.
func (l *limiter) first(ctx context.Context, a *config.Account) {
	l.mu.Lock()
	s := l.share(a)
	now := l.clock.Now()
	silent := s.asking == nil && s.askedAt != 0 && now-s.askedAt < limit.Term // the owner has not answered lately
	if !s.Limited() || s.Allotted(now) || silent {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.askNow(ctx, a, 0)
}

// askMore asks for a larger part and reports whether it was worth it.
func (l *limiter) askMore(ctx context.Context, a *config.Account, refusal limit.Verdict) bool {
	l.mu.Lock()
	more := l.share(a).More(l.clock.Now(), refusal)
	l.mu.Unlock()
	if more {
		l.askNow(ctx, a, moreAskPause)
	}
	return more
}

// askNow waits until the owner has answered, after a pause that lets other
// requests join. All who wait for one account share one ask.
func (l *limiter) askNow(ctx context.Context, a *config.Account, pause time.Duration) {
	l.mu.Lock()
	s := l.share(a)
	if s.asking == nil {
		s.asking, s.askedAt = make(chan struct{}), l.clock.Now()
		go l.askOne(context.WithoutCancel(ctx), a.Name, pause)
	}
	asking := s.asking
	l.mu.Unlock()
	select {
	case <-asking:
	case <-ctx.Done():
	}
}

func (l *limiter) askOne(ctx context.Context, account string, pause time.Duration) {
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(ctx, firstAskTimeout)
	defer cancel()
	snapshot := l.loop.Snapshot()
	l.ask(ctx, snapshot, owner(snapshot, account), []string{account})
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shares[account]; s != nil && s.asking != nil {
		close(s.asking)
		s.asking = nil
	}
}

// share returns the account's share with its limits as configured now.
func (l *limiter) share(a *config.Account) *share {
	instances := len(l.loop.Snapshot().Owners)
	s := l.shares[a.Name]
	if s == nil {
		s = &share{Share: limit.NewShare(l.clock.Now(), limitsOf(a), instances)}
		l.shares[a.Name] = s
	}
	s.SetLimits(limitsOf(a), instances)
	return s
}

// owner returns the instance that allots the account's limits.
func owner(s *control.Snapshot, account string) string {
	return member.Owner("account/"+account, s.Owners)
}

// run asks for allotments until ctx ends.
func (l *limiter) run(ctx context.Context) error {
	return clock.Every(ctx, limit.AskInterval, func() { l.askAll(ctx) })
}

// askAll asks every owner, once, for the accounts that are in use here.
func (l *limiter) askAll(ctx context.Context) {
	snapshot := l.loop.Snapshot()
	byOwner := map[string][]string{}
	l.mu.Lock()
	now := l.clock.Now()
	for account, s := range l.shares {
		switch {
		case s.Idle(now) && s.asking == nil:
			delete(l.shares, account)
		case s.Limited():
			at := owner(snapshot, account)
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
			l.ask(ctx, snapshot, at, accounts)
			return nil
		})
	}
	_ = g.Wait() // asks return no error: the old allotment ends by itself
}

// allotCall asks an owner for allotments.
type allotCall struct {
	Accounts []string    `cbor:"1,keyasint"`
	Asks     []limit.Ask `cbor:"2,keyasint"`
}

// allotReply holds the allotments in the order of the call's accounts.
type allotReply struct {
	Parts []limit.Part `cbor:"1,keyasint"`
}

// ask asks one owner for the accounts and puts its answer into force. Without an
// answer the old allotments end by themselves.
func (l *limiter) ask(ctx context.Context, snapshot *control.Snapshot, at string, accounts []string) {
	call := allotCall{}
	l.mu.Lock()
	sentAt := l.clock.Now()
	for _, account := range accounts {
		if s := l.shares[account]; s != nil {
			call.Accounts = append(call.Accounts, account)
			call.Asks = append(call.Asks, s.Ask(sentAt))
		}
	}
	l.mu.Unlock()
	var reply allotReply
	if at == snapshot.Self.ID {
		reply = l.allot(snapshot.Self.ID, call)
	} else if err := l.peers.Call(ctx, snapshot.PeerByID[at].Address, peer.KindAllot, call, &reply); err != nil {
		return
	}
	if len(reply.Parts) != len(call.Accounts) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, account := range call.Accounts {
		if s := l.shares[account]; s != nil {
			s.Take(sentAt, l.clock.Now(), reply.Parts[i])
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
		var part limit.Part
		if i >= len(call.Asks) || snapshot.Config == nil {
			break
		}
		if a := snapshot.Config.Account(account); a != nil {
			part = l.book(a).Ask(now, from, len(snapshot.Owners), call.Asks[i])
		}
		reply.Parts = append(reply.Parts, part)
	}
	return reply
}

func (l *limiter) book(a *config.Account) *limit.Book {
	b := l.books[a.Name]
	if b == nil {
		b = limit.NewBook(l.since, limitsOf(a))
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
