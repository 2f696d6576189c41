// Package lease decides when an instance claims, renews and holds a lease that is kept in
// the log.
//
// Two rules guarantee that at most one instance holds a lease. The holder counts its term
// from before it sent its record, and only once it has read that record back as accepted.
// Every other instance waits a full term plus the drift margin after it has read the holder's
// latest record. The two spans cannot overlap while clocks drift by less than the margin over
// a term.
//
// The package has no clock and no I/O. The caller appends the records, passes in those that
// it reads, and passes in all times: readings of one instance's clock, which must advance
// while the host is suspended.
package lease

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// renewDivisor divides the term: the holder renews after a third of it.
const renewDivisor = 3

// Timing is the lease's configuration. Term is the duration of the lease from one record,
// DriftMargin the allowed drift between clocks over a term.
type Timing struct {
	Term        time.Duration
	DriftMargin time.Duration
}

// AppendRequest asks the caller to append a record with the id and body. Supersedes is the
// offset of the lease's last accepted record.
type AppendRequest struct {
	ID         record.ID
	Supersedes record.Offset
	Body       record.Lease
}

// Machine is one instance's state of one lease. It is not safe for concurrent use.
type Machine struct {
	name   string
	self   string
	timing Timing

	current    fold.Lease
	observedAt time.Duration // when current was read

	pendingID  record.ID     // record that was sent and not read back yet
	sentAt     time.Duration // when the last record was sent
	hasPending bool
	expiresAt  time.Duration // end of the held term; zero: not held
	claimDelay time.Duration // additional wait before a claim

	claimsStopped bool          // no claims any more; a held lease is renewed
	steppingDown  bool          // no claims and not held any more; a held lease is released
	releaseAt     time.Duration // when the last call covered by the lease has ended
}

// NewMachine returns a machine that has read no record. It waits a full term plus the drift
// margin from now before its first claim, as if an unread holder had renewed the lease now.
func NewMachine(name, self string, timing Timing, now time.Duration) *Machine {
	return &Machine{name: name, self: self, timing: timing, observedAt: now}
}

// Observe applies a lease record that was read from the log, with its verdict and the lease
// after it. An accepted record of this instance starts its term at the time it was sent.
func (m *Machine) Observe(now time.Duration, id record.ID, verdict fold.Verdict, state fold.Lease) {
	ownRecord := m.hasPending && id == m.pendingID
	if ownRecord {
		m.hasPending = false
	}
	if verdict != fold.Accepted {
		return
	}
	m.current, m.observedAt = state, now
	if state.Holder != m.self {
		m.expiresAt = 0
		return
	}
	if ownRecord {
		m.expiresAt = m.sentAt + time.Duration(state.Duration)
	}
}

// Restore sets the lease to its state in a checkpoint, as if it was read at now.
func (m *Machine) Restore(now time.Duration, state fold.Lease) {
	m.current, m.observedAt, m.expiresAt = state, now, 0
}

// SetTiming changes the term of future records.
func (m *Machine) SetTiming(t Timing) { m.timing = t }

// SetClaimDelay sets how much longer than necessary the machine waits before it claims.
// Different delays keep instances from claiming all at once.
func (m *Machine) SetClaimDelay(d time.Duration) { m.claimDelay = d }

// StepDown makes the machine stop holding the lease at once and release it after
// orderFlight. By then all calls that the lease covered have ended, so that the next holder
// may act as soon as it has read the release.
func (m *Machine) StepDown(now, orderFlight time.Duration) {
	if m.steppingDown {
		return
	}
	m.steppingDown, m.releaseAt = true, now+orderFlight
}

// StopClaiming makes the machine stop claiming the lease. A held one is renewed until
// StepDown.
func (m *Machine) StopClaiming() { m.claimsStopped = true }

// Held reports whether the lease is held at now and for longer than remaining after it, and
// returns its fencing number.
func (m *Machine) Held(now, remaining time.Duration) (record.Offset, bool) {
	if m.steppingDown || m.expiresAt == 0 || now+remaining >= m.expiresAt {
		return 0, false
	}
	return m.current.Term, true
}

// ExpiresAt returns when the held term ends, zero if the lease is not held.
func (m *Machine) ExpiresAt() time.Duration { return m.expiresAt }

// Current returns the lease after its last accepted record.
func (m *Machine) Current() fold.Lease { return m.current }

// Tick returns the record to append now, a claim, a renewal or a release, or nil. newID
// returns the record's id. A record that was not read back blocks the next one for a term.
func (m *Machine) Tick(now time.Duration, newID func() record.ID) *AppendRequest {
	if m.hasPending && now-m.sentAt < m.timing.Term {
		return nil
	}
	switch {
	case m.steppingDown:
		return m.release(now, newID)
	case m.shouldRenew(now), m.mayClaim(now):
		return m.newRecord(now, newID, m.self)
	default:
		return nil
	}
}

// release returns the record that releases a held lease once its calls have ended.
func (m *Machine) release(now time.Duration, newID func() record.ID) *AppendRequest {
	if m.current.Holder != m.self || now < m.releaseAt {
		return nil
	}
	m.expiresAt = 0
	return m.newRecord(now, newID, "")
}

// shouldRenew reports whether to renew the lease. The holder also renews an expired term,
// after an outage of the log or a suspension: the record is accepted only if no other claim
// was, and the fencing number stays the same.
func (m *Machine) shouldRenew(now time.Duration) bool {
	if m.expiresAt == 0 || m.current.Holder != m.self {
		return false
	}
	return now-m.sentAt >= m.timing.Term/renewDivisor
}

// mayClaim reports whether the machine may claim the lease: no instance can still hold it.
// After a release only the claim delay remains to be waited.
func (m *Machine) mayClaim(now time.Duration) bool {
	if m.expiresAt > now || m.claimsStopped {
		return false
	}
	if m.current.Holder == "" && m.current.LastOffset > 0 {
		return now-m.observedAt >= m.claimDelay
	}
	term := max(time.Duration(m.current.Duration), m.timing.Term)
	return now-m.observedAt >= term+m.timing.DriftMargin+m.claimDelay
}

func (m *Machine) newRecord(now time.Duration, newID func() record.ID, holder string) *AppendRequest {
	m.pendingID, m.sentAt, m.hasPending = newID(), now, true
	return &AppendRequest{
		ID:         m.pendingID,
		Supersedes: m.current.LastOffset,
		Body:       record.Lease{Name: m.name, Holder: holder, Duration: m.timing.Term},
	}
}
