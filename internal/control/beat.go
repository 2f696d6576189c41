package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/core/drain"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	// One in fullHeartbeatEvery heartbeats is full, for peers that missed earlier ones.
	// The others carry only the loads that have changed.
	fullHeartbeatEvery = 16
	// A summary to the same receiver carries the unchanged members of its data centre
	// again after fullSummaryEvery heartbeats.
	fullSummaryEvery = 256
	digestBytes      = 8
)

// Heartbeat is the status that an instance sends to its peers at each heartbeat interval.
type Heartbeat struct {
	// Peer is set in full heartbeats only. Without it, the session identifies the sender.
	Peer   member.Peer       `cbor:"1,keyasint,omitzero"`
	Offset record.Offset     `cbor:"2,keyasint"`
	Digest [digestBytes]byte `cbor:"3,keyasint"` // first bytes of the log's hash chain at Offset
	// Loads are the loads that have changed since the previous heartbeat, or all of them
	// in a full heartbeat.
	Loads         []TargetLoad     `cbor:"4,keyasint,omitempty"`
	RequestCounts []drain.InFlight `cbor:"30,keyasint,omitempty"` // requests at drained targets
	Halted        string           `cbor:"51,keyasint,omitempty"` // why the sender's control roles have stopped
	Stale         bool             `cbor:"52,keyasint,omitempty"` // the sender has not confirmed recently enough that it has read to the log's end
	// RemoteSummaries are recent summaries that the sender received from other data centres.
	RemoteSummaries []member.Summary `cbor:"50,keyasint,omitempty"`
}

// heartbeatSender builds an instance's heartbeats and summaries and tracks what has been
// sent.
type heartbeatSender struct {
	*Loop
	count         int                                 // heartbeats built so far
	version       uint64                              // of the membership when fullRemaining was last set
	fullRemaining int                                 // further heartbeats to send in full after a membership change
	loads         map[string]TargetLoad               // in the previous heartbeat, by target
	sentMembers   map[receiver]map[string]sentVersion // by data centre
}

// sentVersion is the version of a data centre's members that was last sent, and when.
type sentVersion struct {
	version uint64
	at      int // heartbeatSender.count
}

// receiver is one incarnation of a peer.
type receiver struct {
	id          string
	incarnation int64
}

func newHeartbeatSender(l *Loop) *heartbeatSender {
	return &heartbeatSender{Loop: l, loads: map[string]TargetLoad{}, sentMembers: map[receiver]map[string]sentVersion{}}
}

// runHeartbeats sends heartbeats until ctx ends, and this data centre's summaries if the
// instance is a relay.
func (l *Loop) runHeartbeats(ctx context.Context) error {
	b := newHeartbeatSender(l)
	for ctx.Err() == nil {
		s := l.Snapshot()
		interval := pollInterval
		if s.Config != nil {
			interval = s.Config.Control.Heartbeat
		}
		heartbeat := b.nextHeartbeat(s)
		for _, p := range append(remoteLeaseHolders(s), s.view.routes.Direct...) {
			go l.sendHeartbeat(ctx, p.Address, peer.KindHeartbeat, heartbeat)
		}
		for _, p := range s.view.routes.Remote {
			go l.sendHeartbeat(ctx, p.Address, peer.KindSummary, b.summary(receiver{p.ID, p.Incarnation}, s.view.summary))
		}
		clock.Sleep(ctx, interval)
	}
	return nil
}

// nextHeartbeat returns the next heartbeat. After a change of the membership two in a row
// are full, so that one of them reaches a peer that had not listed the sender before.
func (b *heartbeatSender) nextHeartbeat(s *Snapshot) Heartbeat {
	if s.view.version != b.version {
		b.version, b.fullRemaining = s.view.version, 2
	}
	out := Heartbeat{Offset: s.Offset, Digest: digestOf(s.Digest), RequestCounts: b.requestCounts(s), Halted: s.Halted}
	out.Stale = s.Config != nil && !s.Fresh(b.Clock.Now(), s.Config.Control.FreshFor)
	full := b.fullRemaining > 0 || b.count%fullHeartbeatEvery == 0
	if full {
		out.Peer = s.Self
	}
	for _, load := range s.OwnLoads {
		if full || b.loads[load.Target] != load {
			out.Loads = append(out.Loads, load)
		}
	}
	clear(b.loads)
	for _, load := range s.OwnLoads {
		b.loads[load.Target] = load
	}
	for _, item := range s.view.remoteSummaries {
		out.RemoteSummaries = append(out.RemoteSummaries, b.summary(receiver{}, item))
	}
	b.fullRemaining = max(0, b.fullRemaining-1)
	b.count++
	if hook := b.heartbeatHook.Load(); hook != nil {
		(*hook)(&out)
	}
	return out
}

// summary returns the summary for a receiver, without members that were sent to it before.
// The zero receiver stands for all receivers of this instance's heartbeats.
func (b *heartbeatSender) summary(to receiver, item member.Summary) member.Summary {
	sent := b.sentMembers[to]
	if sent == nil {
		sent = map[string]sentVersion{}
		b.sentMembers[to] = sent
	}
	last := sent[item.DataCentre]
	if last.version == item.Version && b.count-last.at < fullSummaryEvery {
		item.Members = nil
		return item
	}
	sent[item.DataCentre] = sentVersion{item.Version, b.count}
	return item
}

// remoteLeaseHolders returns the remote holders of the deployment lease and of its
// per-data-centre leases ("deployment/<data centre>"), while targets are drained: before
// a holder stops a drained target it needs the request counts of every instance.
func remoteLeaseHolders(s *Snapshot) []member.Status {
	if len(s.Drains) == 0 || len(s.view.routes.Direct) == len(s.Peers) {
		return nil
	}
	var out []member.Status
	for name, held := range s.Leases {
		id, _, _ := strings.Cut(held.Holder, "@")
		p, known := s.PeerByID[id]
		if known && strings.HasPrefix(name, DeploymentLease) && p.DataCentre != s.Self.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

// digestOf returns the first bytes of a chain digest.
func digestOf(chain [32]byte) (short [digestBytes]byte) {
	copy(short[:], chain[:])
	return short
}

func (l *Loop) sendHeartbeat(ctx context.Context, address string, kind peer.Kind, message any) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatSendTimeout)
	defer cancel()
	_ = l.Peers.Send(callCtx, address, kind, message) // repeated with the next heartbeat
}

// heartbeatReceived is a heartbeat from a peer.
type heartbeatReceived struct {
	from      peer.Session
	heartbeat Heartbeat
}

// HandleHeartbeat applies a heartbeat of the session's sender. The heartbeat is dropped
// if the control goroutine's inbox is full.
func (l *Loop) HandleHeartbeat(_ context.Context, from peer.Session, b Heartbeat) {
	l.tryPost(heartbeatReceived{from, b})
}

func (m heartbeatReceived) handle(l *Loop) {
	now := l.Clock.Now()
	if m.heartbeat.Peer.ID == m.from.ID {
		l.members.ApplyHeartbeat(now, m.heartbeat.Peer, int64(m.heartbeat.Offset))
	} else if !l.members.RefreshHeartbeat(now, m.from.ID, m.from.Incarnation, int64(m.heartbeat.Offset)) {
		return
	}
	l.compareDigest(m.from.ID, reportedDigest{m.heartbeat.Offset, m.heartbeat.Digest})
	l.drainTracker.SetReport(m.from.ID, drain.Report{RoutingOffset: m.heartbeat.Offset, InFlight: m.heartbeat.RequestCounts, ReceivedAt: now})
	l.applyLoads(now, m)
	l.setPeerHealth(m.from.ID, PeerHealth{m.heartbeat.Halted, m.heartbeat.Stale})
	for _, b := range m.heartbeat.RemoteSummaries {
		l.members.ApplySummary(now, b)
	}
}

// PeerHealth is the health that a peer reports about itself. The zero value is healthy.
type PeerHealth struct {
	Halted string // why its control roles have stopped
	Stale  bool   // it has not confirmed recently that it has read to the log's end
}

// setPeerHealth stores a peer's health. Snapshots share the map, so it is copied first.
func (l *Loop) setPeerHealth(id string, health PeerHealth) {
	if l.peerHealth[id] == health {
		return
	}
	l.peerHealth = maps.Clone(l.peerHealth)
	if l.peerHealth == nil {
		l.peerHealth = map[string]PeerHealth{}
	}
	l.peerHealth[id] = health
	if health == (PeerHealth{}) {
		delete(l.peerHealth, id)
	}
}

// applyLoads applies the loads of a heartbeat. A load that it omits has not changed: its
// measurement time advances too, unless another peer has reported the load since.
func (l *Loop) applyLoads(now time.Duration, m heartbeatReceived) {
	id := m.from.ID
	if m.heartbeat.Peer.ID != "" {
		l.targetsReportedBy[id] = nil
	}
	for _, load := range m.heartbeat.Loads {
		l.setLoad(load)
		l.loadReporter[load.Target] = id
		if !slices.Contains(l.targetsReportedBy[id], load.Target) {
			l.targetsReportedBy[id] = append(l.targetsReportedBy[id], load.Target)
		}
	}
	notBefore := now - l.maxReportedLoadAge()
	for _, target := range l.targetsReportedBy[id] {
		if l.loadReporter[target] == id {
			l.loadsAt[target] = notBefore
		}
	}
}

// summaryReceived is another data centre's summary from one of its relays.
type summaryReceived struct{ summary member.Summary }

// HandleSummary applies a summary from another data centre's relay. It fails if body
// cannot be decoded.
func (l *Loop) HandleSummary(_ context.Context, body []byte) error {
	b, err := peer.Decode[member.Summary](body)
	if err != nil {
		return err
	}
	l.tryPost(summaryReceived{b})
	return nil
}

func (m summaryReceived) handle(l *Loop) {
	now, b := l.Clock.Now(), m.summary
	l.members.ApplySummary(now, b)
	if len(b.Members) == 0 {
		b.Members = l.remoteSummaries[b.DataCentre].summary.Members
	}
	l.remoteSummaries[b.DataCentre] = receivedSummary{b, now}
}

// receivedSummary is the last summary of another data centre, with its members, and when
// it was received.
type receivedSummary struct {
	summary member.Summary
	at      time.Duration
}
