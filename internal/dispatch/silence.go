package dispatch

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/control"
)

// loadFailures holds, for each engine whose load requests fail, the time of the first
// failure since the last success. It is safe for concurrent use.
type loadFailures struct {
	mu    sync.Mutex
	since map[string]time.Duration // by target: clock reading at the first failure
}

func newLoadFailures() *loadFailures { return &loadFailures{since: map[string]time.Duration{}} }

// succeeded clears the target's failures.
func (s *loadFailures) succeeded(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, target)
}

// failedFor records that the target's load request failed at now. It returns the time
// since the first failure after the last success.
func (s *loadFailures) failedFor(target string, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, found := s.since[target]
	if !found {
		s.since[target], since = now, now
	}
	return now - since
}

// retainOnly discards the targets that are not in owned: this instance no longer owns
// them.
func (s *loadFailures) retainOnly(owned []control.TargetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.since) == 0 {
		return
	}
	kept := make(map[string]time.Duration, len(s.since))
	for i := range owned {
		if since, failing := s.since[owned[i].Target]; failing {
			kept[owned[i].Target] = since
		}
	}
	s.since = kept
}
