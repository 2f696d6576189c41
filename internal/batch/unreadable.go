package batch

import (
	"errors"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// loadRetryDelay is the delay before a job that could not be read is read again. It doubles with
	// each failure, up to maxLoadRetryDelay: the log may have lost what the job consists of, or
	// another writer has made the job up. If the log is out of reach, it comes back within seconds.
	loadRetryDelay       = 200 * time.Millisecond
	maxLoadRetryDelay    = 20 * time.Second
	outOfReachRetryDelay = time.Second
)

// unreadableJobs holds the jobs that this instance could not read. It neither runs nor claims one
// until it tries again, so that another instance may. It is safe for concurrent use.
type unreadableJobs struct {
	mu   sync.Mutex
	byID map[string]loadRetry
}

type loadRetry struct{ at, delay time.Duration }

// add notes a failure, and returns the delay before the next try.
func (u *unreadableJobs) add(now time.Duration, id string, err error) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	for other, r := range u.byID {
		if now-r.at > maxLoadRetryDelay { // another instance runs it, or it is no longer open
			delete(u.byID, other)
		}
	}
	if u.byID == nil {
		u.byID = map[string]loadRetry{}
	}
	longest := maxLoadRetryDelay
	if errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrOutcomeUnknown) {
		longest = outOfReachRetryDelay
	}
	delay := min(max(loadRetryDelay, 2*u.byID[id].delay), longest)
	u.byID[id] = loadRetry{now + delay, delay}
	return delay
}

// remove notes that the job could be read.
func (u *unreadableJobs) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byID, id)
}

// isPutOff reports whether the job is not to be read yet.
func (u *unreadableJobs) isPutOff(now time.Duration, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.byID[id].at
}

// nextTry returns the time until the next job may be read again, at most limit.
func (u *unreadableJobs) nextTry(now, limit time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.byID {
		if now < r.at {
			limit = min(limit, r.at-now)
		}
	}
	return limit
}
