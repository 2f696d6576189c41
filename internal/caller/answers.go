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
	maxCachedResponse = 256 << 10 // bytes of one response body
	maxCacheBytes     = 16 << 20  // bytes of all entries
	maxCacheEntries   = 1 << 15
	entryOverhead     = 512 // bytes of an entry besides its body
	cacheTTL          = 10 * time.Minute
)

// responseCache holds the non-repeatable requests that this instance runs or has run,
// and their final responses, so that a repeat gets the same response. Finished entries
// are evicted by age, size and number. It is safe for concurrent use.
type responseCache struct {
	now func() time.Duration

	mu       sync.Mutex
	byKey    map[claim.Key]*cachedResponse
	finished *list.List // finished *cachedResponse, oldest first
	bytes    int
}

// cachedResponse is the entry of one request, which is in flight until done is closed.
// The fields below done are set before that and not changed afterwards.
type cachedResponse struct {
	key        claim.Key
	digest     uint64
	done       chan struct{}
	outcome    retry.Outcome
	response   *plainResponse // nil: failed, or larger than maxCachedResponse
	finishedAt time.Duration
	size       int
}

func newResponseCache(now func() time.Duration) *responseCache {
	return &responseCache{now: now, byKey: map[claim.Key]*cachedResponse{}, finished: list.New()}
}

// getOrCreate returns the entry of the request and whether it was created by this call.
// If so, the caller runs the request and must call finish.
func (c *responseCache) getOrCreate(key claim.Key, digest uint64) (*cachedResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byKey[key]; existing != nil {
		return existing, false
	}
	created := &cachedResponse{key: key, digest: digest, done: make(chan struct{})}
	c.byKey[key] = created
	return created, true
}

// find returns the entry of the request, or nil.
func (c *responseCache) find(key claim.Key) *cachedResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey[key]
}

// finish sets the outcome and the response and unblocks the waiters. An entry with
// the outcome NotRun is removed, so that the next repeat may run.
func (c *responseCache) finish(e *cachedResponse, outcome retry.Outcome, response *plainResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(e.done)
	e.outcome = outcome
	if outcome == retry.NotRun {
		delete(c.byKey, e.key)
		return
	}
	e.size = entryOverhead
	if response != nil && len(response.body) <= maxCachedResponse {
		e.response = response
		e.size += len(response.body)
	}
	e.finishedAt = c.now()
	c.finished.PushBack(e)
	c.bytes += e.size
	c.evict()
}

// evict removes the oldest finished entries until none has expired and the cache is
// within its limits of size and number.
func (c *responseCache) evict() {
	for c.finished.Len() > 0 {
		oldest := c.finished.Front().Value.(*cachedResponse)
		expired := c.now()-oldest.finishedAt > cacheTTL
		if !expired && c.bytes <= maxCacheBytes && c.finished.Len() <= maxCacheEntries {
			return
		}
		c.finished.Remove(c.finished.Front())
		c.bytes -= oldest.size
		delete(c.byKey, oldest.key)
	}
}

// wait blocks until the entry is finished. It returns the cause if ctx ends first.
func (e *cachedResponse) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// alreadyClaimed returns the failure of a repeat to which this instance has no stored
// response.
func alreadyClaimed() *failure {
	return &failure{
		status: http.StatusConflict, code: "already_claimed", outcome: retry.Unknown,
		message: "the request was accepted before and is not run again; its answer is not known here",
	}
}
