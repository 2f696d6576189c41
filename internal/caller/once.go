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
	repeatHeader      = "X-Amaranth-Repeat" // marks a stored response that is sent to a repeat
)

// dedupKey identifies a non-repeatable request, so that its repeats are detected, and
// holds its claim. At most one attempt reaches a target, no matter how often and through
// which instances the caller sends the request.
type dedupKey struct {
	id             string // the caller's idempotency key, or else its request id
	key            claim.Key
	digest         uint64 // hash of the method, path, query and body
	claimed        bool
	claim          claim.ID
	claimStartedAt time.Duration // when the claim was requested: its age is at most the time since then
}

// newDedupKey returns the key that repeats of the request share, or nil if the request is
// repeatable or has neither an idempotency key nor a request id.
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

// serveDeduplicated runs the request, or responds to a repeat of it. A repeat waits for
// the request in flight and runs if that one has not run.
func (s *Server) serveDeduplicated(ctx context.Context, w http.ResponseWriter, req *plainRequest) {
	for {
		entry, first := s.responses.getOrCreate(req.dedup.key, req.dedup.digest)
		if first {
			s.runClaimed(ctx, w, req, entry)
			return
		}
		if entry.digest != req.dedup.digest {
			claimFailure(claim.Decision{}).write(w)
			return
		}
		if err := entry.wait(ctx); err != nil {
			alreadyClaimed().write(w)
			return
		}
		if entry.outcome != retry.NotRun {
			s.respondToRepeat(w, req, responseReply{Known: true, Outcome: entry.outcome}.withResponse(entry.response))
			return
		}
	}
}

// runClaimed claims the request, sends it and finishes its entry. If another attempt
// holds the claim, it responds as to a repeat.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, req *plainRequest, entry *cachedResponse) {
	attempts := s.newRequestAttempts(req.call, req.service.Name, false)
	response, err := s.plainAttempts(ctx, attempts, req)
	var held *claimHeldError
	if errors.As(err, &held) {
		// The entry ends as not run, so that local waiters try to acquire the claim
		// or query its holder on their own.
		s.responses.finish(entry, retry.NotRun, nil)
		s.respondFromHolder(ctx, w, req, held.decision)
		return
	}
	if err != nil && attempts.outcome == retry.NotRun && req.dedup.claimed {
		s.claims.cancel(req.dedup.claim)
	}
	s.responses.finish(entry, attempts.outcome, response)
	if err != nil {
		attempts.failure(ctx).write(w)
		return
	}
	response.write(w)
}

// ensureClaimed claims the request in the log unless an earlier attempt of this call has
// done so. It returns nil if the request may be sent now: the claim is held and not older
// than claimMaxAge. An id that is a UUID of version 7 contains a time. If that is not
// after the newest evicted claim, a claim of the same request may have been evicted, so
// the request is refused.
func (s *Server) ensureClaimed(ctx context.Context, dedup *dedupKey) error {
	if !dedup.claimed {
		claimStartedAt := s.Clock.Now()
		d, err := s.claims.acquire(ctx, dedup.key, dedup.digest)
		if err != nil {
			return err
		}
		if !d.Acquired {
			return &claimHeldError{d}
		}
		dedup.claimed, dedup.claim, dedup.claimStartedAt = true, d.ID, claimStartedAt
		if at, ok := claim.TimeOf(dedup.id); ok && at <= d.Horizon {
			return errClaimExpired
		}
	}
	if s.Clock.Now()-dedup.claimStartedAt > claimMaxAge {
		return errClaimUnconfirmed
	}
	return nil
}

// respondFromHolder responds to a repeat of a request that another attempt has claimed,
// with the response that it requests from the claim's holder.
func (s *Server) respondFromHolder(ctx context.Context, w http.ResponseWriter, req *plainRequest, d claim.Decision) {
	s.Events.Record("repeat refused a run", events.F("request", req.id), events.F("account", req.accountName()), events.F("holder", d.Holder))
	holder, ok := s.holderAddress(d.Holder)
	if !d.SameContent || !ok {
		claimFailure(d).write(w)
		return
	}
	var reply responseReply
	if err := s.Peers.Call(ctx, holder, peer.KindClaimedResponse, responseQuery{req.dedup.key}, &reply); err != nil {
		reply = responseReply{}
	}
	s.respondToRepeat(w, req, reply)
}

// holderAddress returns the address of a claim's holder, or false if that incarnation no
// longer runs.
func (s *Server) holderAddress(name string) (address string, ok bool) {
	id, _, _ := strings.Cut(name, "@")
	p, found := s.Loop.Snapshot().PeerByID[id]
	return p.Address, found && control.HolderName(p.Peer) == name
}

// respondToRepeat responds to a repeat with the stored response to the first request, or
// with its outcome. Only the account that sent the request gets the response: repeats on
// open routes, which have no account, get the outcome.
func (s *Server) respondToRepeat(w http.ResponseWriter, req *plainRequest, reply responseReply) {
	switch {
	case !reply.Known:
		alreadyClaimed().write(w)
	case reply.Outcome == retry.NotRun:
		refuse(http.StatusServiceUnavailable, "not_admitted", "the request was given up before it ran").write(w)
	case reply.Status == 0 || req.account == nil:
		f := alreadyClaimed()
		f.outcome = reply.Outcome
		f.write(w)
	default:
		w.Header().Set(repeatHeader, "true")
		(&plainResponse{status: reply.Status, header: reply.Header, body: reply.Body}).write(w)
	}
}

// responseQuery requests the response to a request from the holder of its claim.
type responseQuery struct {
	Key claim.Key `cbor:"1,keyasint"`
}

// responseReply is the reply of the claim's holder. Known is false if it has no entry of
// the request; Status is zero if it has no response.
type responseReply struct {
	Known   bool          `cbor:"1,keyasint"`
	Outcome retry.Outcome `cbor:"2,keyasint"`
	Status  int           `cbor:"3,keyasint"`
	Header  http.Header   `cbor:"4,keyasint"`
	Body    []byte        `cbor:"5,keyasint"`
}

// withResponse returns the reply with the response, which may be nil.
func (r responseReply) withResponse(response *plainResponse) responseReply {
	if response != nil {
		r.Status, r.Header, r.Body = response.status, response.header, response.body
	}
	return r
}

// HandleClaimedResponse handles the query of a peer that received a repeat of a request
// claimed by this instance. It waits for a request in flight to end.
func (s *Server) HandleClaimedResponse(ctx context.Context, body []byte) (any, error) {
	query, err := peer.Decode[responseQuery](body)
	if err != nil {
		return nil, err
	}
	entry := s.responses.find(query.Key)
	if entry == nil {
		return responseReply{}, nil
	}
	if err := entry.wait(ctx); err != nil {
		return nil, err
	}
	return responseReply{Known: true, Outcome: entry.outcome}.withResponse(entry.response), nil
}
