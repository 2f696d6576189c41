package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// ErrCheckpointMismatch is returned for a checkpoint whose parts do not match its
// digest or its offset.
var ErrCheckpointMismatch = errors.New("checkpoint does not match its digest")

// Encode returns the deterministic encoding of the state: equal prefixes of the log
// give equal bytes on every instance.
func (s *State) Encode() ([]byte, error) {
	data, err := record.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state at offset %d: %w", s.Applied, err)
	}
	return data, nil
}

// Digest returns the SHA-256 of the encoded state.
func (s *State) Digest() ([32]byte, error) {
	data, err := s.Encode()
	if err != nil {
		return [32]byte{}, err
	}
	return sha256.Sum256(data), nil
}

// DecodeState returns the state that Encode encoded. It returns
// ErrUnsupportedFormat if this build cannot read the state's format level or its
// configuration.
func DecodeState(data []byte) (*State, error) {
	s := New()
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	if s.Format > record.Version {
		return nil, fmt.Errorf("state at offset %d needs format level %d: %w", s.Applied, s.Format, ErrUnsupportedFormat)
	}
	for _, id := range s.SeenIDs {
		s.seenIDs[id] = struct{}{}
	}
	if s.ConfigOffset == 0 {
		return s, nil
	}
	cfg, err := config.Load(config.File{Name: "log", Content: s.ConfigYAML})
	if err != nil {
		return nil, fmt.Errorf("configuration of state at offset %d: %w: %w", s.Applied, ErrUnsupportedFormat, err)
	}
	s.config = cfg
	return s, nil
}

// CheckpointParts encodes the state and splits it into Checkpoint records, in order.
func (s *State) CheckpointParts() ([]record.Checkpoint, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(data)
	n := (len(data) + record.MaxCheckpointPartBytes - 1) / record.MaxCheckpointPartBytes
	parts := make([]record.Checkpoint, n)
	for i := range parts {
		end := min(len(data), (i+1)*record.MaxCheckpointPartBytes)
		parts[i] = record.Checkpoint{Offset: s.Applied, Digest: digest, Part: i, Parts: n, Data: data[i*record.MaxCheckpointPartBytes : end]}
	}
	return parts, nil
}

// Restore returns the state that the parts of one checkpoint contain. It returns
// ErrCheckpointMismatch if they do not match the digest or the offset.
func Restore(parts []record.Checkpoint) (*State, error) {
	var data []byte
	for _, p := range parts {
		data = append(data, p.Data...)
	}
	if len(parts) == 0 || sha256.Sum256(data) != parts[0].Digest {
		return nil, fmt.Errorf("checkpoint of %d parts: %w", len(parts), ErrCheckpointMismatch)
	}
	s, err := DecodeState(data)
	if err != nil {
		return nil, err
	}
	if s.Applied != parts[0].Offset {
		return nil, fmt.Errorf("checkpoint names offset %d and carries %d: %w", parts[0].Offset, s.Applied, ErrCheckpointMismatch)
	}
	return s, nil
}

// foldCheckpoint tracks the parts of a checkpoint, which are valid only at contiguous
// offsets, in order and by one author.
func (s *State) foldCheckpoint(offset record.Offset, env record.Envelope, b record.Checkpoint) (Verdict, error) {
	progress := &s.Checkpoint
	if b.Offset >= offset || b.Offset <= progress.Offset {
		return Conflict, fmt.Errorf("checkpoint of offset %d, the newest is of %d", b.Offset, progress.Offset)
	}
	isNextPart := b.Part == progress.NextPart && b.Offset == progress.PendingOffset && env.Author == progress.Author && offset == progress.NextOffset
	if b.Part != 0 && !isNextPart {
		return Conflict, fmt.Errorf("checkpoint part %d of offset %d does not follow its predecessor", b.Part, b.Offset)
	}
	progress.PendingOffset, progress.Author, progress.NextPart, progress.NextOffset = b.Offset, env.Author, b.Part+1, offset+1
	if b.Part+1 == b.Parts {
		s.Checkpoint = CheckpointProgress{Offset: b.Offset, EndOffset: offset}
	}
	return Accepted, nil
}

// extendHashChain sets HashChain to the SHA-256 of its previous value and the record's
// offset, verdict and bytes.
func (s *State) extendHashChain(offset record.Offset, v Verdict, data []byte) {
	h := sha256.New()
	h.Write(s.HashChain[:])
	var header [9]byte
	binary.BigEndian.PutUint64(header[:], uint64(offset))
	header[8] = byte(v)
	h.Write(header[:])
	h.Write(data)
	h.Sum(s.HashChain[:0])
}
