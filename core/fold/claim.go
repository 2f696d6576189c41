package fold

import (
	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// foldClaims returns one decision for each claim of the record, in order. A claim
// that fails does not affect the others.
func (s *State) foldClaims(author string, b record.Claims) []claim.Decision {
	out := make([]claim.Decision, len(b.Claims))
	for i, c := range b.Claims {
		out[i] = s.Claims.Acquire(author, b.UnixMillis, c)
	}
	return out
}

// foldClaimsVoid cancels the author's claims to requests that have not run.
func (s *State) foldClaimsVoid(author string, b record.ClaimsVoid) (Verdict, error) {
	for _, id := range b.Claims {
		s.Claims.Cancel(author, id)
	}
	return Accepted, nil
}
