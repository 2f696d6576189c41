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

// maxPeerOffsetAge is the age at which the peers' offsets in a snapshot are refreshed. All
// other data of peers is refreshed when it changes.
const maxPeerOffsetAge = 250 * time.Millisecond

// membershipView is the membership as snapshots contain it. It is immutable once
// published.
type membershipView struct {
	version         uint64          // of the membership table
	at              time.Duration   // when the view was built
	cfg             *config.Config  // by which the readers were chosen
	readers         map[string]bool // log readers of this data centre
	peers           []member.Status
	byID            map[string]member.Status
	owners          []string
	recipients      member.Recipients
	summary         member.Summary   // of this data centre, if this instance is a relay
	remoteSummaries []member.Summary // of the other data centres, if this instance is a relay
}

// refreshView returns the membership view, rebuilt if the membership or configuration has
// changed or the view is older than maxPeerOffsetAge.
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
	v.readers = l.logReaders(peers, v.owners)
	if l.view != nil && l.view.version == version {
		v.recipients = l.view.recipients
	} else {
		v.recipients = member.HeartbeatRecipients(l.members.Self(), peers)
	}
	if len(v.recipients.Remote) > 0 {
		v.summary = l.members.Summary(now, int64(l.state.Applied))
		v.remoteSummaries = l.recentSummaries(now)
	}
	l.view = v
	return v
}

// recentSummaries returns the summaries of other data centres to send with heartbeats:
// those received within the last heartbeat interval.
func (l *Loop) recentSummaries(now time.Duration) []member.Summary {
	cfg := l.state.Config()
	if cfg == nil {
		return nil
	}
	var out []member.Summary
	for _, dc := range slices.Sorted(maps.Keys(l.remoteSummaries)) {
		if received := l.remoteSummaries[dc]; now-received.at <= cfg.Control.Heartbeat {
			out = append(out, received.summary)
		}
	}
	return out
}

// logView is the part of the control state that is copied for snapshots. It is rebuilt
// after records have been applied.
type logView struct {
	applied    record.Offset
	leases     map[string]fold.Lease
	deliveries map[string]fold.DeliveryState
	windows    map[int64]fold.Window
	orders     map[string]fold.Order
	billing    fold.Billing
}

// refreshLogView returns the log view of the current state.
func (l *Loop) refreshLogView() *logView {
	if l.logView != nil && l.logView.applied == l.state.Applied {
		return l.logView
	}
	l.logView = &logView{
		applied:    l.state.Applied,
		leases:     maps.Clone(l.state.Leases),
		deliveries: maps.Clone(l.state.Deliveries),
		windows:    maps.Clone(l.state.Windows),
		orders:     maps.Clone(l.state.Orders),
		billing:    l.state.Billing.Clone(),
	}
	return l.logView
}
