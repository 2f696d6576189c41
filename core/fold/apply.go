package fold

import (
	"errors"
	"fmt"
	"slices"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// Verdict tells what became of a record.
type Verdict uint8

// The verdicts.
const (
	Accepted  Verdict = iota + 1 // the state changed
	Duplicate                    // its id was folded before
	Conflict                     // its predecessor is no longer current
	Malformed                    // it does not decode or does not validate
	Expired                      // its author had seen too little of the log
)

// String returns the verdict's name in events and logs.
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

// Result is the outcome of folding one record.
type Result struct {
	Offset   record.Offset
	Envelope record.Envelope
	Body     record.Body
	Verdict  Verdict
	Err      error // the reason unless accepted
	// Claims holds a decision per claim of an accepted Claims record.
	Claims []claim.Decision
	// LeaseAcquired tells that an accepted lease record began a new term.
	LeaseAcquired bool
}

// Errors of Apply. The state is unchanged after either.
var (
	// ErrGap: the record does not follow the last one folded.
	ErrGap = errors.New("log offset does not follow the state")
	// ErrFormat: this build is too old to fold the record as others do. The
	// state stays a true prefix; nothing more can be folded.
	ErrUnsupportedFormat = errors.New("record needs a newer build")
)

// Apply folds the record at offset. Every record, valid or void, advances
// Applied, except that the error is ErrGap or ErrFormat.
//
// What does not decode is void on every build. A record of a format level above
// the one that the configuration allows is void too, also on builds that know
// it. Only a level that is allowed and unknown here stops the fold.
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
		res.Verdict, res.Err = s.fold(offset, res.Envelope, res.Body)
		if b, ok := res.Body.(record.Claims); ok {
			res.Claims = s.foldClaims(res.Envelope.Author, b)
		}
		res.LeaseAcquired = s.leaseAcquired(res)
	}
	s.extendHashChain(offset, res.Verdict, data)
	return res, nil
}

// checkFormat returns ErrFormat for a record that this build must not fold.
func (s *State) checkFormat(offset record.Offset, res Result) error {
	if errors.Is(res.Err, record.ErrUnknownVersion) && res.Envelope.Version <= s.Format {
		return fmt.Errorf("record at %d has format level %d: %w", offset, res.Envelope.Version, ErrUnsupportedFormat)
	}
	b, ok := res.Body.(record.Config)
	if !ok || res.Envelope.Supersedes != s.ConfigOffset {
		return nil
	}
	// The instance that appended the configuration has validated it. A build
	// that cannot read it would not act as the others do.
	if _, err := config.Load(config.File{Name: "log", Content: b.YAML}); err != nil {
		return fmt.Errorf("configuration at offset %d: %w: %w", offset, ErrUnsupportedFormat, err)
	}
	return nil
}

func (s *State) fold(at record.Offset, env record.Envelope, body record.Body) (Verdict, error) {
	switch b := body.(type) {
	case record.Config:
		return s.foldConfig(at, env, b)
	case record.KeyGrant:
		return s.foldGrant(at, b)
	case record.KeyWithdraw:
		return s.foldWithdraw(b)
	case record.Lease:
		return s.foldLease(at, env, b)
	case record.OrderIntent:
		return s.foldIntent(at, env, b)
	case record.OrderDone:
		return s.foldDone(b)
	case record.UsageSeal:
		return s.foldSeal(at, env, b)
	case record.UsageSent:
		return s.foldUsageReported(b)
	case record.Batch:
		return s.foldBatch(at, env, b)
	case record.BatchAck:
		return s.foldBatchAck(at, b)
	case record.Claims:
		return Accepted, nil // decided per claim
	case record.ClaimsVoid:
		return s.foldClaimsVoid(env.Author, b)
	case record.TargetDrain:
		return s.foldDrain(at, b)
	case record.Checkpoint:
		return s.foldCheckpoint(at, env, b)
	default:
		return Malformed, fmt.Errorf("record %s has body %T: %w", env.ID, body, record.ErrUnknownKind)
	}
}

func (s *State) foldConfig(at record.Offset, env record.Envelope, b record.Config) (Verdict, error) {
	if env.Supersedes != s.ConfigOffset {
		return Conflict, fmt.Errorf("configuration supersedes offset %d, current is %d", env.Supersedes, s.ConfigOffset)
	}
	cfg, err := config.Load(config.File{Name: "log", Content: b.YAML})
	if err != nil {
		return Malformed, fmt.Errorf("configuration at offset %d: %w", at, err)
	}
	s.ConfigYAML, s.ConfigOffset, s.config = b.YAML, at, cfg
	s.Format = max(s.Format, uint8(cfg.Control.Format))
	s.deleteOrphanedKeys(cfg)
	return Accepted, nil
}

// deleteOrphanedKeys removes for good the keys of accounts that the configuration no
// longer holds: an account that comes back later gets new keys.
func (s *State) deleteOrphanedKeys(cfg *config.Config) {
	for id, k := range s.Keys {
		if cfg.Account(k.Account) == nil {
			delete(s.Keys, id)
		}
	}
}

func (s *State) foldGrant(at record.Offset, b record.KeyGrant) (Verdict, error) {
	if _, taken := s.Keys[b.KeyID]; taken {
		return Conflict, fmt.Errorf("key id %q is taken", b.KeyID)
	}
	if s.config == nil || s.config.Account(b.Account) == nil {
		return Malformed, fmt.Errorf("account %q does not exist", b.Account)
	}
	s.Keys[b.KeyID] = Key{ID: b.KeyID, Account: b.Account, Digest: b.Digest, Granted: at}
	return Accepted, nil
}

func (s *State) foldWithdraw(b record.KeyWithdraw) (Verdict, error) {
	key, ok := s.Keys[b.KeyID]
	if !ok || key.Account != b.Account {
		return Conflict, fmt.Errorf("account %q has no key %q", b.Account, b.KeyID)
	}
	delete(s.Keys, b.KeyID)
	return Accepted, nil
}

// foldLease keeps the invariant that a lease's term never decreases and that
// each valid record names the one before it.
func (s *State) foldLease(at record.Offset, env record.Envelope, b record.Lease) (Verdict, error) {
	cur := s.Leases[b.Name]
	if env.Supersedes != cur.LastOffset {
		return Conflict, fmt.Errorf("lease %q record supersedes offset %d, current is %d", b.Name, env.Supersedes, cur.LastOffset)
	}
	next := Lease{Name: b.Name, Holder: b.Holder, Term: at, LastOffset: at, Duration: int64(b.Duration)}
	if b.Holder == cur.Holder && b.Holder != "" {
		next.Term = cur.Term
	}
	s.Leases[b.Name] = next
	return Accepted, nil
}

func (s *State) leaseAcquired(res Result) bool {
	b, ok := res.Body.(record.Lease)
	return ok && res.Verdict == Accepted && b.Holder != "" && s.Leases[b.Name].Term == res.Offset
}

// checkLeaseholder reports whether fencing is the current term of the author's lease.
func (s *State) checkLeaseholder(lease, author string, fencing record.Offset) error {
	cur := s.Leases[lease]
	if cur.Holder != author || cur.Term != fencing {
		return fmt.Errorf("lease %q is held by %q with term %d, not by %q with term %d", lease, cur.Holder, cur.Term, author, fencing)
	}
	return nil
}

func (s *State) foldIntent(at record.Offset, env record.Envelope, b record.OrderIntent) (Verdict, error) {
	if err := s.checkLeaseholder(b.Lease, env.Author, env.Supersedes); err != nil {
		return Conflict, err
	}
	s.Orders[b.OrderID] = Order{Intent: b, Offset: at, Fencing: env.Supersedes}
	return Accepted, nil
}

func (s *State) foldDone(b record.OrderDone) (Verdict, error) {
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

// evictWindows drops the oldest reported windows beyond sentWindows. The floor
// keeps a late seal of a forgotten window void.
func (s *State) evictWindows() {
	var sent []int64
	for start, w := range s.Windows {
		if w.Reported {
			sent = append(sent, start)
		}
	}
	if len(sent) <= maxReportedWindows {
		return
	}
	slices.Sort(sent)
	for _, start := range sent[:len(sent)-maxReportedWindows] {
		delete(s.Windows, start)
		s.WindowLowWatermark = max(s.WindowLowWatermark, start)
	}
}
