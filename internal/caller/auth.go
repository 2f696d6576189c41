package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
)

// keyHeaders are the headers that may carry a key, or a URL or cookie with one.
// None is passed on.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie", "Referer"}

// keyParams are the query parameters that may carry a key, in lower case.
var keyParams = []string{"api_key", "apikey", "api-key", "key", "access_token"}

// minSecretBytes is the length, in bytes, from which a value that stood in a key's
// place is searched for in the other headers.
const minSecretBytes = 8

// takeKey removes the key from every place of the request where it can stand
// and returns it. Nothing after this call sees the key, or a wrong one.
func takeKey(r *http.Request) string {
	var found string
	var secrets []string
	take := func(value string, usable bool) {
		value = strings.TrimSpace(value)
		if found == "" && usable {
			found = value
		}
		if len(value) >= minSecretBytes {
			secrets = append(secrets, value)
		}
	}
	for _, auth := range r.Header["Authorization"] {
		words := strings.Fields(auth)
		for i, word := range words {
			take(word, i == 1 && strings.EqualFold(words[0], "Bearer"))
		}
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		for _, value := range r.Header[name] {
			take(value, true)
		}
	}
	for _, name := range keyHeaders {
		r.Header.Del(name)
	}
	kept := cleanQuery(r.URL.RawQuery, func(value string) { take(value, true) })
	kept = slices.DeleteFunc(kept, func(pair string) bool { return containsSecret(pair, secrets) })
	r.URL.RawQuery = strings.Join(kept, "&")
	r.RequestURI = (&url.URL{Path: r.URL.Path, RawQuery: r.URL.RawQuery}).RequestURI()
	removeSecretHeaders(r.Header, secrets)
	return found
}

// cleanQuery returns the query's parameters but those that may carry a key, whose
// values it hands to take, and those that cannot be parsed.
func cleanQuery(raw string, take func(value string)) (kept []string) {
	for _, pair := range strings.FieldsFunc(raw, func(c rune) bool { return c == '&' || c == ';' }) {
		name, value, _ := strings.Cut(pair, "=")
		name, nameErr := url.QueryUnescape(name)
		text, valueErr := url.QueryUnescape(value)
		switch {
		case nameErr != nil || valueErr != nil:
		case slices.Contains(keyParams, strings.ToLower(name)):
			take(text)
		default:
			kept = append(kept, pair)
		}
	}
	return kept
}

// removeSecretHeaders removes the headers that hold one of the secrets.
func removeSecretHeaders(h http.Header, secrets []string) {
	for name, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return containsSecret(v, secrets) }) {
			delete(h, name)
		}
	}
}

func containsSecret(text string, secrets []string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool { return strings.Contains(text, secret) })
}

// activeRequests knows the requests in flight by key, to end those of a withdrawn one.
type activeRequests struct {
	mu     sync.Mutex
	next   uint64
	active map[uint64]*activeRequest
}

type activeRequest struct {
	key     fold.Key
	checked keysVersion // at which the key was last found granted
	cancel  context.CancelCauseFunc
}

// keysVersion names a set of granted keys and accounts.
type keysVersion struct {
	keys   uint64
	config record.Offset
}

func newSessions() *activeRequests { return &activeRequests{active: map[uint64]*activeRequest{}} }

// track returns a context that ends when the key is withdrawn.
func (s *activeRequests) track(ctx context.Context, key fold.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.next++
	id := s.next
	s.active[id] = &activeRequest{key: key, cancel: cancel}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.active, id)
		s.mu.Unlock()
		cancel(nil)
	}
}

// cancelRevoked ends the requests whose key or client account is not granted any more.
// While the snapshot is not fresh every keyed request ends: a withdrawal may
// have gone unseen.
func (s *activeRequests) cancelRevoked(snapshot *control.Snapshot, now time.Duration) {
	fresh := snapshot.Config != nil && snapshot.Fresh(now, snapshot.Config.Control.FreshFor)
	version := keysVersion{snapshot.KeysVersion, snapshot.ConfigOffset}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		switch {
		case !fresh:
			a.cancel(errConfigStale)
		case a.checked == version:
		case granted(snapshot, a.key):
			a.checked = version
		default:
			a.cancel(errKeyWithdrawn)
		}
	}
}

// cancelAll ends every keyed request with the cause.
func (s *activeRequests) cancelAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		a.cancel(cause)
	}
}

func granted(snapshot *control.Snapshot, key fold.Key) bool {
	current, held := snapshot.Keys.Get(key.Digest)
	return held && current.Account == key.Account && snapshot.Config.Account(key.Account) != nil
}

// watch sweeps until ctx ends.
func (s *activeRequests) watch(ctx context.Context, loop *control.Loop, c clock.Clock) error {
	return clock.Every(ctx, sweepInterval, func() { s.cancelRevoked(loop.Snapshot(), c.Now()) })
}

const sweepInterval = 100 * time.Millisecond
