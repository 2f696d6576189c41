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
	// fullHeartbeatEvery heartbeats, all that they can say is said again, for peers that
	// missed it. Between, only what has changed is sent.
	fullHeartbeatEvery = 16
	// fullSummaryEvery summaries of a data centre to the same receiver carry its
	// members though they have not changed.
	fullSummaryEvery = 256
	digestBytes      = 8
)

// Heartbeat is what an instance tells its peers of itself.
type Heartbeat struct {
	// Peer is empty where it says what an earlier heartbeat of the session said.
	Peer   member.Peer       `cbor:"1,keyasint,omitzero"`
	Offset record.Offset     `cbor:"2,keyasint"`
	Digest [digestBytes]byte `cbor:"3,keyasint"` // start of the chain digest at Offset
	// Loads are those that have changed, or all of them.
	Loads         []TargetLoad     `cbor:"4,keyasint,omitempty"`
	RequestCounts []drain.InFlight `cbor:"30,keyasint,omitempty"` // requests at drained targets
	Halted        string           `cbor:"51,keyasint,omitempty"` // why the sender's control roles have stopped
	Stale         bool             `cbor:"52,keyasint,omitempty"` // the sender cannot prove that it has read the log's end
	// RemoteSummaries are the summaries that the sender has got from other data centres.
	RemoteSummaries []member.Summary `cbor:"50,keyasint,omitempty"`
}

// heartbeatSender composes an instance's heartbeats and summaries.
type heartbeatSender struct {
	*Loop
	count         int
	version       uint64 // of the membership that the last full heartbeat went to
	fullRemaining int    // heartbeats that are still to be full
	loads         map[string]TargetLoad
	sentMembers   map[receiver]map[string]sentVersion // by data centre
}

// sentVersion is when which version of a data centre's members was sent.
type sentVersion struct {
	version uint64
	at      int // heartbeat
}

// receiver is one incarnation of a peer.
type receiver struct {
	id          string
	incarnation int64
}

func newHeartbeatSender(l *Loop) *heartbeatSender {
	return &heartbeatSender{Loop: l, loads: map[string]TargetLoad{}, sentMembers: map[receiver]map[string]sentVersion{}}
}

// runHeartbeats sends heartbeats, and summaries where this instance is a relay.
func (l *Loop) runHeartbeats(ctx context.Context) error {
	b := newHeartbeatSender(l)
	for ctx.Err() == nil {
		s := l.Snapshot()
		interval := pollInterval
		if s.Config != nil {
			interval = s.Config.Control.Heartbeat
		}
		beat := b.nextHeartbeat(s)
		for _, p := range append(remoteLeaseHolders(s), s.view.routes.Direct...) {
			go l.sendHeartbeat(ctx, p.Address, peer.KindHeartbeat, beat)
		}
		for _, p := range s.view.routes.Remote {
			go l.sendHeartbeat(ctx, p.Address, peer.KindSummary, b.summary(receiver{p.ID, p.Incarnation}, s.view.summary))
		}
		clock.Sleep(ctx, interval)
	}
	return nil
}

// nextHeartbeat returns the next heartbeat. Several in a row are full after the
// membership has changed: one of them reaches each newcomer.
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
	if extra := b.heartbeatHook.Load(); extra != nil {
		(*extra)(&out)
	}
	return out
}

// summary returns the summary for a receiver, without members that it knows.
// The zero receiver stands for all that get this instance's heartbeat.
func (b *heartbeatSender) summary(to receiver, item member.Summary) member.Summary {
	told := b.sentMembers[to]
	if told == nil {
		told = map[string]sentVersion{}
		b.sentMembers[to] = told
	}
	last := told[item.DataCentre]
	if last.version == item.Version && b.count-last.at < fullSummaryEvery {
		item.Members = nil
		return item
	}
	told[item.DataCentre] = sentVersion{item.Version, b.count}
	return item
}

// remoteLeaseHolders returns the instances abroad that decide on drained targets, while
// there are any: they have to hear of every instance.
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

func digestOf(chain [32]byte) (short [digestBytes]byte) {
	copy(short[:], chain[:])
	return short
}

func (l *Loop) sendHeartbeat(ctx context.Context, address string, kind peer.Kind, message any) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatSendTimeout)
	defer cancel()
	_ = l.Peers.Send(callCtx, address, kind, message) // the next one follows soon
}

// heartbeatReceived is a heartbeat from a peer.
type heartbeatReceived struct {
	from      peer.Session
	heartbeat Heartbeat
}

// HandleHeartbeat takes a heartbeat of the session's sender.
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
	l.drainWatch.SetReport(m.from.ID, drain.Report{RoutingOffset: m.heartbeat.Offset, InFlight: m.heartbeat.RequestCounts, ReceivedAt: now})
	l.applyLoads(now, m)
	l.setPeerHealth(m.from.ID, PeerHealth{m.heartbeat.Halted, m.heartbeat.Stale})
	for _, b := range m.heartbeat.RemoteSummaries {
		l.members.ApplySummary(now, b)
	}
}

// PeerHealth is what a peer says of its own trouble.
type PeerHealth struct {
	Halted string // why its control roles have stopped
	Stale  bool   // it cannot prove that it has read the log's end
}

// setPeerHealth keeps a peer's trouble for snapshots, which share the map.
func (l *Loop) setPeerHealth(id string, n PeerHealth) {
	if l.peerHealth[id] == n {
		return
	}
	l.peerHealth = maps.Clone(l.peerHealth)
	if l.peerHealth == nil {
		l.peerHealth = map[string]PeerHealth{}
	}
	l.peerHealth[id] = n
	if n == (PeerHealth{}) {
		delete(l.peerHealth, id)
	}
}

// applyLoads takes the loads of a heartbeat. What it leaves out has not changed.
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
	heardOf := now - l.maxReportedLoadAge()
	for _, target := range l.targetsReportedBy[id] {
		if l.loadReporter[target] == id {
			l.loadsAt[target] = heardOf
		}
	}
}

// summaryReceived is another data centre's summary from one of its relays.
type summaryReceived struct{ summary member.Summary }

// HandleSummary takes a summary from abroad.
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

// receivedSummary is the last summary of another data centre.
type receivedSummary struct {
	summary member.Summary
	at      time.Duration
}
