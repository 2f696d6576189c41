package dispatch

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/control"
)

// loadFailures remembers since when engines have not answered for their load.
type loadFailures struct {
	mu    sync.Mutex
	since map[string]time.Duration // by target
}

func newLoadFailures() *loadFailures { return &loadFailures{since: map[string]time.Duration{}} }

// succeeded ends a target's silence.
func (s *loadFailures) succeeded(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, target)
}

// failedFor returns how long a target that has not answered at now has been silent.
func (s *loadFailures) failedFor(target string, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.since[target]
	if !known {
		s.since[target], since = now, now
	}
	return now - since
}

// retainOnly forgets the targets that this instance does not own any more.
func (s *loadFailures) retainOnly(owned []control.TargetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.since) == 0 {
		return
	}
	kept := make(map[string]time.Duration, len(s.since))
	for i := range owned {
		if since, silent := s.since[owned[i].Target]; silent {
			kept[owned[i].Target] = since
		}
	}
	s.since = kept
}
