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

// Key is an operator's key, of which only the digest is kept.
type Key struct {
	Operator string // name in records and events
	Digest   [32]byte
}

// defaultOperator is the operator of a key that is given without a name.
const defaultOperator = "operator"

// Errors of ParseKeys.
var (
	ErrNoKey        = errors.New("holds no key")
	ErrDuplicateKey = errors.New("names an operator twice")
)

// ParseKeys reads operators' keys: one key, or name=key pairs separated by
// commas. The error names no key.
func ParseKeys(list string) ([]Key, error) {
	var keys []Key
	seen := map[string]bool{}
	for part := range strings.SplitSeq(list, ",") {
		name, secret, named := strings.Cut(strings.TrimSpace(part), "=")
		if !named {
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

// operatorOf returns the name of the operator whose key came with the request.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}

// authenticated lets requests with an operator's key through. The time that it
// takes does not depend on which key comes closest.
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
