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
	// fullEvery heartbeats, all that they can say is said again, for peers that
	// missed it. Between, only what has changed is sent.
	fullEvery = 16
	// membersEvery summaries of a data centre to the same receiver carry its
	// members though they have not changed.
	membersEvery = 256
	digestBytes  = 8
)

// Heartbeat is what an instance tells its peers of itself.
type Heartbeat struct {
	// Peer is empty where it says what an earlier heartbeat of the session said.
	Peer   member.Peer       `cbor:"1,keyasint,omitzero"`
	Offset record.Offset     `cbor:"2,keyasint"`
	Digest [digestBytes]byte `cbor:"3,keyasint"` // start of the chain digest at Offset
	// Loads are those that have changed, or all of them.
	Loads  []TargetLoad `cbor:"4,keyasint,omitempty"`
	Uses   []drain.Use  `cbor:"30,keyasint,omitempty"` // requests at drained targets
	Halted string       `cbor:"51,keyasint,omitempty"` // why the sender's control roles have stopped
	Stale  bool         `cbor:"52,keyasint,omitempty"` // the sender cannot prove that it has read the log's end
	// Abroad are the summaries that the sender has got from other data centres.
	Abroad []member.Summary `cbor:"50,keyasint,omitempty"`
}

// beater composes an instance's heartbeats and summaries.
type beater struct {
	*Loop
	count   int
	version uint64 // of the membership that the last full heartbeat went to
	full    int    // heartbeats that are still to be full
	loads   map[string]TargetLoad
	told    map[receiver]map[string]toldMembers // by data centre
}

// toldMembers is when which version of a data centre's members was sent.
type toldMembers struct {
	version uint64
	at      int // heartbeat
}

// receiver is one incarnation of a peer.
type receiver struct {
	id          string
	incarnation int64
}

func newBeater(l *Loop) *beater {
	return &beater{Loop: l, loads: map[string]TargetLoad{}, told: map[receiver]map[string]toldMembers{}}
}

// beat sends heartbeats, and summaries where this instance is a relay.
func (l *Loop) beat(ctx context.Context) error {
	b := newBeater(l)
	for ctx.Err() == nil {
		s := l.Snapshot()
		interval := pollInterval
		if s.Config != nil {
			interval = s.Config.Control.Heartbeat
		}
		beat := b.heartbeat(s)
		for _, p := range append(inCharge(s), s.view.routes.Direct...) {
			go l.sendBeat(ctx, p.Address, peer.KindHeartbeat, beat)
		}
		for _, p := range s.view.routes.Abroad {
			go l.sendBeat(ctx, p.Address, peer.KindSummary, b.summary(receiver{p.ID, p.Incarnation}, s.view.summary))
		}
		clock.Pause(ctx, interval)
	}
	return nil
}

// heartbeat returns the next heartbeat. Several in a row are full after the
// membership has changed: one of them reaches each newcomer.
func (b *beater) heartbeat(s *Snapshot) Heartbeat {
	if s.view.version != b.version {
		b.version, b.full = s.view.version, 2
	}
	out := Heartbeat{Offset: s.Offset, Digest: digestOf(s.Digest), Uses: b.uses(s), Halted: s.Halted}
	out.Stale = s.Config != nil && !s.Fresh(b.Clock.Now(), s.Config.Control.FreshFor)
	full := b.full > 0 || b.count%fullEvery == 0
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
	for _, item := range s.view.abroad {
		out.Abroad = append(out.Abroad, b.summary(receiver{}, item))
	}
	b.full = max(0, b.full-1)
	b.count++
	if extra := b.beatExtra.Load(); extra != nil {
		(*extra)(&out)
	}
	return out
}

// summary returns the summary for a receiver, without members that it knows.
// The zero receiver stands for all that get this instance's heartbeat.
func (b *beater) summary(to receiver, item member.Summary) member.Summary {
	told := b.told[to]
	if told == nil {
		told = map[string]toldMembers{}
		b.told[to] = told
	}
	last := told[item.DataCentre]
	if last.version == item.Version && b.count-last.at < membersEvery {
		item.Members = nil
		return item
	}
	told[item.DataCentre] = toldMembers{item.Version, b.count}
	return item
}

// inCharge returns the instances abroad that decide on drained targets, while
// there are any: they have to hear of every instance.
func inCharge(s *Snapshot) []member.Status {
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

func (l *Loop) sendBeat(ctx context.Context, address string, kind peer.Kind, message any) {
	callCtx, cancel := context.WithTimeout(ctx, beatSendLimit)
	defer cancel()
	_ = l.Peers.Send(callCtx, address, kind, message) // the next one follows soon
}

// heard is a heartbeat from a peer.
type heard struct {
	from peer.Session
	beat Heartbeat
}

// Heard takes a heartbeat of the session's sender.
func (l *Loop) Heard(_ context.Context, from peer.Session, b Heartbeat) {
	l.offer(heard{from, b})
}

func (m heard) handle(l *Loop) {
	now := l.Clock.Now()
	if m.beat.Peer.ID == m.from.ID {
		l.members.Heard(now, m.beat.Peer, int64(m.beat.Offset))
	} else if !l.members.Alive(now, m.from.ID, m.from.Incarnation, int64(m.beat.Offset)) {
		return
	}
	l.compare(m.from.ID, claim{m.beat.Offset, m.beat.Digest})
	l.drainWatch.Heard(m.from.ID, drain.Report{Offset: m.beat.Offset, Uses: m.beat.Uses, At: now})
	l.takeLoads(now, m)
	l.note(m.from.ID, PeerNote{m.beat.Halted, m.beat.Stale})
	for _, b := range m.beat.Abroad {
		l.members.Read(now, b)
	}
}

// PeerNote is what a peer says of its own trouble.
type PeerNote struct {
	Halted string // why its control roles have stopped
	Stale  bool   // it cannot prove that it has read the log's end
}

// note keeps a peer's trouble for snapshots, which share the map.
func (l *Loop) note(id string, n PeerNote) {
	if l.notes[id] == n {
		return
	}
	l.notes = maps.Clone(l.notes)
	if l.notes == nil {
		l.notes = map[string]PeerNote{}
	}
	l.notes[id] = n
	if n == (PeerNote{}) {
		delete(l.notes, id)
	}
}

// takeLoads takes the loads of a heartbeat. What it leaves out has not changed.
func (l *Loop) takeLoads(now time.Duration, m heard) {
	id := m.from.ID
	if m.beat.Peer.ID != "" {
		l.loadsOf[id] = nil
	}
	for _, load := range m.beat.Loads {
		l.setLoad(load)
		l.loadFrom[load.Target] = id
		if !slices.Contains(l.loadsOf[id], load.Target) {
			l.loadsOf[id] = append(l.loadsOf[id], load.Target)
		}
	}
	heardOf := now - l.beatAge()
	for _, target := range l.loadsOf[id] {
		if l.loadFrom[target] == id {
			l.loadsAt[target] = heardOf
		}
	}
}

// summaryRead is another data centre's summary from one of its relays.
type summaryRead struct{ summary member.Summary }

// HandleSummary takes a summary from abroad.
func (l *Loop) HandleSummary(_ context.Context, body []byte) error {
	b, err := peer.Decode[member.Summary](body)
	if err != nil {
		return err
	}
	l.offer(summaryRead{b})
	return nil
}

func (m summaryRead) handle(l *Loop) {
	now, b := l.Clock.Now(), m.summary
	l.members.Read(now, b)
	if len(b.Members) == 0 {
		b.Members = l.abroad[b.DataCentre].summary.Members
	}
	l.abroad[b.DataCentre] = received{b, now}
}

// received is the last summary of another data centre.
type received struct {
	summary member.Summary
	at      time.Duration
}
