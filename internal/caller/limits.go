package caller

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/amaranthfold/amaranthfold/core/config"
)

// limiter holds this instance's share of every account's limits.
type limiter struct {
	mu       sync.Mutex
	accounts map[string]*accountLimit
}

type accountLimit struct {
	rate     *rate.Limiter
	inFlight int
}

func newLimiter() *limiter { return &limiter{accounts: map[string]*accountLimit{}} }

// enter counts a request against the account's limits, of which one in
// instances is this instance's share.
func (l *limiter) enter(a *config.Account, instances int) *failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.accounts[a.Name]
	if state == nil {
		state = &accountLimit{rate: rate.NewLimiter(rate.Inf, 1)}
		l.accounts[a.Name] = state
	}
	share := float64(max(instances, 1))
	if a.RequestsPerSecond > 0 {
		perInstance := a.RequestsPerSecond / share
		state.rate.SetLimit(rate.Limit(perInstance))
		state.rate.SetBurst(int(perInstance) + 1)
		if !state.rate.Allow() {
			return refuse(429, "rate_limited", "client account "+a.Name+" is over its requests per second")
		}
	}
	if a.Concurrency > 0 && float64(state.inFlight) >= max(float64(a.Concurrency)/share, 1) {
		return refuse(429, "too_many_in_flight", "client account "+a.Name+" is over its requests in flight")
	}
	state.inFlight++
	return nil
}

func (l *limiter) leave(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts[account].inFlight--
}
