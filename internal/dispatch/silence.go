package dispatch

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/control"
)

// silences remembers since when engines have not answered for their load.
type silences struct {
	mu    sync.Mutex
	since map[string]time.Duration // by target
}

func newSilences() *silences { return &silences{since: map[string]time.Duration{}} }

// answered ends a target's silence.
func (s *silences) answered(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, target)
}

// missed returns how long a target that has not answered at now has been silent.
func (s *silences) missed(target string, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.since[target]
	if !known {
		s.since[target], since = now, now
	}
	return now - since
}

// keep forgets the targets that this instance does not own any more.
func (s *silences) keep(owned []control.TargetLoad) {
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
