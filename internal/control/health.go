package control

import (
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// recordedHealth is what of peers and leases has last been put on the time line.
type recordedHealth struct {
	suspects map[string]bool // peers
	held     map[string]bool // leases of this instance
}

func newHealth() recordedHealth {
	return recordedHealth{suspects: map[string]bool{}, held: map[string]bool{}}
}

// recordHealthChanges puts on the time line what has changed since the last call.
func (l *Loop) recordHealthChanges() {
	snapshot := l.snapshot.Load()
	for i := range snapshot.Peers {
		l.recordPeerChange(snapshot.Peers[i].ID, snapshot.Peers[i].Suspect)
	}
	guards := *l.heldLeases.Load()
	for name := range l.leases {
		_, held := guards[name]
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

// recordLeaseChange tells of a term that ended without a release by this instance.
func (l *Loop) recordLeaseChange(name string, held bool) {
	was := l.health.held[name]
	l.health.held[name] = held
	if was && !held && !l.releasing {
		l.Events.Record("lease lapsed", events.F("lease", name))
	}
}
