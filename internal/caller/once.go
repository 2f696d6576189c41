package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	idempotencyHeader = "Idempotency-Key"
	repeatHeader      = "X-Amaranth-Repeat" // marks the kept answer to a repeat
)

// dedupKey is a non-repeatable request that its caller may send again. Of all its
// sendings, through whatever instance, one at most reaches a target.
type dedupKey struct {
	id      string // caller's
	key     claim.Key
	digest  uint64
	claimed bool
	claim   claim.ID
	since   time.Duration // before the claim was sent to the log
}

// newDedupKey returns how repeats of the request are known, or nil if it may be
// repeated or has no id that a repeat could show.
func newDedupKey(c *call, r *http.Request, repeatable bool, body []byte) *dedupKey {
	id := r.Header.Get(idempotencyHeader)
	if id == "" {
		id = r.Header.Get(requestIDHeader)
	}
	if id == "" || repeatable {
		return nil
	}
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery} {
		_, _ = h.WriteString(part + "\x00") // never fails
	}
	_, _ = h.Write(body) // never fails
	return &dedupKey{id: id, key: claim.KeyOf(c.accountName(), id), digest: h.Sum64()}
}

// serveDeduplicated runs the request, or answers a repeat of it.
func (s *Server) serveDeduplicated(ctx context.Context, w http.ResponseWriter, job *plainRequest) {
	for {
		e, first := s.answers.getOrStart(job.once.key, job.once.digest)
		if first {
			s.runClaimed(ctx, w, job, e)
			return
		}
		if e.digest != job.once.digest {
			claimFailure(claim.Decision{}).write(w)
			return
		}
		if err := e.wait(ctx); err != nil {
			duplicateUnknown().write(w)
			return
		}
		if e.outcome != retry.NotRun {
			s.writeDuplicate(w, job, responseReply{Known: true, Outcome: e.outcome}.with(e.plain))
			return
		}
	}
}

// runClaimed claims the request and sends it.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, job *plainRequest, entry *cachedResponse) {
	e := s.newRequestAttempts(job.call, job.service.Name, false)
	plain, err := s.plainAttempts(ctx, e, job)
	var taken *claimHeldError
	if errors.As(err, &taken) {
		// Others who wait here ask the holder for themselves.
		s.answers.finish(entry, retry.NotRun, nil)
		s.forwardDuplicate(ctx, w, job, taken.decision)
		return
	}
	if err != nil && e.outcome == retry.NotRun && job.once.claimed {
		s.claims.cancel(job.once.claim)
	}
	s.answers.finish(entry, e.outcome, plain)
	if err != nil {
		e.failure(ctx).write(w)
		return
	}
	plain.write(w)
}

// ensureClaimed takes the request in the log before its first byte goes out.
func (s *Server) ensureClaimed(ctx context.Context, o *dedupKey) error {
	if !o.claimed {
		since := s.Clock.Now()
		d, err := s.claims.acquire(ctx, o.key, o.digest)
		if err != nil {
			return err
		}
		if !d.Acquired {
			return &claimHeldError{d}
		}
		o.claimed, o.claim, o.since = true, d.ID, since
		if at, ok := claim.TimeOf(o.id); ok && at <= d.Horizon {
			return errClaimExpired
		}
	}
	if s.Clock.Now()-o.since > claimMaxAge {
		return errClaimUnconfirmed
	}
	return nil
}

// forwardDuplicate answers a repeat of a request that another attempt has claimed, with
// the answer that the claim's holder knows.
func (s *Server) forwardDuplicate(ctx context.Context, w http.ResponseWriter, job *plainRequest, d claim.Decision) {
	s.Events.Record("repeat refused a run", events.F("request", job.id), events.F("account", job.accountName()), events.F("holder", d.Holder))
	holder, ok := s.holderAddress(d.Holder)
	if !d.SameContent || !ok {
		claimFailure(d).write(w)
		return
	}
	var reply responseReply
	if err := s.Peers.Call(ctx, holder, peer.KindClaimedResponse, responseQuery{job.once.key}, &reply); err != nil {
		reply = responseReply{}
	}
	s.writeDuplicate(w, job, reply)
}

// holderAddress returns the address of a claim's holder while it runs.
func (s *Server) holderAddress(name string) (address string, ok bool) {
	id, _, _ := strings.Cut(name, "@")
	p, known := s.Loop.Snapshot().PeerByID[id]
	return p.Address, known && control.HolderName(p.Peer) == name
}

// writeDuplicate answers with what is known of the first run. Only the account that
// made the request gets its answer.
func (s *Server) writeDuplicate(w http.ResponseWriter, job *plainRequest, reply responseReply) {
	switch {
	case !reply.Known:
		duplicateUnknown().write(w)
	case reply.Outcome == retry.NotRun:
		refuse(http.StatusServiceUnavailable, "not_admitted", "the request was given up before it ran").write(w)
	case reply.Status == 0 || job.account == nil:
		f := duplicateUnknown()
		f.outcome = reply.Outcome
		f.write(w)
	default:
		w.Header().Set(repeatHeader, "true")
		(&plainResponse{status: reply.Status, header: reply.Header, body: reply.Body}).write(w)
	}
}

// responseQuery asks the holder of a claim for the request's answer.
type responseQuery struct {
	Key claim.Key `cbor:"1,keyasint"`
}

// responseReply is what the holder knows. Status is zero without an answer.
type responseReply struct {
	Known   bool          `cbor:"1,keyasint"`
	Outcome retry.Outcome `cbor:"2,keyasint"`
	Status  int           `cbor:"3,keyasint"`
	Header  http.Header   `cbor:"4,keyasint"`
	Body    []byte        `cbor:"5,keyasint"`
}

func (r responseReply) with(a *plainResponse) responseReply {
	if a != nil {
		r.Status, r.Header, r.Body = a.status, a.header, a.body
	}
	return r
}

// HandleClaimedResponse answers a peer that got a repeat of a request claimed here. It
// waits for the end of a request in flight.
func (s *Server) HandleClaimedResponse(ctx context.Context, body []byte) (any, error) {
	query, err := peer.Decode[responseQuery](body)
	if err != nil {
		return nil, err
	}
	e := s.answers.find(query.Key)
	if e == nil {
		return responseReply{}, nil
	}
	if err := e.wait(ctx); err != nil {
		return nil, err
	}
	return responseReply{Known: true, Outcome: e.outcome}.with(e.plain), nil
}
