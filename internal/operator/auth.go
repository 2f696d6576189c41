package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Key identifies an operator by the SHA-256 digest of the operator's key. The key itself
// is not kept.
type Key struct {
	Operator string // the operator's name in records and events
	Digest   [32]byte
}

// defaultOperator is the operator's name for a key that is given without one.
const defaultOperator = "operator"

// Errors returned by ParseKeys.
var (
	ErrNoKey        = errors.New("holds no key")
	ErrDuplicateKey = errors.New("names an operator twice")
)

// ParseKeys parses operators' keys: one key, or name=key pairs separated by commas. It
// fails with ErrNoKey if a name or a key is empty and with ErrDuplicateKey if a name
// occurs twice. The error text contains no key.
func ParseKeys(list string) ([]Key, error) {
	var keys []Key
	seen := map[string]bool{}
	for part := range strings.SplitSeq(list, ",") {
		name, secret, hasName := strings.Cut(strings.TrimSpace(part), "=")
		if !hasName {
			name, secret = defaultOperator, name
		}
		if name == "" || secret == "" {
			return nil, ErrNoKey
		}
		if seen[name] {
			return nil, fmt.Errorf("%w: %q", ErrDuplicateKey, name)
		}
		seen[name] = true
		keys = append(keys, Key{Operator: name, Digest: sha256.Sum256([]byte(secret))})
	}
	return keys, nil
}

type operatorContextKey struct{}

// operatorOf returns the name of the operator who sent an authenticated request.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

// authenticated passes requests with an operator's key to next and responds to others
// with status 401. It compares the digests of all keys in constant time, so that the
// response time does not depend on which key is closest to the one given.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(secret))
		name := ""
		for _, k := range s.Keys {
			if subtle.ConstantTimeCompare(digest[:], k.Digest[:]) == 1 {
				name = k.Operator
			}
		}
		if name == "" {
			writeError(w, http.StatusUnauthorized, "unauthorized", errors.New("the operator key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	})
}
