package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	relayBytes     = 1 << 20 // of records in one answer
	relayWait      = 500 * time.Millisecond
	relayTimeout   = 2 * time.Second
	relayTries     = 3         // peers asked in one attempt
	statePartBytes = 512 << 10 // of an encoded state in one answer
	stateKept      = 10 * time.Second
)

// RecordsRequest asks a peer for the log from an offset on.
type RecordsRequest struct {
	From int64         `cbor:"1,keyasint"`
	Max  int           `cbor:"2,keyasint"`
	Wait time.Duration `cbor:"3,keyasint"`
}

// RecordsReply is a run of records as the peer has folded them.
type RecordsReply struct {
	Next    int64         `cbor:"1,keyasint"` // offset after the last that the peer has folded
	Records [][]byte      `cbor:"2,keyasint"` // from RecordsRequest.From on
	Proved  bool          `cbor:"3,keyasint"` // the log has once shown the peer its end
	Age     time.Duration `cbor:"4,keyasint"` // since the log last did so
	Waited  time.Duration `cbor:"5,keyasint"` // the peer held the request for this long
	Trimmed bool          `cbor:"6,keyasint"` // the peer no longer keeps From
}

// StateRequest asks a peer for one part of its encoded state.
type StateRequest struct {
	Offset record.Offset `cbor:"1,keyasint"` // zero: the peer's current state
	Part   int           `cbor:"2,keyasint"`
}

// errRelay tells that no peer could answer.
var errRelay = errors.New("no peer could answer")

// HandleRecords answers a peer that follows the log through this instance.
func (l *Loop) HandleRecords(ctx context.Context, body []byte) (any, error) {
	req, err := peer.Decode[RecordsRequest](body)
	if err != nil {
		return nil, err
	}
	began := l.Clock.Now()
	l.recent.await(ctx, req.From, min(req.Wait, relayWait))
	// The proof is taken before the records: it covers no more than they do.
	s := l.Snapshot()
	reply, err := l.recent.read(req.From, min(req.Max, readLimit), relayBytes)
	if errors.Is(err, platform.ErrTrimmed) {
		return RecordsReply{Next: reply.Next, Trimmed: true}, nil
	}
	now := l.Clock.Now()
	out := RecordsReply{Next: reply.Next, Proved: s.Proved, Age: now - s.FreshAt, Waited: now - began}
	for _, r := range reply.Records {
		out.Records = append(out.Records, r.Data)
	}
	return out, nil
}

// readRelayed reads records from the peer at address.
func (l *Loop) readRelayed(ctx context.Context, address string, from int64) (logRead, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sentAt := l.Clock.Now()
	var reply RecordsReply
	req := RecordsRequest{From: from, Max: readLimit, Wait: relayWait}
	if err := l.Peers.Call(ctx, address, peer.KindRecords, req, &reply); err != nil {
		return logRead{}, err
	}
	if reply.Trimmed {
		return logRead{}, fmt.Errorf("peer %s, offset %d: %w", address, from, platform.ErrTrimmed)
	}
	out := logRead{relayed: true, proved: reply.Proved, sentAt: sentAt + reply.Waited - reply.Age}
	out.reply.Next = reply.Next
	for i, data := range reply.Records {
		out.reply.Records = append(out.reply.Records, platform.LogRecord{Offset: from + int64(i), Data: data})
	}
	return out, nil
}

// relays returns the addresses to ask for the log, best first: the readers of
// this data centre, then other peers, the start spread over the instances.
func relays(s *Snapshot, attempt int) []string {
	var near, far []string
	for _, p := range s.Peers {
		switch {
		case p.Suspect:
		case p.DataCentre == s.Self.DataCentre && s.isReader(p.ID):
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	out := append(rotate(near, s.Self.ID, attempt), rotate(far, s.Self.ID, attempt)...)
	return out[:min(len(out), relayTries)]
}

func rotate(list []string, id string, attempt int) []string {
	if len(list) == 0 {
		return nil
	}
	start := (int(member.Hash(id)%uint64(len(list))) + attempt) % len(list)
	return append(append([]string{}, list[start:]...), list[:start]...)
}

// isReader reports whether the instance reads the log itself.
func (s *Snapshot) isReader(id string) bool { return s.view.readers[id] }

// readersOf returns the instances of the data centre that read the log.
func readersOf(peers []member.Status, self member.Peer, owners []string, n int) map[string]bool {
	local := map[string]bool{self.ID: true}
	for _, p := range peers {
		if p.DataCentre == self.DataCentre {
			local[p.ID] = true
		}
	}
	var candidates []string
	for _, id := range owners {
		if local[id] {
			candidates = append(candidates, id)
		}
	}
	out := map[string]bool{}
	for _, id := range member.Rank("log-reader/"+self.DataCentre, candidates, n) {
		out[id] = true
	}
	return out
}

// HandleState answers a peer that joins from this instance's state.
func (l *Loop) HandleState(ctx context.Context, body []byte) (any, error) {
	req, err := peer.Decode[StateRequest](body)
	if err != nil {
		return nil, err
	}
	parts := make(chan []record.Checkpoint, 1)
	l.post(ctx, stateWanted{req.Offset, parts})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ended:
		return nil, errRelay
	case p := <-parts:
		if req.Part < 0 || req.Part >= len(p) {
			return nil, fmt.Errorf("state at offset %d has no part %d: %w", req.Offset, req.Part, errRelay)
		}
		return p[req.Part], nil
	}
}

// stateWanted asks the control goroutine for its encoded state.
type stateWanted struct {
	offset record.Offset
	parts  chan []record.Checkpoint
}

func (m stateWanted) handle(l *Loop) {
	now := l.Clock.Now()
	stale := l.encoded == nil || now-l.encodedAt > stateKept
	if m.offset == 0 && stale && l.halted == "" && l.state.ConfigOffset > 0 {
		parts, err := l.state.CheckpointParts()
		if err == nil {
			l.encoded, l.encodedAt = parts, now
		}
	}
	if l.encoded == nil || m.offset != 0 && l.encoded[0].Offset != m.offset {
		m.parts <- nil
		return
	}
	m.parts <- l.encoded
}

// fetchState fetches the whole state of the peer at address.
func (l *Loop) fetchState(ctx context.Context, address string) (*fold.State, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*relayTimeout)
	defer cancel()
	var parts []record.Checkpoint
	req := StateRequest{}
	for {
		var part record.Checkpoint
		if err := l.Peers.Call(ctx, address, peer.KindState, req, &part); err != nil {
			return nil, err
		}
		parts = append(parts, part)
		if len(parts) >= part.Parts {
			return fold.Restore(parts)
		}
		req = StateRequest{Offset: part.Offset, Part: len(parts)}
	}
}
