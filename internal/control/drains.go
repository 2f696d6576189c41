package control

import (
	"context"
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/drain"
)

const (
	// settleHeartbeats is how many heartbeats a drained target must have been idle
	// over all instances before it may be stopped.
	settleHeartbeats = 3
	// instanceGoneAfter is how long an instance is silent before its requests count as
	// ended: no request lasts longer.
	instanceGoneAfter = 6 * time.Minute
)

// RequestCounter returns the requests that this instance has at each of the targets.
type RequestCounter func(targets []string) []drain.InFlight

// SetRequestCounter sets how heartbeats count this instance's requests at drained targets.
func (l *Loop) SetRequestCounter(f RequestCounter) { l.requestCounter.Store(&f) }

// Leave tells peers that this instance is about to stop: it owns no queues and
// claims no lease any more, and keeps the leases that it has. Yield must follow.
func (l *Loop) Leave(ctx context.Context) { l.post(ctx, leave{}) }

// leave makes the instance give its queues away.
type leave struct{}

func (leave) handle(l *Loop) {
	l.claimsStopped = true
	l.members.SetLeaving()
	for _, m := range l.leases {
		m.StopClaiming()
	}
}

// drainsChanged publishes the drained targets anew.
func (l *Loop) drainsChanged() {
	l.drains = maps.Clone(l.state.Drains)
	l.routing.targetsChanged = true
}

// requestCounts counts this instance's requests at the drained targets.
func (l *Loop) requestCounts(s *Snapshot) []drain.InFlight {
	f := l.requestCounter.Load()
	if f == nil || len(s.Drains) == 0 {
		return nil
	}
	targets := make([]string, 0, len(s.Drains))
	for id := range s.Drains {
		targets = append(targets, id)
	}
	return (*f)(targets)
}

// followDrains notes which drained targets are idle.
func (l *Loop) followDrains(now time.Duration) {
	if len(l.drains) == 0 && len(l.idleSince) == 0 {
		return
	}
	s := l.Snapshot()
	l.drainWatch.SetReport(l.Self.ID, drain.Report{RoutingOffset: s.Offset, InFlight: l.requestCounts(s), ReceivedAt: now})
	instances := []string{l.Self.ID}
	for _, p := range l.members.Peers(now) {
		if now-p.LastHeartbeat < instanceGoneAfter {
			instances = append(instances, p.ID)
		}
	}
	l.drainWatch.Update(now, l.drains, instances)
	l.idleSince = l.drainWatch.Idle()
}

// Drained reports whether operators have taken new work from the target.
func (s *Snapshot) Drained(target string) bool { return s.Drains[target] > 0 }

// MayStop reports whether the drained target may be stopped at now: no instance
// has had a request there for some heartbeats.
func (s *Snapshot) MayStop(now time.Duration, target string) bool {
	since, idle := s.IdleSince[target]
	return idle && s.Config != nil && drain.MayStop(now, since, settleHeartbeats*s.Config.Control.Heartbeat)
}
