// Package lease decides when an instance claims, renews and holds a lease that is kept in
// the log.
//
// Two rules guarantee that at most one instance holds a lease. First, a record grants the
// lease for its duration from before the record was sent, and only once the instance has read
// the record back as accepted. Second, every other instance waits the full duration plus the
// drift margin after it has read the holder's latest record, unless the holder has released
// the lease. The two periods cannot overlap while clocks drift by less than the margin over
// the duration.
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

// renewDivisor sets the renewal interval: a third of Timing.Duration.
const renewDivisor = 3

// Timing is the lease's configuration. Duration is how long one record grants the
// lease, DriftMargin the allowed drift between clocks over that duration.
type Timing struct {
	Duration    time.Duration
	DriftMargin time.Duration
}

// AppendRequest asks the caller to append a record with the id and body. Supersedes is the
// offset of the lease's last accepted record. Term is the fencing number that a renewal keeps,
// zero in other records.
type AppendRequest struct {
	ID         record.ID
	Supersedes record.Offset
	Term       record.Offset
	Body       record.Lease
}

// Machine is the state machine of one lease at one instance. It is not safe for concurrent
// use.
type Machine struct {
	name   string // of the lease
	self   string // this instance as a holder
	timing Timing

	current    fold.Lease
	observedAt time.Duration // when current was read, or the record at gap
	gap        record.Offset // see ObserveGap; zero: current is the lease after its last accepted record

	pendingID  record.ID     // id of the last record sent
	sentAt     time.Duration // when the last record was sent
	hasPending bool          // the last record sent was not read back yet
	expiresAt  time.Duration // end of the lease as granted to this instance; zero: not granted
	claimDelay time.Duration // additional wait before a claim

	// The machine does not claim back a lease that another instance has taken over from an
	// earlier incarnation of this instance less than a duration ago.
	incarnationOf func(holder string) bool // nil: earlier incarnations are not recognized
	lastHolder    string                   // latest holder, also after a release
	displaced     bool                     // another instance took over from an earlier incarnation
	displacedAt   time.Duration            // when that was read

	claimsStopped bool          // StopClaiming was called
	steppingDown  bool          // StepDown was called
	releaseAt     time.Duration // earliest release after StepDown: calls under the lease have ended
}

// NewMachine returns a machine that has read no record. Until it reads one, it waits at
// least Timing.Duration plus the drift margin from now before it claims: a holder whose records it
// has not read may have renewed the lease just before.
func NewMachine(name, self string, timing Timing, now time.Duration) *Machine {
	return &Machine{name: name, self: self, timing: timing, observedAt: now}
}

// SetIncarnations makes the machine recognize the holders that are incarnations of this
// instance: incarnationOf reports whether a holder is one. Where nobody checks fencing numbers,
// two instances must not take turns within a lease duration. An instance that restarts releases
// the lease of its earlier incarnation at once, and another one may claim it and release it as
// soon; the machine then waits a duration and the drift margin from the other's claim before it
// claims the lease back.
func (m *Machine) SetIncarnations(incarnationOf func(holder string) bool) {
	m.incarnationOf = incarnationOf
}

// Observe applies a lease record that was read from the log, with its verdict and the lease
// after it. If the record is the accepted pending record of this instance, the lease lasts for
// its duration from the time when the record was sent.
func (m *Machine) Observe(now time.Duration, id record.ID, verdict fold.Verdict, state fold.Lease) {
	ownRecord := m.hasPending && id == m.pendingID
	if ownRecord {
		m.hasPending = false
	}
	if verdict != fold.Accepted {
		return
	}
	m.current, m.observedAt, m.gap = state, now, 0
	if state.Holder != "" {
		if m.isIncarnation(m.lastHolder) && !m.isIncarnation(state.Holder) {
			m.displaced, m.displacedAt = true, now
		}
		m.lastHolder = state.Holder
	}
	if state.Holder != m.self {
		m.expiresAt = 0
		return
	}
	if ownRecord {
		m.expiresAt = m.sentAt + time.Duration(state.Duration)
	}
}

// ObserveGap makes the machine forget who holds the lease, as records were skipped that may have
// changed it. last is the latest record of the lease that was read or skipped: from its read on
// the machine waits as for a holder whose record it has read, and a renewal interval longer, so
// that instances that know the lease claim it first. A machine that holds the lease does so until
// the end of its term, in which nobody else can have claimed it, and renews it at once. Calls with
// the same last change nothing. Until the next accepted record, the records of Tick supersede
// whatever record of the lease was read or skipped.
func (m *Machine) ObserveGap(now time.Duration, last record.Offset) {
	if m.gap == last {
		return
	}
	m.observedAt, m.gap = now, last
	if m.holdsInGap(now) {
		m.hasPending = false // it may be among the skipped
		return
	}
	m.current, m.expiresAt = fold.Lease{}, 0
}

// holdsInGap reports whether, after a gap, the term of this instance has not ended. Until then its
// records cannot supersede those of another holder.
func (m *Machine) holdsInGap(now time.Duration) bool {
	return m.gap != 0 && m.expiresAt > now && m.current.Holder == m.self
}

// isIncarnation reports whether the holder is this instance or an earlier incarnation of it.
func (m *Machine) isIncarnation(holder string) bool {
	return holder == m.self || m.incarnationOf != nil && holder != "" && m.incarnationOf(holder)
}

// Restore sets the lease to its state in a checkpoint, as if its last record was read at now.
// The instance does not hold it until one of its records is read back.
func (m *Machine) Restore(now time.Duration, state fold.Lease) {
	m.current, m.observedAt, m.expiresAt, m.gap = state, now, 0, 0
}

// SetTiming replaces the timing of future records and waits.
func (m *Machine) SetTiming(t Timing) { m.timing = t }

// SetClaimDelay sets how much longer than necessary the machine waits before it claims.
// Instances with different delays do not claim all at once.
func (m *Machine) SetClaimDelay(d time.Duration) { m.claimDelay = d }

// StepDown makes the machine stop holding the lease at once, make no further claims, and
// release the lease after maxCallTime. By then all calls made under the lease have ended, so
// that the next holder may act as soon as it has read the release.
func (m *Machine) StepDown(now, maxCallTime time.Duration) {
	if m.steppingDown {
		return
	}
	m.steppingDown, m.releaseAt = true, now+maxCallTime
}

// Resume ends StepDown: the machine may claim the lease, and goes on holding it if the release
// has not been sent.
func (m *Machine) Resume() { m.steppingDown = false }

// VacantFor returns for how long the lease has had no holder at now, by the records read so
// far. It is zero if there may be a holder.
func (m *Machine) VacantFor(now time.Duration) time.Duration {
	since := m.observedAt
	if m.current.Holder != "" || m.current.LastOffset == 0 {
		since += max(time.Duration(m.current.Duration), m.timing.Duration) + m.timing.DriftMargin
	}
	return max(0, now-since)
}

// StopClaiming makes the machine stop claiming the lease. It renews a held lease until
// StepDown.
func (m *Machine) StopClaiming() { m.claimsStopped = true }

// HeldFor reports whether the instance holds the lease at now and for longer than minRemaining
// after it, and returns the fencing number.
func (m *Machine) HeldFor(now, minRemaining time.Duration) (record.Offset, bool) {
	if m.steppingDown || m.expiresAt == 0 || now+minRemaining >= m.expiresAt {
		return 0, false
	}
	return m.current.Term, true
}

// ExpiresAt returns when the lease as granted to this instance ends, which may be in the past.
// It returns zero if the lease is not granted to the instance.
func (m *Machine) ExpiresAt() time.Duration { return m.expiresAt }

// Current returns the lease after its last accepted record, whoever holds it.
func (m *Machine) Current() fold.Lease { return m.current }

// Tick returns the record to append now, a claim, a renewal or a release, nil for none. newID
// returns a new record id. Until a sent record is read back, Tick returns no further one for
// Timing.Duration.
func (m *Machine) Tick(now time.Duration, newID func() record.ID) *AppendRequest {
	if m.hasPending && now-m.sentAt < m.timing.Duration {
		return nil
	}
	switch {
	case m.steppingDown:
		return m.release(now, newID)
	case m.shouldRenew(now), m.MayClaim(now):
		return m.newRecord(now, newID, m.self)
	default:
		return nil
	}
}

// release returns the record that releases the lease, nil if this instance is not the holder or
// calls under the lease may still be in flight.
func (m *Machine) release(now time.Duration, newID func() record.ID) *AppendRequest {
	if m.current.Holder != m.self || now < m.releaseAt || m.gap != 0 && !m.holdsInGap(now) {
		return nil
	}
	m.expiresAt = 0
	return m.newRecord(now, newID, "")
}

// shouldRenew reports whether to renew the lease. The holder also renews a lease that has
// expired, after an outage of the log or a suspension of the host: the record is accepted only
// if no other claim was, and the fencing number stays the same.
func (m *Machine) shouldRenew(now time.Duration) bool {
	if m.expiresAt == 0 || m.current.Holder != m.self {
		return false
	}
	if m.gap != 0 {
		return m.holdsInGap(now)
	}
	return now-m.sentAt >= m.timing.Duration/renewDivisor
}

// MayClaim reports whether the machine may claim the lease: no other instance can still hold
// it. After a release the machine waits only for the claim delay.
func (m *Machine) MayClaim(now time.Duration) bool {
	if m.expiresAt > now || m.claimsStopped {
		return false
	}
	if m.displaced && now-m.displacedAt < m.timing.Duration+m.timing.DriftMargin {
		return false
	}
	if m.current.Holder == "" && m.current.LastOffset > 0 {
		return now-m.observedAt >= m.claimDelay
	}
	duration := max(time.Duration(m.current.Duration), m.timing.Duration)
	if m.gap != 0 {
		duration += m.timing.Duration / renewDivisor
	}
	return now-m.observedAt >= duration+m.timing.DriftMargin+m.claimDelay
}

// newRecord returns a lease record of the holder, empty for a release, and makes it pending.
func (m *Machine) newRecord(now time.Duration, newID func() record.ID, holder string) *AppendRequest {
	m.pendingID, m.sentAt, m.hasPending = newID(), now, true
	var term record.Offset
	if holder != "" && holder == m.current.Holder && m.gap == 0 {
		term = m.current.Term
	}
	return &AppendRequest{
		ID:         m.pendingID,
		Supersedes: m.current.LastOffset,
		Term:       term,
		Body:       record.Lease{Name: m.name, Holder: holder, Duration: m.timing.Duration},
	}
}
