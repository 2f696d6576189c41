package control

import (
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// recordedHealth is the status of peers and leases as of the last call of
// recordHealthChanges.
type recordedHealth struct {
	suspects map[string]bool // by peer
	held     map[string]bool // by lease; held by this instance
}

func newRecordedHealth() recordedHealth {
	return recordedHealth{suspects: map[string]bool{}, held: map[string]bool{}}
}

// recordHealthChanges records events for the peers and leases whose status has changed
// since its last call.
func (l *Loop) recordHealthChanges() {
	snapshot := l.snapshot.Load()
	for i := range snapshot.Peers {
		l.recordPeerChange(snapshot.Peers[i].ID, snapshot.Peers[i].Suspect)
	}
	heldLeases := *l.heldLeases.Load()
	for name := range l.leases {
		_, held := heldLeases[name]
		l.recordLeaseChange(name, held)
	}
}

func (l *Loop) recordPeerChange(id string, suspect bool) {
	if suspect == l.health.suspects[id] {
		return
	}
	if suspect {
		l.health.suspects[id] = true
		l.Events.Record("peer suspected", events.F("peer", id))
		return
	}
	delete(l.health.suspects, id)
	l.Events.Record("peer back", events.F("peer", id))
}

// recordLeaseChange records an event when a lease of this instance expires, that is, ends
// without a release by this instance.
func (l *Loop) recordLeaseChange(name string, held bool) {
	wasHeld := l.health.held[name]
	l.health.held[name] = held
	if wasHeld && !held && !l.releasing {
		l.Events.Record("lease lapsed", events.F("lease", name))
	}
}
