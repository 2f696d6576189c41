// Package sample holds the state of a trainer's samples and decides which samples are
// generated next, which groups form a batch, which batch is sent to the trainer, and which
// samples are too stale for it. It performs no I/O and has no clock. It is given the
// trainer's groups and requests, the generated samples and the delivery state of the log.
//
// A batch is a numbered, fixed set of groups that is recorded in the log before it is first
// sent. Sample ids are derived from the groups, so samples that were lost or became stale
// are generated again under the same ids. A trainer that consumes each batch number once
// thus receives every sample exactly once. The staleness of a sample is the number of weight
// versions by which its oldest segment is behind the trainer.
//
// The caller appends batches and acknowledgements to the log, runs the generation, and sends
// the state that is not in the log to a mirror, a peer that keeps a copy in memory.
package sample

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Segment is a run of consecutive tokens that one weight version generated.
type Segment struct {
	Version int64 `json:"version" cbor:"1,keyasint"`
	Tokens  int   `json:"tokens" cbor:"2,keyasint"`
}

// Sample is one finished completion of a group's prompt.
type Sample struct {
	ID       string    `json:"id" cbor:"1,keyasint"`
	Group    string    `json:"group" cbor:"2,keyasint"`
	Prompt   string    `json:"prompt" cbor:"3,keyasint"`
	Text     string    `json:"text" cbor:"4,keyasint"`
	Segments []Segment `json:"segments" cbor:"5,keyasint"`
	Reward   float64   `json:"reward" cbor:"6,keyasint"`
}

// OldestVersion returns the oldest weight version of the sample's segments, zero if there
// are none.
func (s *Sample) OldestVersion() int64 {
	var oldest int64
	for i, seg := range s.Segments {
		if i == 0 || seg.Version < oldest {
			oldest = seg.Version
		}
	}
	return oldest
}

// Tokens returns the sample's length in tokens.
func (s *Sample) Tokens() int {
	n := 0
	for _, seg := range s.Segments {
		n += seg.Tokens
	}
	return n
}

// MaxPromptBytes is the maximum length of a group's prompt. A group together with one of its
// samples must fit into one message between instances.
const MaxPromptBytes = 2 << 20

// Group is a prompt whose samples are delivered together in one batch.
type Group struct {
	ID        string `json:"id" cbor:"1,keyasint"`
	Prompt    string `json:"prompt" cbor:"2,keyasint"`
	MaxTokens int    `json:"maxTokens" cbor:"3,keyasint"`
	Size      int    `json:"size" cbor:"4,keyasint"`
	Step      int64  `json:"step,omitempty" cbor:"5,keyasint"` // trainer's step, from 1; zero: none
}

// Digest returns a hash of the group's definition. The log contains it in place of the prompt.
func (g *Group) Digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(g.ID) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(g.Prompt)
	var fields [3 * 8]byte
	binary.BigEndian.PutUint64(fields[0:], uint64(g.MaxTokens))
	binary.BigEndian.PutUint64(fields[8:], uint64(g.Size))
	binary.BigEndian.PutUint64(fields[16:], uint64(g.Step))
	_, _ = h.Write(fields[:])
	return h.Sum64()
}

// batchGroup returns the group's entry in a batch record.
func (g *Group) batchGroup() record.BatchGroup {
	return record.BatchGroup{ID: g.ID, Size: g.Size, Step: g.Step, Digest: g.Digest()}
}

// Batch is a numbered set of samples that is sent to the trainer.
type Batch struct {
	Number  int64    `json:"number" cbor:"1,keyasint"`
	Samples []Sample `json:"samples" cbor:"2,keyasint"`
}

// GenerationRequest is a request to generate one sample.
type GenerationRequest struct {
	Sample string
	Index  int // within the group
	Group  Group
}

// ID returns the id of the i-th sample of a group.
func ID(group string, i int) string { return fmt.Sprintf("%s/%d", group, i) }

// Errors of Owner.
var (
	ErrGroupExists     = errors.New("group was submitted with other contents")
	ErrGroupInvalid    = errors.New("group needs an id, a size from 1 and a prompt within the limit")
	ErrGroupsUnknown   = errors.New("groups of the open batch are unknown, submit them again")
	ErrStepClosed      = errors.New("step is closed")
	ErrTooManyGroups   = errors.New("too many groups are open")
	ErrNoWeightVersion = errors.New("sample names no weight version")
	ErrUnknownSample   = errors.New("sample is not wanted")
	ErrBatchMismatch   = errors.New("batch number does not match")
)

// GroupsUnknownError lists the groups of the open batch that the owner does not have, for
// example after its instance was replaced. The trainer has to submit them again.
type GroupsUnknownError struct {
	Batch  int64
	Groups []string
}

// Error implements error.
func (e *GroupsUnknownError) Error() string {
	return fmt.Sprintf("batch %d: %v: %q", e.Batch, ErrGroupsUnknown, e.Groups)
}

// Unwrap makes errors.Is(err, ErrGroupsUnknown) true.
func (e *GroupsUnknownError) Unwrap() error { return ErrGroupsUnknown }
