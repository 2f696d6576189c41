package job

import (
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Lease claims, renews or releases a lease; see core/lease.
type Lease struct {
	ID         record.ID     `cbor:"1,keyasint"`
	Supersedes record.Offset `cbor:"2,keyasint"`
	Body       record.Lease  `cbor:"3,keyasint"`
	// Term is the fencing number that a renewal keeps, for readers that have not read the
	// claim. It is zero in claims and releases, and in records of older builds.
	Term record.Offset `cbor:"4,keyasint,omitempty"`
	// ReadTo, if not zero, replaces Supersedes in the record of a writer that has skipped the
	// lease's last accepted record or does not know it: the record supersedes whatever record up to
	// ReadTo that is, and begins a new term.
	ReadTo record.Offset `cbor:"5,keyasint,omitempty"`
}

// leaseGap describes a lease whose last accepted record is not known, since earlier records were
// skipped.
type leaseGap struct {
	from record.Offset // all the lease's records from here on were read and are considered
	last record.Offset // last record of the lease that was read; at first the last that was skipped
}

// LeaseOffset converts a log offset, which counts from 0, to an offset in lease records, which
// counts from 1 because zero means that there is no record.
func LeaseOffset(offset int64) record.Offset { return record.Offset(offset + 1) }

// SkipTo makes the state go on at the offset: the log does not keep the records before. The
// holders of leases may have changed in them and are unknown until two records are read of which
// one supersedes the other. Jobs about which there may be records are incomplete until they are
// restated. The first record that is kept was written between oldest and newest, in Unix milliseconds.
func (s *State) SkipTo(offset, oldest, newest int64) {
	from := LeaseOffset(offset)
	s.skipped = leaseGap{from: from, last: from - 1}
	s.lastRead = from - 1
	clear(s.Leases)
	clear(s.leaseGaps)
	s.skipJobs(from, oldest, newest)
}

// UnknownLease returns whether it is unknown who holds the lease, since records were skipped. If
// so, it also returns the last record of the lease that was read, at first the last that was
// skipped, and the last record of any kind: the ReadTo of the instance's records.
func (s *State) UnknownLease(name string) (last, readTo record.Offset, unknown bool) {
	gap, unknown := s.leaseGap(name)
	return gap.last, s.lastRead, unknown
}

func (s *State) leaseGap(name string) (leaseGap, bool) {
	if gap, found := s.leaseGaps[name]; found {
		return gap, true
	}
	if _, known := s.Leases[name]; known || s.skipped.last == 0 {
		return leaseGap{}, false
	}
	return s.skipped, true
}

// applyLease applies a lease record. A record that does not supersede the lease's last
// accepted record is a conflict. The offset of the first record, and of each that changes the
// holder or has ReadTo, becomes the fencing number.
func (s *State) applyLease(offset record.Offset, l Lease) fold.Verdict {
	if gap, unknown := s.leaseGap(l.Body.Name); unknown {
		return s.applyToGap(offset, l, gap)
	}
	current := s.Leases[l.Body.Name]
	supersedes := l.Supersedes == current.LastOffset
	if l.ReadTo != 0 {
		supersedes = current.LastOffset <= l.ReadTo
	}
	if !supersedes {
		return fold.Conflict
	}
	term := current.Term
	if l.Body.Holder != current.Holder || current.LastOffset == 0 || l.ReadTo != 0 {
		term = offset
	}
	return s.acceptLease(offset, l, term)
}

// applyToGap applies a record of a lease whose last accepted record is unknown. Two kinds of
// records are accepted, those that every reader accepts, whatever the skipped ones were. One that
// supersedes a record after the gap: its writer has read that one as accepted, and this is the
// first to supersede it. And one with ReadTo, if no record of the lease came between.
func (s *State) applyToGap(offset record.Offset, l Lease, gap leaseGap) fold.Verdict {
	switch {
	case l.ReadTo != 0 && gap.last <= l.ReadTo:
		return s.acceptLease(offset, l, offset)
	case l.ReadTo != 0:
		// Readers that know the lease may have accepted this record or the one before it. What
		// supersedes one of the earlier records tells nothing from here on.
		gap.from = offset
	case gap.from <= l.Supersedes && l.Supersedes <= gap.last:
		term := l.Term
		if term == 0 {
			term = offset
		}
		return s.acceptLease(offset, l, term)
	}
	gap.last = offset
	s.leaseGaps[l.Body.Name] = gap
	return fold.Conflict
}

func (s *State) acceptLease(offset record.Offset, l Lease, term record.Offset) fold.Verdict {
	delete(s.leaseGaps, l.Body.Name)
	s.Leases[l.Body.Name] = fold.Lease{
		Name: l.Body.Name, Holder: l.Body.Holder, Term: term, LastOffset: offset, Duration: int64(l.Body.Duration),
	}
	return fold.Accepted
}
