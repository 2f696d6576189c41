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

// retries holds what all requests of the instance share: the retry budget and
// the health of targets. It is safe for concurrent use.
type retries struct {
	loop  *control.Loop
	clock clock.Clock

	mu     sync.Mutex
	budget *retry.Budget
	health *retry.Health
	ailing atomic.Bool // some target has failed lately
}

func newRetries(loop *control.Loop, c clock.Clock) *retries {
	d := config.DefaultRetries()
	return &retries{
		loop: loop, clock: c,
		budget: retry.NewBudget(d.Share, float64(d.Burst)),
		health: retry.NewHealth(ejectionLimits(d)),
	}
}

func ejectionLimits(c config.Retries) retry.EjectionLimits {
	return retry.EjectionLimits{Failures: c.EjectAfter, Base: c.EjectFor, Max: maxEjections * c.EjectFor, Share: c.EjectShare}
}

// maxEjections is the longest ejection in units of the first.
const maxEjections = 16

// request notes a request's first attempt.
func (r *retries) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg := r.loop.Snapshot().Config; cfg != nil {
		r.budget.SetLimits(cfg.Retries.Share, float64(cfg.Retries.Burst))
		r.health.SetLimits(ejectionLimits(cfg.Retries))
	}
	r.budget.Request()
}

// take spends one retry of the budget, if it has one.
func (r *retries) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

// allow reports whether a request may go to the target.
func (r *retries) allow(target string) bool {
	if !r.ailing.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.Forget(r.clock.Now())
	return r.health.Allow(r.clock.Now(), target)
}

// unsent takes back an allowed request that did not go to the target.
func (r *retries) unsent(target string) {
	if !r.ailing.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.Unsent(target)
}

// succeeded notes an answer and reports whether it ends an ejection.
func (r *retries) succeeded(target string) bool {
	if !r.ailing.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	back := r.health.Succeeded(target)
	r.ailing.Store(!r.health.Empty())
	return back
}

// failed notes a failure and reports whether it ejects the target.
func (r *retries) failed(service, target string, size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ailing.Store(true)
	return r.health.Failed(r.clock.Now(), service, target, size, rand.Float64())
}

// backOffBase and backOffLimit bound the pause before a retry.
const (
	backOffBase  = 20 * time.Millisecond
	backOffLimit = time.Second
)
