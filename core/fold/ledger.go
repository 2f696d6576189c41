package fold

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/record"
)

const (
	maxAckedBatches = 32 // acknowledged batches that are kept per trainer
	groupHashBytes  = 8  // size of a group id's XXH64 hash
)

// DeliveryState holds the latest batch of a trainer, and its latest acknowledged
// batches, by which groups that were delivered before are recognised.
//
// Invariant: batch numbers have no gaps, and only the latest batch can be open.
type DeliveryState struct {
	Trainer    string              `cbor:"1,keyasint"`
	LastOffset record.Offset       `cbor:"2,keyasint"` // offset of the latest Batch or BatchAck
	Number     int64               `cbor:"3,keyasint"` // number of the latest batch
	Acked      bool                `cbor:"5,keyasint"` // the latest batch is acknowledged
	Groups     []record.BatchGroup `cbor:"6,keyasint"` // groups of the latest batch until it is acknowledged
	Recent     []AckedBatch        `cbor:"7,keyasint"` // acknowledged batches, oldest first
	ClosedStep int64               `cbor:"8,keyasint"` // highest step of any batch evicted from Recent
}

// AckedBatch is an acknowledged batch, with its groups as hashes of their ids.
type AckedBatch struct {
	Number int64  `cbor:"1,keyasint"`
	Step   int64  `cbor:"2,keyasint"` // highest step of its groups
	Groups []byte `cbor:"3,keyasint"` // concatenated hashes of the group ids, groupHashBytes each
}

// Open reports whether the latest batch is not acknowledged yet.
func (l *DeliveryState) Open() bool { return l.Number > 0 && !l.Acked }

// Delivered reports whether a batch in Recent contains the group. It compares hashes
// of the group ids.
func (l *DeliveryState) Delivered(group string) bool {
	hash := xxhash.Sum64String(group)
	for i := range l.Recent {
		groups := l.Recent[i].Groups
		for start := 0; start+groupHashBytes <= len(groups); start += groupHashBytes {
			if binary.BigEndian.Uint64(groups[start:]) == hash {
				return true
			}
		}
	}
	return false
}

// StepClosed reports whether batches of the step may have been evicted from Recent,
// so that Delivered cannot detect all delivered groups of the step any more. Step
// zero, that of groups without a step, is never closed.
func (l *DeliveryState) StepClosed(step int64) bool { return step > 0 && step <= l.ClosedStep }

// acknowledged returns the delivery state after the acknowledgement of the latest
// batch. It copies Recent before changing it, because published snapshots may share
// the slices of l.
func (l *DeliveryState) acknowledged(offset record.Offset) DeliveryState {
	next := *l
	next.LastOffset, next.Acked, next.Groups = offset, true, nil
	acked := AckedBatch{Number: l.Number}
	for _, g := range l.Groups {
		acked.Step = max(acked.Step, g.Step)
		acked.Groups = binary.BigEndian.AppendUint64(acked.Groups, xxhash.Sum64String(g.ID))
	}
	recent := l.Recent
	if len(recent) >= maxAckedBatches {
		next.ClosedStep = max(l.ClosedStep, recent[0].Step)
		recent = recent[1:]
	}
	next.Recent = append(append(make([]AckedBatch, 0, len(recent)+1), recent...), acked)
	return next
}

// foldBatch keeps the invariants that batch numbers have no gaps, that at most one
// batch is open, and that only the holder of the trainer's lease opens one.
func (s *State) foldBatch(offset record.Offset, env record.Envelope, b record.Batch) (Verdict, error) {
	if err := s.checkLeaseholder(record.TrainerLease(b.Trainer), env.Author, b.Term); err != nil {
		return Conflict, err
	}
	cur := s.Deliveries[b.Trainer]
	if env.Supersedes != cur.LastOffset {
		return Conflict, fmt.Errorf("batch of trainer %q supersedes offset %d, current is %d", b.Trainer, env.Supersedes, cur.LastOffset)
	}
	if cur.Open() || b.Number != cur.Number+1 {
		return Conflict, fmt.Errorf("batch %d of trainer %q after batch %d (acknowledged: %t)", b.Number, b.Trainer, cur.Number, cur.Acked)
	}
	next := cur
	next.Trainer, next.LastOffset, next.Number, next.Acked, next.Groups = b.Trainer, offset, b.Number, false, b.Groups
	s.Deliveries[b.Trainer] = next
	return Accepted, nil
}

// foldBatchAck does not check the lease: an acknowledgement by the trainer is valid
// also if a former owner received and recorded it.
func (s *State) foldBatchAck(offset record.Offset, b record.BatchAck) (Verdict, error) {
	cur := s.Deliveries[b.Trainer]
	if cur.Number != b.Number || !cur.Open() {
		return Conflict, fmt.Errorf("batch %d of trainer %q is not open", b.Number, b.Trainer)
	}
	s.Deliveries[b.Trainer] = cur.acknowledged(offset)
	return Accepted, nil
}
