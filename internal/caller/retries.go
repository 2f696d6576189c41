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

// retryState holds the retry budget and the outlier detection of targets, which all
// requests of the instance share. It is safe for concurrent use.
type retryState struct {
	loop  *control.Loop
	clock clock.Clock

	mu           sync.Mutex
	budget       *retry.Budget
	health       *retry.OutlierDetector
	hasUnhealthy atomic.Bool // false: health tracks no failed target
}

func newRetryState(loop *control.Loop, c clock.Clock) *retryState {
	d := config.DefaultRetries()
	return &retryState{
		loop: loop, clock: c,
		budget: retry.NewBudget(d.Share, float64(d.Burst)),
		health: retry.NewOutlierDetector(ejectionLimits(d)),
	}
}

// ejectionLimits returns the limits of the outlier detection from the configuration.
func ejectionLimits(c config.Retries) retry.EjectionLimits {
	return retry.EjectionLimits{Failures: c.EjectAfter, BaseDuration: c.EjectFor, MaxDuration: maxEjectionFactor * c.EjectFor, Share: c.EjectShare}
}

// maxEjectionFactor is the ratio of the longest ejection to the first.
const maxEjectionFactor = 16

// recordRequest adds a request to the retry budget and applies the configured limits.
func (r *retryState) recordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg := r.loop.Snapshot().Config; cfg != nil {
		r.budget.SetLimits(cfg.Retries.Share, float64(cfg.Retries.Burst))
		r.health.SetLimits(ejectionLimits(cfg.Retries))
	}
	r.budget.Deposit()
}

// spend withdraws one retry from the budget and reports whether there was one.
func (r *retryState) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TryWithdraw()
}

// allow reports whether a request may be sent to the target: it is not ejected, or the
// request is the probe after an ejection. succeeded, failed or cancelProbe must follow.
func (r *retryState) allow(target string) bool {
	if !r.hasUnhealthy.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.Prune(r.clock.Now())
	return r.health.Allow(r.clock.Now(), target)
}

// cancelProbe records that an allowed request gave no result, so that another one may be
// the probe of the target.
func (r *retryState) cancelProbe(target string) {
	if !r.hasUnhealthy.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.CancelProbe(target)
}

// succeeded records a response of the target and reports whether it ends an ejection.
func (r *retryState) succeeded(target string) bool {
	if !r.hasUnhealthy.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasEjected := r.health.RecordSuccess(target)
	r.hasUnhealthy.Store(!r.health.AllHealthy())
	return wasEjected
}

// failed records a failure and reports whether it ejects the target. targetCount is the
// number of the service's targets.
func (r *retryState) failed(service, target string, targetCount int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasUnhealthy.Store(true)
	return r.health.RecordFailure(r.clock.Now(), service, target, targetCount, rand.Float64())
}

// initialBackoff and maxBackoff limit the backoff before a retry.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)
