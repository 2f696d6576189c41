package node

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/peering"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peerlink"
	"github.com/amaranthfold/amaranthfold/platform"
)

// PeerLinks are the connections between this instance and the others. The fields from
// renewals to answeredAt belong to the state goroutine.
type PeerLinks struct {
	node     *Node
	identity *peerlink.Identity
	*peerlink.Peers

	renewals peering.Renewals
	changed  bool // an announcement was read that may change who is accepted

	unanswered bool          // an instance has asked for announcements, and no answer was read since
	answered   bool          // an answer was read
	answeredAt time.Duration // when it was last

	asked   chan struct{} // another instance has asked
	skipped chan struct{} // this instance has skipped records and asks

	refusedCallAt atomic.Int64 // reading of clock.Now when a refused call was logged; zero: never
}

func newPeerLinks(n *Node) *PeerLinks {
	identity, err := peerlink.NewIdentity(rand.Reader)
	if err != nil {
		panic(err.Error()) // crypto/rand does not fail
	}
	return &PeerLinks{node: n, identity: identity, asked: make(chan struct{}, 1), skipped: make(chan struct{}, 1), Peers: peerlink.NewPeers(identity, peerlink.Options{
		Clock:   n.Clock,
		Counted: n.Metrics.peersRefused.Inc,
		Refused: func(r peerlink.Refusal) {
			n.Log("connection refused", events.F("remote", r.Remote), events.F("reason", r.Reason), events.F("others", fmt.Sprint(r.Others)))
		},
	})}
}

// noteAnnouncement notes that an announcement was read. It runs on the state goroutine.
func (l *PeerLinks) noteAnnouncement(now time.Duration, r job.Record, accepted bool) {
	own := r.Writer == l.node.Self
	if own {
		l.renewals.OwnRead(now)
	} else if r.InstanceStarted.Asks {
		l.noteAsk(now)
	}
	l.changed = l.changed || own || accepted
}

// noteKnown notes that an answer to an instance that asked was read, and whether it told of
// instances that were not known. It runs on the state goroutine.
func (l *PeerLinks) noteKnown(now time.Duration, changed bool) {
	l.unanswered, l.answered, l.answeredAt = false, true, now
	l.changed = l.changed || changed
}

// update replaces the instances that are accepted, if a batch of the log has changed them, and
// returns the others. It runs on the state goroutine.
func (l *PeerLinks) update(now time.Duration, instances map[string]job.Instance) (others []peering.Peer, changed bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	others = l.renewals.Current(now, l.peersOf(instances))
	l.Update(others)
	return others, true
}

// peersOf returns the other instances.
func (l *PeerLinks) peersOf(instances map[string]job.Instance) (others []peering.Peer) {
	for name, i := range instances {
		if name != l.node.Settings.Instance {
			others = append(others, peering.Peer{
				Name: name, Address: i.PeerAddress, Fingerprint: i.KeyFingerprint, AnnouncedAt: i.AnnouncedAt, Offset: i.AnnouncedOffset,
			})
		}
	}
	return others
}

// refusedCallInterval is the time between two log lines of refused calls.
const refusedCallInterval = time.Second

// refuseLogCall responds to a call that no instance makes, and reports whether it is one.
func (l *PeerLinks) refuseLogCall(w http.ResponseWriter, r *http.Request) bool {
	n := l.node
	status := platform.CheckLogCall(r, int64(n.Settings.Store.CallBytes))
	if status == http.StatusOK {
		return false
	}
	now, last := n.Clock.Now(), l.refusedCallAt.Load()
	if (last == 0 || now-time.Duration(last) >= refusedCallInterval) && l.refusedCallAt.CompareAndSwap(last, int64(now)) {
		n.Log("log call refused", events.F("remote", r.RemoteAddr), events.F("method", r.Method), events.F("path", r.URL.Path), events.F("status", fmt.Sprint(status)))
	}
	w.WriteHeader(status)
	return true
}
