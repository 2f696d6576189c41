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
	// One in fullHeartbeatEvery heartbeats is full: it contains the sender's peer data and
	// all its loads, for peers that missed earlier heartbeats. The others contain only the
	// loads that have changed.
	fullHeartbeatEvery = 16
	// A summary omits members that were sent to its receiver before. After
	// fullSummaryEvery heartbeats it contains them again, although unchanged.
	fullSummaryEvery = 256
	digestBytes      = 8 // length of the truncated log digest in a heartbeat
)

// Heartbeat is the status that an instance sends to its peers at each heartbeat interval.
type Heartbeat struct {
	// Peer is set in full heartbeats only. Without it, the session identifies the sender.
	Peer   member.Peer       `cbor:"1,keyasint,omitzero"`
	Offset record.Offset     `cbor:"2,keyasint"` // up to which the sender has applied the log
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

// heartbeatSender builds an instance's heartbeats and summaries. It tracks which loads and
// members have been sent, so that the next message contains only changes.
type heartbeatSender struct {
	*Loop
	count         int                                 // heartbeats built so far
	version       uint64                              // of the membership when fullRemaining was last set
	fullRemaining int                                 // further heartbeats to send in full after a membership change
	loads         map[string]TargetLoad               // in the previous heartbeat, by target
	sentMembers   map[receiver]map[string]sentVersion // by receiver and data centre
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
	sender := newHeartbeatSender(l)
	for ctx.Err() == nil {
		s := l.Snapshot()
		interval := pollInterval
		if s.Config != nil {
			interval = s.Config.Control.Heartbeat
		}
		heartbeat := sender.nextHeartbeat(s)
		for _, p := range append(remoteLeaseHolders(s), s.view.recipients.Direct...) {
			go l.sendHeartbeat(ctx, p.Address, peer.KindHeartbeat, heartbeat)
		}
		for _, p := range s.view.recipients.Remote {
			go l.sendHeartbeat(ctx, p.Address, peer.KindSummary, sender.summary(receiver{p.ID, p.Incarnation}, s.view.summary))
		}
		clock.Sleep(ctx, interval)
	}
	return nil
}

// nextHeartbeat returns the next heartbeat. After a change of the membership, two
// heartbeats in a row are full, so that a new peer receives one even if it did not yet
// have the sender in its list at the first.
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
	for _, summary := range s.view.remoteSummaries {
		out.RemoteSummaries = append(out.RemoteSummaries, b.summary(receiver{}, summary))
	}
	b.fullRemaining = max(0, b.fullRemaining-1)
	b.count++
	if hook := b.heartbeatHook.Load(); hook != nil {
		(*hook)(&out)
	}
	return out
}

// summary returns the summary to send to a receiver, without members that were sent to it
// before. The zero receiver represents all receivers of this instance's heartbeats.
func (b *heartbeatSender) summary(to receiver, summary member.Summary) member.Summary {
	sent := b.sentMembers[to]
	if sent == nil {
		sent = map[string]sentVersion{}
		b.sentMembers[to] = sent
	}
	last := sent[summary.DataCentre]
	if last.version == summary.Version && b.count-last.at < fullSummaryEvery {
		summary.Members = nil
		return summary
	}
	sent[summary.DataCentre] = sentVersion{summary.Version, b.count}
	return summary
}

// remoteLeaseHolders returns the remote holders of the deployment lease and of its
// per-data-centre leases ("deployment/<data centre>"), while targets are drained. Before
// a holder stops a drained target, it needs the request counts of every instance, and in
// large deployments an instance's heartbeats otherwise reach its own data centre only.
func remoteLeaseHolders(s *Snapshot) []member.Status {
	if len(s.Drains) == 0 || len(s.view.recipients.Direct) == len(s.Peers) {
		return nil
	}
	var out []member.Status
	for name, held := range s.Leases {
		id, _, _ := strings.Cut(held.Holder, "@")
		p, found := s.PeerByID[id]
		if found && strings.HasPrefix(name, DeploymentLease) && p.DataCentre != s.Self.DataCentre {
			out = append(out, p)
		}
	}
	return out
}

// digestOf truncates a digest of the log's hash chain to its length in a heartbeat.
func digestOf(chain [32]byte) (short [digestBytes]byte) {
	copy(short[:], chain[:])
	return short
}

func (l *Loop) sendHeartbeat(ctx context.Context, address string, kind peer.Kind, message any) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatSendTimeout)
	defer cancel()
	_ = l.Peers.Send(callCtx, address, kind, message) // not retried: the next heartbeat follows
}

// heartbeatReceived is a heartbeat from a peer.
type heartbeatReceived struct {
	from      peer.Session
	heartbeat Heartbeat
}

// HandleHeartbeat queues a heartbeat of the session's sender for the control goroutine. The
// heartbeat is dropped if the goroutine's inbox is full.
func (l *Loop) HandleHeartbeat(_ context.Context, from peer.Session, heartbeat Heartbeat) {
	l.tryPost(heartbeatReceived{from, heartbeat})
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
	for _, summary := range m.heartbeat.RemoteSummaries {
		l.members.ApplySummary(now, summary)
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

// applyLoads applies the loads of a heartbeat. A heartbeat that is not full omits loads
// that have not changed. They are as recent as the ones that it contains, unless another
// peer has reported the load since.
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
	earliest := now - l.maxReportedLoadAge()
	for _, target := range l.targetsReportedBy[id] {
		if l.loadReporter[target] == id {
			l.loadsAt[target] = earliest
		}
	}
}

// summaryReceived is another data centre's summary from one of its relays.
type summaryReceived struct{ summary member.Summary }

// HandleSummary queues a summary from another data centre's relay for the control
// goroutine. The summary is dropped if the goroutine's inbox is full. It fails if body
// cannot be decoded.
func (l *Loop) HandleSummary(_ context.Context, body []byte) error {
	summary, err := peer.Decode[member.Summary](body)
	if err != nil {
		return err
	}
	l.tryPost(summaryReceived{summary})
	return nil
}

func (m summaryReceived) handle(l *Loop) {
	now, summary := l.Clock.Now(), m.summary
	l.members.ApplySummary(now, summary)
	if len(summary.Members) == 0 {
		summary.Members = l.remoteSummaries[summary.DataCentre].summary.Members
	}
	l.remoteSummaries[summary.DataCentre] = receivedSummary{summary, now}
}

// receivedSummary is the last summary of another data centre and when it was received.
// Its members are those of an earlier summary if the last one omitted them.
type receivedSummary struct {
	summary member.Summary
	at      time.Duration
}
