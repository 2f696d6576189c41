package record

import "github.com/amaranthfold/amaranthfold/core/claim"

// The kinds of record about requests and targets.
const (
	KindClaims      Kind = 30 // Claims
	KindClaimsVoid  Kind = 31 // ClaimsVoid
	KindTargetDrain Kind = 32 // TargetDrain
)

// Claims takes non-repeatable requests for the author, each the first to come.
type Claims struct {
	UnixMillis int64         `cbor:"1,keyasint"` // author's wall clock, Unix milliseconds
	Claims     []claim.Claim `cbor:"2,keyasint"`
}

// ClaimsVoid gives up claims of the author whose requests have not run, also
// claims that are read later.
type ClaimsVoid struct {
	Claims []claim.ID `cbor:"1,keyasint"`
}

// TargetDrain takes new work from a target, or gives it back.
type TargetDrain struct {
	Target string `cbor:"1,keyasint"`
	Undo   bool   `cbor:"2,keyasint"`
	Actor  string `cbor:"3,keyasint"` // operator
}

// Kind implements Body.
func (Claims) Kind() Kind { return KindClaims }

// Kind implements Body.
func (ClaimsVoid) Kind() Kind { return KindClaimsVoid }

// Kind implements Body.
func (TargetDrain) Kind() Kind { return KindTargetDrain }
