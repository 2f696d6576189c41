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
	maxAnswerKept  = 256 << 10 // bytes of one answer
	maxAnswersKept = 16 << 20  // bytes of all
	maxAnswerCount = 1 << 15
	answerOverhead = 512 // bytes of an entry besides its body
	answerKeptFor  = 10 * time.Minute
)

// answers keeps the final answers of non-repeatable requests, so that a repeat
// gets the same one. It is safe for concurrent use.
type answers struct {
	now func() time.Duration

	mu    sync.Mutex
	byKey map[claim.Key]*answer
	order *list.List // of finished *answer, oldest first
	bytes int
}

// answer is one request's, in flight until done is closed. The rest is set
// before that and not changed afterwards.
type answer struct {
	key     claim.Key
	digest  uint64
	done    chan struct{}
	outcome retry.Outcome
	plain   *plainAnswer // nil: failed, or too large to keep
	ended   time.Duration
	size    int
}

func newAnswers(now func() time.Duration) *answers {
	return &answers{now: now, byKey: map[claim.Key]*answer{}, order: list.New()}
}

// begin returns the request's answer and whether the caller is to produce it.
// Whoever produces it must call finish.
func (a *answers) begin(key claim.Key, digest uint64) (*answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.byKey[key]; known != nil {
		return known, false
	}
	fresh := &answer{key: key, digest: digest, done: make(chan struct{})}
	a.byKey[key] = fresh
	return fresh, true
}

// find returns what is known of the request, or nil.
func (a *answers) find(key claim.Key) *answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKey[key]
}

// finish sets the answer and wakes those who wait for it. One that has not run
// is forgotten: the next repeat may run.
func (a *answers) finish(e *answer, outcome retry.Outcome, plain *plainAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(e.done)
	e.outcome = outcome
	if outcome == retry.NotRun {
		delete(a.byKey, e.key)
		return
	}
	e.size = answerOverhead
	if plain != nil && len(plain.body) <= maxAnswerKept {
		e.plain = plain
		e.size += len(plain.body)
	}
	e.ended = a.now()
	a.order.PushBack(e)
	a.bytes += e.size
	a.trim()
}

func (a *answers) trim() {
	for a.order.Len() > 0 {
		oldest := a.order.Front().Value.(*answer)
		old := a.now()-oldest.ended > answerKeptFor
		if !old && a.bytes <= maxAnswersKept && a.order.Len() <= maxAnswerCount {
			return
		}
		a.order.Remove(a.order.Front())
		a.bytes -= oldest.size
		delete(a.byKey, oldest.key)
	}
}

// wait returns once the answer is final or ctx ends.
func (e *answer) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// repeatUnknown refuses a repeat whose answer is not known here.
func repeatUnknown() *failure {
	return &failure{
		status: http.StatusConflict, code: "already_claimed", outcome: retry.Unknown,
		message: "the request was accepted before and is not run again; its answer is not known here",
	}
}
