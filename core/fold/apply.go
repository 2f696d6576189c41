package fold

import (
	"errors"
	"fmt"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Verdict is the outcome of applying a record.
type Verdict uint8

// The verdicts of Apply. A record that is not accepted changes only Applied, the ids that
// are kept and the hash chain.
const (
	Accepted  Verdict = iota + 1 // the record was applied to the state
	Duplicate                    // its id is among the latest dedupWindowRecords ids
	// Conflict: the record does not fit the state. Its predecessor, lease holder or
	// term, key, order, window or target is not the current one.
	Conflict
	Malformed // it does not decode or is invalid
	Expired   // its author's last applied offset is more than dedupWindowRecords before it
)

// String returns the verdict's name in events and log lines.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Duplicate:
		return "duplicate"
	case Conflict:
		return "conflict"
	case Malformed:
		return "malformed"
	case Expired:
		return "expired"
	default:
		return "unknown"
	}
}

// Result is the outcome of applying one record.
type Result struct {
	Offset   record.Offset
	Envelope record.Envelope
	Body     record.Body
	Verdict  Verdict
	Err      error // reason of the rejection; nil if accepted
	// Claims holds one decision for each claim of an accepted Claims record.
	Claims []claim.Decision
	// LeaseAcquired is true if the record is an accepted Lease that began a new term.
	LeaseAcquired bool
}

// Errors of Apply. The state is unchanged after either.
var (
	// ErrGap is returned for an offset that does not follow the last applied one.
	ErrGap = errors.New("log offset does not follow the state")
	// ErrUnsupportedFormat is returned if this build is too old to apply the record
	// as other builds do. The state still equals that of the log's prefix up to
	// Applied; no further record can be applied.
	ErrUnsupportedFormat = errors.New("record needs a newer build")
)

// Apply applies the record at offset. Every record, accepted or rejected, advances
// Applied, unless Apply returns ErrGap or ErrUnsupportedFormat.
//
// Every build must give a record the same verdict. A record that does not decode is
// therefore rejected, and so is one of a format level above s.Format, the newest that
// the configuration allows, even if the build can read that level. Apply returns
// ErrUnsupportedFormat where other builds may accept the record: this build cannot
// read its format level, which is allowed, or the configuration that it contains,
// which supersedes the current one.
func (s *State) Apply(offset record.Offset, data []byte) (Result, error) {
	if offset != s.Applied+1 {
		return Result{}, fmt.Errorf("record at %d after %d: %w", offset, s.Applied, ErrGap)
	}
	res := Result{Offset: offset}
	res.Envelope, res.Body, res.Err = record.Decode(data)
	if err := s.checkFormat(offset, res); err != nil {
		return Result{}, err
	}
	s.Applied = offset
	switch {
	case res.Err != nil:
		res.Verdict = Malformed
	case offset-res.Envelope.Applied > dedupWindowRecords:
		res.Verdict = Expired
		res.Err = fmt.Errorf("author had folded offset %d, more than %d records ago", res.Envelope.Applied, dedupWindowRecords)
	case !s.addID(res.Envelope.ID):
		res.Verdict = Duplicate
		res.Err = fmt.Errorf("record %s was folded before", res.Envelope.ID)
	default:
		res.Verdict, res.Err = s.foldBody(offset, res.Envelope, res.Body)
		if b, ok := res.Body.(record.Claims); ok {
			res.Claims = s.foldClaims(res.Envelope.Author, b)
		}
		res.LeaseAcquired = s.leaseAcquired(res)
	}
	s.extendHashChain(offset, res.Verdict, data)
	return res, nil
}

// checkFormat returns ErrUnsupportedFormat for a record that this build cannot read
// but that other builds may accept.
func (s *State) checkFormat(offset record.Offset, res Result) error {
	if errors.Is(res.Err, record.ErrUnknownVersion) && res.Envelope.Version <= s.Format {
		return fmt.Errorf("record at %d has format level %d: %w", offset, res.Envelope.Version, ErrUnsupportedFormat)
	}
	b, ok := res.Body.(record.Config)
	if !ok || res.Envelope.Supersedes != s.ConfigOffset {
		return nil
	}
	// The instance that appended the configuration has validated it, so other builds
	// accept it. If this build rejected it, its state would differ from theirs.
	if _, err := config.Load(config.File{Name: "log", Content: b.YAML}); err != nil {
		return fmt.Errorf("configuration at offset %d: %w: %w", offset, ErrUnsupportedFormat, err)
	}
	return nil
}

// foldBody applies the record's body to the state. An error is the reason of a
// rejection.
func (s *State) foldBody(offset record.Offset, env record.Envelope, body record.Body) (Verdict, error) {
	switch b := body.(type) {
	case record.Config:
		return s.foldConfig(offset, env, b)
	case record.KeyGrant:
		return s.foldKeyGrant(offset, b)
	case record.KeyWithdraw:
		return s.foldKeyWithdraw(b)
	case record.Lease:
		return s.foldLease(offset, env, b)
	case record.OrderIntent:
		return s.foldOrderIntent(offset, env, b)
	case record.OrderDone:
		return s.foldOrderDone(b)
	case record.UsageSeal:
		return s.foldUsageSeal(offset, env, b)
	case record.UsageSent:
		return s.foldUsageReported(b)
	case record.Batch:
		return s.foldBatch(offset, env, b)
	case record.BatchAck:
		return s.foldBatchAck(offset, b)
	case record.Claims:
		return Accepted, nil // foldClaims decides on each claim
	case record.ClaimsVoid:
		return s.foldClaimsVoid(env.Author, b)
	case record.TargetDrain:
		return s.foldTargetDrain(offset, b)
	case record.Checkpoint:
		return s.foldCheckpoint(offset, env, b)
	default:
		return Malformed, fmt.Errorf("record %s has body %T: %w", env.ID, body, record.ErrUnknownKind)
	}
}

func (s *State) foldConfig(offset record.Offset, env record.Envelope, b record.Config) (Verdict, error) {
	if env.Supersedes != s.ConfigOffset {
		return Conflict, fmt.Errorf("configuration supersedes offset %d, current is %d", env.Supersedes, s.ConfigOffset)
	}
	cfg, err := config.Load(config.File{Name: "log", Content: b.YAML})
	if err != nil {
		return Malformed, fmt.Errorf("configuration at offset %d: %w", offset, err)
	}
	s.ConfigYAML, s.ConfigOffset, s.config = b.YAML, offset, cfg
	s.Format = max(s.Format, uint8(cfg.Control.Format))
	s.deleteOrphanedKeys(cfg)
	return Accepted, nil
}

// deleteOrphanedKeys permanently removes the keys of accounts that the configuration
// no longer contains: an account that is added again later needs new keys.
func (s *State) deleteOrphanedKeys(cfg *config.Config) {
	for id, k := range s.Keys {
		if cfg.Account(k.Account) == nil {
			delete(s.Keys, id)
		}
	}
}

func (s *State) foldKeyGrant(offset record.Offset, b record.KeyGrant) (Verdict, error) {
	if _, exists := s.Keys[b.KeyID]; exists {
		return Conflict, fmt.Errorf("key id %q is taken", b.KeyID)
	}
	if s.config == nil || s.config.Account(b.Account) == nil {
		return Malformed, fmt.Errorf("account %q does not exist", b.Account)
	}
	s.Keys[b.KeyID] = Key{ID: b.KeyID, Account: b.Account, Digest: b.Digest, Granted: offset}
	return Accepted, nil
}

func (s *State) foldKeyWithdraw(b record.KeyWithdraw) (Verdict, error) {
	key, ok := s.Keys[b.KeyID]
	if !ok || key.Account != b.Account {
		return Conflict, fmt.Errorf("account %q has no key %q", b.Account, b.KeyID)
	}
	delete(s.Keys, b.KeyID)
	return Accepted, nil
}

// foldLease keeps the invariants that a lease's term never decreases and that each
// accepted record supersedes the previous one.
func (s *State) foldLease(offset record.Offset, env record.Envelope, b record.Lease) (Verdict, error) {
	cur := s.Leases[b.Name]
	if env.Supersedes != cur.LastOffset {
		return Conflict, fmt.Errorf("lease %q record supersedes offset %d, current is %d", b.Name, env.Supersedes, cur.LastOffset)
	}
	next := Lease{Name: b.Name, Holder: b.Holder, Term: offset, LastOffset: offset, Duration: int64(b.Duration)}
	if b.Holder == cur.Holder && b.Holder != "" {
		next.Term = cur.Term
	}
	s.Leases[b.Name] = next
	return Accepted, nil
}

// leaseAcquired reports whether the applied record began a new term of a lease.
func (s *State) leaseAcquired(res Result) bool {
	b, ok := res.Body.(record.Lease)
	return ok && res.Verdict == Accepted && b.Holder != "" && s.Leases[b.Name].Term == res.Offset
}

// checkLeaseholder returns an error unless the author holds the lease and fencing is
// its current term.
func (s *State) checkLeaseholder(leaseName, author string, fencing record.Offset) error {
	cur := s.Leases[leaseName]
	if cur.Holder != author || cur.Term != fencing {
		return fmt.Errorf("lease %q is held by %q with term %d, not by %q with term %d", leaseName, cur.Holder, cur.Term, author, fencing)
	}
	return nil
}

func (s *State) foldOrderIntent(offset record.Offset, env record.Envelope, b record.OrderIntent) (Verdict, error) {
	if err := s.checkLeaseholder(b.Lease, env.Author, env.Supersedes); err != nil {
		return Conflict, err
	}
	s.Orders[b.OrderID] = Order{Intent: b, Offset: offset, Fencing: env.Supersedes}
	return Accepted, nil
}

// foldOrderDone removes a resolved order. A successful stop also removes the
// target's drain.
func (s *State) foldOrderDone(b record.OrderDone) (Verdict, error) {
	order, ok := s.Orders[b.OrderID]
	if !ok {
		return Conflict, fmt.Errorf("order %q is not open", b.OrderID)
	}
	delete(s.Orders, b.OrderID)
	if order.Intent.Action == record.ActionStop && b.Failure == "" {
		delete(s.Drains, order.Intent.Target)
	}
	return Accepted, nil
}

func (s *State) foldUsageReported(b record.UsageSent) (Verdict, error) {
	w, ok := s.Windows[b.Window]
	if !ok {
		return Conflict, fmt.Errorf("window %d is not sealed", b.Window)
	}
	w.Reported = true
	s.Windows[b.Window] = w
	s.evictWindows()
	return Accepted, nil
}

// evictWindows removes the oldest reported windows beyond maxReportedWindows. A late
// seal of an evicted window is rejected because it does not start after
// WindowLowWatermark.
func (s *State) evictWindows() {
	var reported []int64
	for start, w := range s.Windows {
		if w.Reported {
			reported = append(reported, start)
		}
	}
	if len(reported) <= maxReportedWindows {
		return
	}
	slices.Sort(reported)
	for _, start := range reported[:len(reported)-maxReportedWindows] {
		delete(s.Windows, start)
		s.WindowLowWatermark = max(s.WindowLowWatermark, start)
	}
}
