package soak

import "time"

const (
	// coldSeeds: in one of coldSeeds seeds, the targets of the plain service are cold after a start.
	coldSeeds = 3
	coldPerS  = 4 // the plain load alone is about twice that for each target
	coldTime  = 3 * time.Second
	// A cold target may get coldOvershoot times the rate of the service, and coldSlack requests, in
	// any coldWindow.
	coldOvershoot = 1.5
	coldSlack     = 5
	coldWindow    = time.Second
)

// coldPeriod is a time in which a target was cold.
type coldPeriod struct {
	target *target
	period
}

// hasCold reports whether the targets of the plain service are cold after a start.
func (e *environment) hasCold() bool { return e.cfg.Seed%coldSeeds == 0 && !e.upgrades() }

// stateColdRate adds the rate for cold targets to the plain service of the configuration.
func (e *environment) stateColdRate(config map[string]any) {
	services, ok := config["services"].([]map[string]any)
	if !ok || !e.hasCold() {
		return
	}
	for _, service := range services {
		if service["name"] == "desk" {
			service["cold-per-s"], service["cold-start-s"] = coldPerS, coldTime.Seconds()
		}
	}
}

// noteCold makes a target that starts again cold.
func (e *environment) noteCold(t *target) {
	if !e.hasCold() {
		return
	}
	now := time.Now()
	t.entryMu.Lock()
	t.coldUntil = now.Add(coldTime)
	t.entryMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldPeriods = append(e.coldPeriods, coldPeriod{t, period{now, now.Add(coldTime)}})
}

// checkCold records a violation for each target that got more requests than it may while it was
// cold.
func (e *environment) checkCold() {
	const allowed = int(coldOvershoot*coldPerS + coldSlack)
	for _, p := range e.coldPeriods {
		if most := p.target.engine.MostArrivals(coldWindow, p.from, p.to); most > allowed {
			e.recordViolation("target %s got %d requests within %s while it was cold from %s, allowed %d", p.target.engine.ID, most, coldWindow, p.from.Sub(e.started).Round(time.Millisecond), allowed)
		}
	}
}
