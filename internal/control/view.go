package control

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// maxPeerOffsetAge is how old the offsets of peers in a snapshot may be. Everything else
// that is said of peers is renewed when it changes.
const maxPeerOffsetAge = 250 * time.Millisecond

// membershipView is the membership as snapshots show it. It is never changed after it has
// been published.
type membershipView struct {
	version         uint64
	at              time.Duration
	cfg             *config.Config
	readers         map[string]bool
	peers           []member.Status
	byID            map[string]member.Status
	owners          []string
	routes          member.Recipients
	summary         member.Summary   // of this data centre, where this instance is a relay
	remoteSummaries []member.Summary // of the others, the same
}

// refreshView returns the membership view, renewed if it has changed or is old.
func (l *Loop) refreshView(now time.Duration) *membershipView {
	version := l.members.Version(now)
	if l.view != nil && l.view.version == version && now-l.view.at < maxPeerOffsetAge && l.view.cfg == l.state.Config() {
		return l.view
	}
	peers := l.members.Peers(now)
	v := &membershipView{version: version, at: now, cfg: l.state.Config(), peers: peers, byID: make(map[string]member.Status, len(peers))}
	for _, p := range peers {
		v.byID[p.ID] = p
	}
	v.owners = member.OwnersOf(l.members.Self(), peers)
	v.readers = l.readers(peers, v.owners)
	if l.view != nil && l.view.version == version {
		v.routes = l.view.routes
	} else {
		v.routes = member.HeartbeatRecipients(l.members.Self(), peers)
	}
	if len(v.routes.Remote) > 0 {
		v.summary = l.members.Summary(now, int64(l.state.Applied))
		v.remoteSummaries = l.recentSummaries(now)
	}
	l.view = v
	return v
}

// recentSummaries returns the summaries that are new enough to be passed on.
func (l *Loop) recentSummaries(now time.Duration) []member.Summary {
	cfg := l.state.Config()
	if cfg == nil {
		return nil
	}
	var out []member.Summary
	for _, dc := range slices.Sorted(maps.Keys(l.remoteSummaries)) {
		if b := l.remoteSummaries[dc]; now-b.at <= cfg.Control.Heartbeat {
			out = append(out, b.summary)
		}
	}
	return out
}

// logView is the part of the control state that snapshots copy. It is renewed
// when a record has been folded.
type logView struct {
	applied record.Offset
	leases  map[string]fold.Lease
	ledgers map[string]fold.DeliveryState
	windows map[int64]fold.Window
	orders  map[string]fold.Order
	billing fold.Billing
}

func (l *Loop) refreshLogView() *logView {
	if l.logView != nil && l.logView.applied == l.state.Applied {
		return l.logView
	}
	l.logView = &logView{
		applied: l.state.Applied,
		leases:  maps.Clone(l.state.Leases),
		ledgers: maps.Clone(l.state.Deliveries),
		windows: maps.Clone(l.state.Windows),
		orders:  maps.Clone(l.state.Orders),
		billing: l.state.Billing.Clone(),
	}
	return l.logView
}
