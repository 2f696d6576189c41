package control

import (
	"context"
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/drain"
)

const (
	// idleHeartbeats is the number of heartbeat intervals for which a drained target
	// must have been idle on all instances before it may be stopped.
	idleHeartbeats = 3
	// requestsEndAfter is the time since an instance's last heartbeat after which its
	// requests count as ended: no request lasts longer.
	requestsEndAfter = 6 * time.Minute
)

// RequestCounter returns the number of requests that this instance has in flight at each
// of the targets.
type RequestCounter func(targets []string) []drain.InFlight

// SetRequestCounter sets the function that counts this instance's requests at drained
// targets for heartbeats.
func (l *Loop) SetRequestCounter(f RequestCounter) { l.requestCounter.Store(&f) }

// Leave announces to the peers that this instance is about to stop. From then on it owns
// no queues and claims no leases, but keeps the leases that it holds. The caller must call
// ReleaseLeases afterwards.
func (l *Loop) Leave(ctx context.Context) { l.post(ctx, leave{}) }

// leave ends this instance's ownership of queues and its lease claims.
type leave struct{}

func (leave) handle(l *Loop) {
	l.claimsStopped = true
	l.members.SetLeaving()
	for _, m := range l.leases {
		m.StopClaiming()
	}
}

// drainsChanged copies the drained targets for the next snapshot and marks the routing
// table as outdated.
func (l *Loop) drainsChanged() {
	l.drains = maps.Clone(l.state.Drains)
	l.routing.targetsChanged = true
}

// requestCounts returns this instance's request counts at the drained targets, or nil if
// there are none or no counter is set.
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

// followDrains updates idleSince from this instance's request counts and those in the
// peers' heartbeats.
func (l *Loop) followDrains(now time.Duration) {
	if len(l.drains) == 0 && len(l.idleSince) == 0 {
		return
	}
	s := l.Snapshot()
	l.drainTracker.SetReport(l.Self.ID, drain.Report{RoutingOffset: s.Offset, InFlight: l.requestCounts(s), ReceivedAt: now})
	instances := []string{l.Self.ID}
	for _, p := range l.members.Peers(now) {
		if now-p.LastHeartbeat < requestsEndAfter {
			instances = append(instances, p.ID)
		}
	}
	l.drainTracker.Update(now, l.drains, instances)
	l.idleSince = l.drainTracker.Idle()
}

// Drained reports whether the log contains a drain of the target, by an operator or the
// planner, so that it receives no new work.
func (s *Snapshot) Drained(target string) bool { return s.Drains[target] > 0 }

// MayStop reports whether the drained target may be stopped at now: no instance has had a
// request there for idleHeartbeats heartbeat intervals.
func (s *Snapshot) MayStop(now time.Duration, target string) bool {
	since, idle := s.IdleSince[target]
	return idle && s.Config != nil && drain.MayStop(now, since, idleHeartbeats*s.Config.Control.Heartbeat)
}
