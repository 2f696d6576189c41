package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
)

// retryState holds what all requests of the instance share: the retry budget and
// the health of targets. It is safe for concurrent use.
type retryState struct {
	loop  *control.Loop
	clock clock.Clock

	mu           sync.Mutex
	budget       *retry.Budget
	health       *retry.OutlierDetector
	hasUnhealthy atomic.Bool // some target has failed lately
}

func newRetryState(loop *control.Loop, c clock.Clock) *retryState {
	d := config.DefaultRetries()
	return &retryState{
		loop: loop, clock: c,
		budget: retry.NewBudget(d.Share, float64(d.Burst)),
		health: retry.NewOutlierDetector(ejectionLimits(d)),
	}
}

func ejectionLimits(c config.Retries) retry.EjectionLimits {
	return retry.EjectionLimits{Failures: c.EjectAfter, Base: c.EjectFor, Max: maxEjectionFactor * c.EjectFor, Share: c.EjectShare}
}

// maxEjectionFactor is the longest ejection in units of the first.
const maxEjectionFactor = 16

// recordRequest notes a request's first attempt.
func (r *retryState) recordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg := r.loop.Snapshot().Config; cfg != nil {
		r.budget.SetLimits(cfg.Retries.Share, float64(cfg.Retries.Burst))
		r.health.SetLimits(ejectionLimits(cfg.Retries))
	}
	r.budget.Deposit()
}

// spend spends one retry of the budget, if it has one.
func (r *retryState) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TryWithdraw()
}

// allow reports whether a request may go to the target.
func (r *retryState) allow(target string) bool {
	if !r.hasUnhealthy.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.Prune(r.clock.Now())
	return r.health.Allow(r.clock.Now(), target)
}

// releaseUnsent takes back an allowed request that did not go to the target.
func (r *retryState) releaseUnsent(target string) {
	if !r.hasUnhealthy.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.CancelProbe(target)
}

// succeeded notes an answer and reports whether it ends an ejection.
func (r *retryState) succeeded(target string) bool {
	if !r.hasUnhealthy.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	back := r.health.RecordSuccess(target)
	r.hasUnhealthy.Store(!r.health.AllHealthy())
	return back
}

// failed notes a failure and reports whether it ejects the target.
func (r *retryState) failed(service, target string, size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasUnhealthy.Store(true)
	return r.health.RecordFailure(r.clock.Now(), service, target, size, rand.Float64())
}

// backOffBase and backOffLimit bound the pause before a retry.
const (
	backOffBase  = 20 * time.Millisecond
	backOffLimit = time.Second
)
