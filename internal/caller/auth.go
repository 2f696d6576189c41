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

// keyHeaders are the headers that may contain a key, directly or within a URL or
// cookie. None is forwarded.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie", "Referer"}

// keyParams are the query parameters that may contain a key, in lower case.
var keyParams = []string{"api_key", "apikey", "api-key", "key", "access_token"}

// minSecretBytes is the minimum length of a value in one of these headers or parameters
// for which the other headers and parameters are searched, too.
const minSecretBytes = 8

// takeKey returns the key of the request, or "", and removes it from the request. It
// removes all headers and query parameters that may contain a key, and all others that
// contain one of their values of at least minSecretBytes. Code that runs later has no
// access to the key, nor to an invalid key.
func takeKey(r *http.Request) string {
	var key string
	var secrets []string
	collect := func(value string, usable bool) {
		value = strings.TrimSpace(value)
		if key == "" && usable {
			key = value
		}
		if len(value) >= minSecretBytes {
			secrets = append(secrets, value)
		}
	}
	for _, auth := range r.Header["Authorization"] {
		words := strings.Fields(auth)
		for i, word := range words {
			collect(word, i == 1 && strings.EqualFold(words[0], "Bearer"))
		}
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		for _, value := range r.Header[name] {
			collect(value, true)
		}
	}
	for _, name := range keyHeaders {
		r.Header.Del(name)
	}
	kept := removeKeyParams(r.URL.RawQuery, func(value string) { collect(value, true) })
	kept = slices.DeleteFunc(kept, func(pair string) bool { return containsSecret(pair, secrets) })
	r.URL.RawQuery = strings.Join(kept, "&")
	r.RequestURI = (&url.URL{Path: r.URL.Path, RawQuery: r.URL.RawQuery}).RequestURI()
	removeSecretHeaders(r.Header, secrets)
	return key
}

// removeKeyParams returns the query's parameters without those that may contain a key,
// whose values it passes to collect, and without those that cannot be parsed.
func removeKeyParams(raw string, collect func(value string)) (kept []string) {
	for _, pair := range strings.FieldsFunc(raw, func(c rune) bool { return c == '&' || c == ';' }) {
		name, value, _ := strings.Cut(pair, "=")
		name, nameErr := url.QueryUnescape(name)
		decoded, valueErr := url.QueryUnescape(value)
		switch {
		case nameErr != nil || valueErr != nil:
		case slices.Contains(keyParams, strings.ToLower(name)):
			collect(decoded)
		default:
			kept = append(kept, pair)
		}
	}
	return kept
}

// removeSecretHeaders removes the headers that contain one of the secrets.
func removeSecretHeaders(h http.Header, secrets []string) {
	for name, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return containsSecret(v, secrets) }) {
			delete(h, name)
		}
	}
}

// containsSecret reports whether the text contains one of the secrets.
func containsSecret(text string, secrets []string) bool {
	return slices.ContainsFunc(secrets, func(secret string) bool { return strings.Contains(text, secret) })
}

// activeRequests holds the requests in flight that were admitted with a key, so that
// they can be cancelled when the key is withdrawn. It is safe for concurrent use.
type activeRequests struct {
	mu     sync.Mutex
	nextID uint64
	active map[uint64]*activeRequest
}

// activeRequest is a request in flight with the key that admitted it.
type activeRequest struct {
	key            fold.Key
	checkedVersion keysVersion // version at which the key was last found granted; zero: none
	cancel         context.CancelCauseFunc
}

// keysVersion identifies a version of the granted keys and of the accounts.
type keysVersion struct {
	keys   uint64
	config record.Offset
}

func newActiveRequests() *activeRequests { return &activeRequests{active: map[uint64]*activeRequest{}} }

// track returns a context that cancelWithdrawn and cancelAll cancel, and a function that
// must be called at the end of the request.
func (s *activeRequests) track(ctx context.Context, key fold.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.active[id] = &activeRequest{key: key, cancel: cancel}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.active, id)
		s.mu.Unlock()
		cancel(nil)
	}
}

// cancelWithdrawn cancels the requests whose key is no longer granted or whose client
// account no longer exists. If the snapshot is not fresh, it cancels all: a stale
// snapshot may lack the withdrawal of a key.
func (s *activeRequests) cancelWithdrawn(snapshot *control.Snapshot, now time.Duration) {
	fresh := snapshot.Config != nil && snapshot.Fresh(now, snapshot.Config.Control.FreshFor)
	version := keysVersion{snapshot.KeysVersion, snapshot.ConfigOffset}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		switch {
		case !fresh:
			a.cancel(errConfigStale)
		case a.checkedVersion == version:
		case granted(snapshot, a.key):
			a.checkedVersion = version
		default:
			a.cancel(errKeyWithdrawn)
		}
	}
}

// cancelAll cancels every request that was admitted with a key.
func (s *activeRequests) cancelAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		a.cancel(cause)
	}
}

// granted reports whether the key is granted to its account and the account exists.
func granted(snapshot *control.Snapshot, key fold.Key) bool {
	current, found := snapshot.Keys.Get(key.Digest)
	return found && current.Account == key.Account && snapshot.Config.Account(key.Account) != nil
}

// watch calls cancelWithdrawn at intervals until ctx ends.
func (s *activeRequests) watch(ctx context.Context, loop *control.Loop, c clock.Clock) error {
	return clock.Every(ctx, withdrawalCheckInterval, func() { s.cancelWithdrawn(loop.Snapshot(), c.Now()) })
}

const withdrawalCheckInterval = 100 * time.Millisecond
