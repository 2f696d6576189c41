package fold

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/record"
)

const (
	maxAckedBatches = 32 // acknowledged batches whose groups are remembered
	groupHashBytes  = 8  // of a remembered group id
)

// DeliveryState is a trainer's delivery state.
type DeliveryState struct {
	Trainer    string              `cbor:"1,keyasint"`
	LastOffset record.Offset       `cbor:"2,keyasint"` // latest Batch or BatchAck
	Number     int64               `cbor:"3,keyasint"` // latest batch
	Acked      bool                `cbor:"5,keyasint"`
	Groups     []record.BatchGroup `cbor:"6,keyasint"` // of the latest batch until it is acknowledged
	Recent     []AckedBatch        `cbor:"7,keyasint"` // acknowledged batches, oldest first
	ClosedStep int64               `cbor:"8,keyasint"` // groups of steps up to this one are not accepted any more
}

// AckedBatch remembers an acknowledged batch.
type AckedBatch struct {
	Number int64  `cbor:"1,keyasint"`
	Step   int64  `cbor:"2,keyasint"` // highest step of its groups
	Groups []byte `cbor:"3,keyasint"` // hashes of the group ids
}

// Open reports whether the latest batch waits for its acknowledgement.
func (l *DeliveryState) Open() bool { return l.Number > 0 && !l.Acked }

// Delivered reports whether one of the remembered batches held the group.
func (l *DeliveryState) Delivered(group string) bool {
	hash := xxhash.Sum64String(group)
	for i := range l.Recent {
		groups := l.Recent[i].Groups
		for at := 0; at+groupHashBytes <= len(groups); at += groupHashBytes {
			if binary.BigEndian.Uint64(groups[at:]) == hash {
				return true
			}
		}
	}
	return false
}

// StepClosed reports whether batches of the step have left the ledger's memory,
// so that it can't tell any more whether a group of the step was delivered.
func (l *DeliveryState) StepClosed(step int64) bool { return step > 0 && step <= l.ClosedStep }

// acknowledged returns the ledger after the latest batch was acknowledged. It
// shares no changed slice with l, which snapshots may still show.
func (l *DeliveryState) acknowledged(at record.Offset) DeliveryState {
	next := *l
	next.LastOffset, next.Acked, next.Groups = at, true, nil
	d := AckedBatch{Number: l.Number}
	for _, g := range l.Groups {
		d.Step = max(d.Step, g.Step)
		d.Groups = binary.BigEndian.AppendUint64(d.Groups, xxhash.Sum64String(g.ID))
	}
	recent := l.Recent
	if len(recent) >= maxAckedBatches {
		next.ClosedStep = max(l.ClosedStep, recent[0].Step)
		recent = recent[1:]
	}
	next.Recent = append(append(make([]AckedBatch, 0, len(recent)+1), recent...), d)
	return next
}

// foldBatch keeps the invariants that numbers follow without gaps, that at most
// one batch is open, and that only the holder of the trainer's lease opens one.
func (s *State) foldBatch(at record.Offset, env record.Envelope, b record.Batch) (Verdict, error) {
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
	next.Trainer, next.LastOffset, next.Number, next.Acked, next.Groups = b.Trainer, at, b.Number, false, b.Groups
	s.Deliveries[b.Trainer] = next
	return Accepted, nil
}

// foldBatchAck takes the trainer's word whoever passes it on: it is true also
// when a former owner heard it.
func (s *State) foldBatchAck(at record.Offset, b record.BatchAck) (Verdict, error) {
	cur := s.Deliveries[b.Trainer]
	if cur.Number != b.Number || !cur.Open() {
		return Conflict, fmt.Errorf("batch %d of trainer %q is not open", b.Number, b.Trainer)
	}
	s.Deliveries[b.Trainer] = cur.acknowledged(at)
	return Accepted, nil
}
