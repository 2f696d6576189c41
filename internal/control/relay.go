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
	maxFetchBytes   = 1 << 20 // of records in one answer
	fetchWait       = 500 * time.Millisecond
	fetchTimeout    = 2 * time.Second
	maxFetchPeers   = 3         // peers asked in one attempt
	statePartBytes  = 512 << 10 // of an encoded state in one answer
	encodedStateTTL = 10 * time.Second
)

// RecordsRequest asks a peer for the log from an offset on.
type RecordsRequest struct {
	From int64         `cbor:"1,keyasint"`
	Max  int           `cbor:"2,keyasint"`
	Wait time.Duration `cbor:"3,keyasint"`
}

// RecordsReply is a run of records as the peer has folded them.
type RecordsReply struct {
	Next     int64         `cbor:"1,keyasint"` // offset after the last that the peer has folded
	Records  [][]byte      `cbor:"2,keyasint"` // from RecordsRequest.From on
	CaughtUp bool          `cbor:"3,keyasint"` // the log has once shown the peer its end
	Age      time.Duration `cbor:"4,keyasint"` // since the log last did so
	Waited   time.Duration `cbor:"5,keyasint"` // the peer held the request for this long
	Trimmed  bool          `cbor:"6,keyasint"` // the peer no longer keeps From
}

// StateRequest asks a peer for one part of its encoded state.
type StateRequest struct {
	Offset record.Offset `cbor:"1,keyasint"` // zero: the peer's current state
	Part   int           `cbor:"2,keyasint"`
}

// errNoPeerReply tells that no peer could answer.
var errNoPeerReply = errors.New("no peer could answer")

// HandleRecords answers a peer that follows the log through this instance.
func (l *Loop) HandleRecords(ctx context.Context, body []byte) (any, error) {
	req, err := peer.Decode[RecordsRequest](body)
	if err != nil {
		return nil, err
	}
	began := l.Clock.Now()
	l.recent.waitFor(ctx, req.From, min(req.Wait, fetchWait))
	// The proof is taken before the records: it covers no more than they do.
	s := l.Snapshot()
	reply, err := l.recent.read(req.From, min(req.Max, readLimit), maxFetchBytes)
	if errors.Is(err, platform.ErrTrimmed) {
		return RecordsReply{Next: reply.Next, Trimmed: true}, nil
	}
	now := l.Clock.Now()
	out := RecordsReply{Next: reply.Next, CaughtUp: s.CaughtUp, Age: now - s.FreshAt, Waited: now - began}
	for _, r := range reply.Records {
		out.Records = append(out.Records, r.Data)
	}
	return out, nil
}

// fetchRecords reads records from the peer at address.
func (l *Loop) fetchRecords(ctx context.Context, address string, from int64) (logRead, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := l.Clock.Now()
	var reply RecordsReply
	req := RecordsRequest{From: from, Max: readLimit, Wait: fetchWait}
	if err := l.Peers.Call(ctx, address, peer.KindRecords, req, &reply); err != nil {
		return logRead{}, err
	}
	if reply.Trimmed {
		return logRead{}, fmt.Errorf("peer %s, offset %d: %w", address, from, platform.ErrTrimmed)
	}
	out := logRead{relayed: true, caughtUp: reply.CaughtUp, sentAt: sentAt + reply.Waited - reply.Age}
	out.reply.Next = reply.Next
	for i, data := range reply.Records {
		out.reply.Records = append(out.reply.Records, platform.LogRecord{Offset: from + int64(i), Data: data})
	}
	return out, nil
}

// fetchAddresses returns the addresses to ask for the log, best first: the readers of
// this data centre, then other peers, the start spread over the instances.
func fetchAddresses(s *Snapshot, attempt int) []string {
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
	return out[:min(len(out), maxFetchPeers)]
}

func rotate(list []string, id string, attempt int) []string {
	if len(list) == 0 {
		return nil
	}
	start := (int(member.HashID(id)%uint64(len(list))) + attempt) % len(list)
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
	l.post(ctx, stateQuery{req.Offset, parts})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errNoPeerReply
	case p := <-parts:
		if req.Part < 0 || req.Part >= len(p) {
			return nil, fmt.Errorf("state at offset %d has no part %d: %w", req.Offset, req.Part, errNoPeerReply)
		}
		return p[req.Part], nil
	}
}

// stateQuery asks the control goroutine for its encoded state.
type stateQuery struct {
	offset record.Offset
	parts  chan []record.Checkpoint
}

func (m stateQuery) handle(l *Loop) {
	now := l.Clock.Now()
	stale := l.encodedState == nil || now-l.encodedStateAt > encodedStateTTL
	if m.offset == 0 && stale && l.halted == "" && l.state.ConfigOffset > 0 {
		parts, err := l.state.CheckpointParts()
		if err == nil {
			l.encodedState, l.encodedStateAt = parts, now
		}
	}
	if l.encodedState == nil || m.offset != 0 && l.encodedState[0].Offset != m.offset {
		m.parts <- nil
		return
	}
	m.parts <- l.encodedState
}

// fetchState fetches the whole state of the peer at address.
func (l *Loop) fetchState(ctx context.Context, address string) (*fold.State, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*fetchTimeout)
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
