package record

import "github.com/amaranthfold/amaranthfold/core/claim"

// The kinds of record about requests and targets.
const (
	KindClaims      Kind = 30
	KindClaimsVoid  Kind = 31
	KindTargetDrain Kind = 32
)

// Claims claims non-idempotent requests for the author. A claim succeeds only if the
// log contains no earlier claim to the same request that is still active.
type Claims struct {
	UnixMillis int64         `cbor:"1,keyasint"` // author's wall clock, Unix milliseconds
	Claims     []claim.Claim `cbor:"2,keyasint"`
}

// ClaimsVoid cancels claims of the author whose requests have not run. A
// cancellation that precedes its claim in the log cancels the claim in advance.
type ClaimsVoid struct {
	Claims []claim.ID `cbor:"1,keyasint"`
}

// TargetDrain stops new work on a target, or allows it again if Undo is set.
type TargetDrain struct {
	Target string `cbor:"1,keyasint"`
	Undo   bool   `cbor:"2,keyasint"`
	Actor  string `cbor:"3,keyasint"` // operator who ordered it
}

// Kind implements Body.
func (Claims) Kind() Kind { return KindClaims }

// Kind implements Body.
func (ClaimsVoid) Kind() Kind { return KindClaimsVoid }

// Kind implements Body.
func (TargetDrain) Kind() Kind { return KindTargetDrain }
