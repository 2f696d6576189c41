package caller

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
)

// keyHeaders are the headers, besides Authorization, that may carry a key.
var keyHeaders = []string{"X-Api-Key", "Api-Key"}

// keyParams are the query parameters that may carry a key.
var keyParams = []string{"api_key", "key"}

// takeKey removes the key from every place of the request where it can stand
// and returns it. Nothing after this call sees the key.
func takeKey(r *http.Request) string {
	found := ""
	if auth := r.Header.Get("Authorization"); auth != "" {
		scheme, value, _ := strings.Cut(auth, " ")
		if strings.EqualFold(scheme, "Bearer") {
			found = strings.TrimSpace(value)
		}
		r.Header.Del("Authorization")
	}
	for _, name := range keyHeaders {
		if found == "" {
			found = r.Header.Get(name)
		}
		r.Header.Del(name)
	}
	query := r.URL.Query()
	for _, name := range keyParams {
		if found == "" {
			found = query.Get(name)
		}
		query.Del(name)
	}
	r.URL.RawQuery = query.Encode()
	r.RequestURI = (&url.URL{Path: r.URL.Path, RawQuery: r.URL.RawQuery}).RequestURI()
	return found
}

// sessions knows the requests in flight by key, to end those of a withdrawn one.
type sessions struct {
	mu     sync.Mutex
	next   uint64
	active map[uint64]session
}

type session struct {
	key    fold.Key
	cancel context.CancelCauseFunc
}

func newSessions() *sessions { return &sessions{active: map[uint64]session{}} }

// begin returns a context that ends when the key is withdrawn.
func (s *sessions) begin(ctx context.Context, key fold.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.next++
	id := s.next
	s.active[id] = session{key, cancel}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.active, id)
		s.mu.Unlock()
		cancel(nil)
	}
}

// sweep ends the requests whose key is not granted any more. While the snapshot
// is not fresh every keyed request ends: a withdrawal may have gone unseen.
func (s *sessions) sweep(snapshot *control.Snapshot, now time.Duration) {
	fresh := snapshot.Config != nil && snapshot.Fresh(now, snapshot.Config.Control.FreshFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.active {
		if _, granted := snapshot.Keys.Get(a.key.Digest); !granted {
			a.cancel(errKeyWithdrawn)
		} else if !fresh {
			a.cancel(errStale)
		}
	}
}

// watch sweeps until ctx ends.
func (s *sessions) watch(ctx context.Context, loop *control.Loop, c clock.Clock) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.sweep(loop.Snapshot(), c.Now())
		}
	}
}

const sweepInterval = 100 * time.Millisecond
