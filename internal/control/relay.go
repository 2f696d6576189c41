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
	maxFetchBytes   = 1 << 20 // of records in one reply
	fetchWait       = 500 * time.Millisecond
	fetchTimeout    = 2 * time.Second
	maxFetchPeers   = 3                // peers queried in one attempt
	statePartBytes  = 512 << 10        // of an encoded state in one reply
	encodedStateTTL = 10 * time.Second // age at which the state is encoded again for peers
)

// RecordsRequest requests the log's records, starting at an offset, from a peer.
type RecordsRequest struct {
	From int64         `cbor:"1,keyasint"`
	Max  int           `cbor:"2,keyasint"` // records
	Wait time.Duration `cbor:"3,keyasint"` // how long the peer may delay its reply until there is a record
}

// RecordsReply contains consecutive records that the peer has applied.
type RecordsReply struct {
	Next     int64         `cbor:"1,keyasint"` // offset after the last record that the peer has applied
	Records  [][]byte      `cbor:"2,keyasint"` // from RecordsRequest.From on
	CaughtUp bool          `cbor:"3,keyasint"` // the peer has read to the log's end at least once
	Age      time.Duration `cbor:"4,keyasint"` // time since the peer last did so
	Waited   time.Duration `cbor:"5,keyasint"` // how long the peer delayed its reply
	Trimmed  bool          `cbor:"6,keyasint"` // the peer no longer keeps From
}

// StateRequest requests one part of a peer's encoded state.
type StateRequest struct {
	Offset record.Offset `cbor:"1,keyasint"` // zero: the peer's current state
	Part   int           `cbor:"2,keyasint"`
}

// errDataUnavailable is returned if no peer has replied with records, or if this instance
// cannot reply with the requested part of its state.
var errDataUnavailable = errors.New("no peer could answer")

// HandleRecords replies to a peer that reads the log's records from this instance. It fails
// if body cannot be decoded.
func (l *Loop) HandleRecords(ctx context.Context, body []byte) (any, error) {
	req, err := peer.Decode[RecordsRequest](body)
	if err != nil {
		return nil, err
	}
	receivedAt := l.Clock.Now()
	l.recent.waitFor(ctx, req.From, min(req.Wait, fetchWait))
	// The snapshot is loaded before the records are read, so that FreshAt does not
	// confirm records after reply.Next.
	s := l.Snapshot()
	reply, err := l.recent.read(req.From, min(req.Max, readLimit), maxFetchBytes)
	if errors.Is(err, platform.ErrTrimmed) {
		return RecordsReply{Next: reply.Next, Trimmed: true}, nil
	}
	now := l.Clock.Now()
	out := RecordsReply{Next: reply.Next, CaughtUp: s.CaughtUp, Age: now - s.FreshAt, Waited: now - receivedAt}
	for _, r := range reply.Records {
		out.Records = append(out.Records, r.Data)
	}
	return out, nil
}

// fetchRecords reads records from the peer at address. It returns platform.ErrTrimmed if
// the peer no longer keeps the record at from.
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

// fetchAddresses returns the addresses of the peers to fetch records from, in order of
// preference: the log readers of this data centre, then other peers. The first of each
// group depends on the instance and the attempt, which spreads the load.
func fetchAddresses(s *Snapshot, attempt int) []string {
	var readers, others []string
	for _, p := range s.Peers {
		switch {
		case p.Suspect:
		case p.DataCentre == s.Self.DataCentre && s.isReader(p.ID):
			readers = append(readers, p.Address)
		default:
			others = append(others, p.Address)
		}
	}
	out := append(rotate(readers, s.Self.ID, attempt), rotate(others, s.Self.ID, attempt)...)
	return out[:min(len(out), maxFetchPeers)]
}

// rotate returns the list, rotated by a hash of id and the attempt.
func rotate(list []string, id string, attempt int) []string {
	if len(list) == 0 {
		return nil
	}
	start := (int(member.HashID(id)%uint64(len(list))) + attempt) % len(list)
	return append(append([]string{}, list[start:]...), list[:start]...)
}

// isReader reports whether the instance is a log reader, which reads the log itself.
func (s *Snapshot) isReader(id string) bool { return s.view.readers[id] }

// readersOf returns the ids of up to n log readers of self's data centre, chosen among the
// owners by rendezvous hash.
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

// HandleState replies with one part of this instance's encoded state to a peer that
// restores its state from it. It fails if there is no such part, ctx ends, or the control
// goroutine has ended.
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
		return nil, errDataUnavailable
	case p := <-parts:
		if req.Part < 0 || req.Part >= len(p) {
			return nil, fmt.Errorf("state at offset %d has no part %d: %w", req.Offset, req.Part, errDataUnavailable)
		}
		return p[req.Part], nil
	}
}

// stateQuery requests the encoded state from the control goroutine.
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

// fetchState fetches and restores the complete state of the peer at address.
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
