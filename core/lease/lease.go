// Package lease decides when an instance claims, renews and holds a lease that
// lives in the log.
//
// Safety rests on two rules. The holder counts its term from before it sent the
// record, and only once it has read that record back as valid. Everyone else
// waits a whole term plus the drift margin from the moment that they read the
// holder's latest record. The two spans cannot overlap while clocks drift by
// less than the margin over a term.
//
// The package has no clock: all times are passed in and are readings of one
// instance's clock that advances while the machine is suspended.
package lease

import (
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// renewDivisor of the term passes before the holder renews.
const renewDivisor = 3

// Timing is the lease's configuration.
type Timing struct {
	Term        time.Duration
	DriftMargin time.Duration
}

// AppendRequest asks the caller to append the body with the given id.
type AppendRequest struct {
	ID         record.ID
	Supersedes record.Offset
	Body       record.Lease
}

// Machine is one instance's view of one lease.
type Machine struct {
	name   string
	self   string
	timing Timing

	current    fold.Lease
	observedAt time.Duration // when current was read

	pendingID  record.ID     // record sent and not read back
	sentAt     time.Duration // when pending was sent
	hasPending bool
	expiresAt  time.Duration // zero: not held
	claimDelay time.Duration // extra wait before a claim

	claimsStopped bool          // never claim, renew what is held
	steppingDown  bool          // never claim or act, release what is held
	releaseAt     time.Duration // when the last call that the lease covered has ended
}

// NewMachine returns a machine that has read nothing. now starts the wait that
// a claimant owes to a holder that it does not know of yet.
func NewMachine(name, self string, timing Timing, now time.Duration) *Machine {
	return &Machine{name: name, self: self, timing: timing, observedAt: now}
}

// Observe notes a lease record read from the log. Accepted records of this
// instance start its term at the time they were sent.
func (m *Machine) Observe(now time.Duration, id record.ID, verdict fold.Verdict, state fold.Lease) {
	mine := m.hasPending && id == m.pendingID
	if mine {
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
	if mine {
		m.expiresAt = m.sentAt + time.Duration(state.Duration)
	}
}

// Restore sets the lease as found in a checkpoint, as if read at now.
func (m *Machine) Restore(now time.Duration, state fold.Lease) {
	m.current, m.observedAt, m.expiresAt = state, now, 0
}

// SetTiming changes the term of future records.
func (m *Machine) SetTiming(t Timing) { m.timing = t }

// SetClaimDelay changes how much longer than it must the machine waits before it
// claims. Instances that wait for different times do not claim all at once.
func (m *Machine) SetClaimDelay(d time.Duration) { m.claimDelay = d }

// StepDown makes the machine stop acting for the lease at once, and release it
// when flight has passed: by then all that the lease covered has ended, so that
// the next holder may act as soon as it has read the release.
func (m *Machine) StepDown(now, flight time.Duration) {
	if m.steppingDown {
		return
	}
	m.steppingDown, m.releaseAt = true, now+flight
}

// StopClaiming makes the machine stop claiming the lease. A held one is renewed until
// Yield.
func (m *Machine) StopClaiming() { m.claimsStopped = true }

// Held reports whether the lease is valid at now for at least need longer, and
// its fencing number.
func (m *Machine) Held(now, need time.Duration) (record.Offset, bool) {
	if m.steppingDown || m.expiresAt == 0 || now+need >= m.expiresAt {
		return 0, false
	}
	return m.current.Term, true
}

// ExpiresAt returns when the held term ends, zero when the lease is not held.
func (m *Machine) ExpiresAt() time.Duration { return m.expiresAt }

// Current returns the last valid record's lease.
func (m *Machine) Current() fold.Lease { return m.current }

// Tick returns the record to append now, if any. newID names the record.
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

func (m *Machine) release(now time.Duration, newID func() record.ID) *AppendRequest {
	if m.current.Holder != m.self || now < m.releaseAt {
		return nil
	}
	m.expiresAt = 0
	return m.newRecord(now, newID, "")
}

// shouldRenew reports whether a held term is to be extended. A lapsed one is too,
// after an outage of the log or a suspension: the record takes effect only if
// nobody else has claimed, and the number stays the holder's own.
func (m *Machine) shouldRenew(now time.Duration) bool {
	if m.expiresAt == 0 || m.current.Holder != m.self {
		return false
	}
	return now-m.sentAt >= m.timing.Term/renewDivisor
}

// mayClaim reports whether nobody can still hold the lease.
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
