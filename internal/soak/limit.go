package soak

import (
	"context"
	"time"
)

// limitLearnTime is how long the instances may take to learn a limit.
const limitLearnTime = time.Second

// limitPeriod is a time in which a target named a limit.
type limitPeriod struct {
	target    *target
	perSecond float64
	from, to  time.Time
}

// limitTarget makes a target name a limit for the duration, unless it names one already.
func (e *environment) limitTarget(ctx context.Context, t *target, perSecond float64, duration time.Duration) {
	e.mu.Lock()
	limited := t.limited
	t.limited = true
	e.mu.Unlock()
	if limited {
		return
	}
	period := limitPeriod{target: t, perSecond: perSecond, from: time.Now()}
	t.engine.SetRequestLimit(perSecond)
	sleep(ctx, duration)
	period.to = time.Now()
	t.engine.SetRequestLimit(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	t.limited = false
	e.limitPeriods = append(e.limitPeriods, period)
}

// checkLimits records a violation for each target that got more requests than it may while
// it named a limit. An instance that learns the limit late or starts again sends one request
// without an allowance.
func (e *environment) checkLimits() {
	for _, p := range e.limitPeriods {
		engine := p.target.engine
		if most, allowed := engine.CheckLimit(p.perSecond, len(e.instances), p.from.Add(limitLearnTime), p.to); most > allowed {
			e.recordViolation("target %s named a limit of %g requests a second and got %d in a window, allowed %d", engine.ID, p.perSecond, most, allowed)
		}
	}
}
