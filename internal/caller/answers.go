package caller

import (
	"container/list"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/retry"
)

const (
	maxCachedResponse = 256 << 10 // bytes of one answer
	maxCacheBytes     = 16 << 20  // bytes of all
	maxCacheEntries   = 1 << 15
	answerOverhead    = 512 // bytes of an entry besides its body
	cacheTTL          = 10 * time.Minute
)

// responseCache keeps the final answers of non-repeatable requests, so that a repeat
// gets the same one. It is safe for concurrent use.
type responseCache struct {
	now func() time.Duration

	mu    sync.Mutex
	byKey map[claim.Key]*cachedResponse
	order *list.List // of finished *answer, oldest first
	bytes int
}

// cachedResponse is one request's, in flight until done is closed. The rest is set
// before that and not changed afterwards.
type cachedResponse struct {
	key     claim.Key
	digest  uint64
	done    chan struct{}
	outcome retry.Outcome
	plain   *plainResponse // nil: failed, or too large to keep
	ended   time.Duration
	size    int
}

func newAnswers(now func() time.Duration) *responseCache {
	return &responseCache{now: now, byKey: map[claim.Key]*cachedResponse{}, order: list.New()}
}

// getOrStart returns the request's answer and whether the caller is to produce it.
// Whoever produces it must call finish.
func (a *responseCache) getOrStart(key claim.Key, digest uint64) (*cachedResponse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byKey[key]; known != nil {
		return known, false
	}
	fresh := &cachedResponse{key: key, digest: digest, done: make(chan struct{})}
	a.byKey[key] = fresh
	return fresh, true
}

// find returns what is known of the request, or nil.
func (a *responseCache) find(key claim.Key) *cachedResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKey[key]
}

// finish sets the answer and wakes those who wait for it. One that has not run
// is forgotten: the next repeat may run.
func (a *responseCache) finish(e *cachedResponse, outcome retry.Outcome, plain *plainResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(e.done)
	e.outcome = outcome
	if outcome == retry.NotRun {
		delete(a.byKey, e.key)
		return
	}
	e.size = answerOverhead
	if plain != nil && len(plain.body) <= maxCachedResponse {
		e.plain = plain
		e.size += len(plain.body)
	}
	e.ended = a.now()
	a.order.PushBack(e)
	a.bytes += e.size
	a.evict()
}

func (a *responseCache) evict() {
	for a.order.Len() > 0 {
		oldest := a.order.Front().Value.(*cachedResponse)
		old := a.now()-oldest.ended > cacheTTL
		if !old && a.bytes <= maxCacheBytes && a.order.Len() <= maxCacheEntries {
			return
		}
		a.order.Remove(a.order.Front())
		a.bytes -= oldest.size
		delete(a.byKey, oldest.key)
	}
}

// wait returns once the answer is final or ctx ends.
func (e *cachedResponse) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// duplicateUnknown refuses a repeat whose answer is not known here.
func duplicateUnknown() *failure {
	return &failure{
		status: http.StatusConflict, code: "already_claimed", outcome: retry.Unknown,
		message: "the request was accepted before and is not run again; its answer is not known here",
	}
}
