package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/pace"
)

// busyHold is how long an instance that ran jobs stays busy after the last one: the next
// job of a trainer follows within seconds.
const busyHold = 5 * time.Second

// followPace tells the goroutines that follow topics how long to pause between reads. It is
// safe for concurrent use.
type followPace struct {
	jobRequests atomic.Int32 // callers' requests about jobs in progress
	ranJobsAt   atomic.Int64 // when jobs last ran here, a reading of clock.Now in nanoseconds; zero: never
	instances   atomic.Int32 // known instances of the deployment
	recordsDue  chan struct{}
}

func newFollowPace() *followPace { return &followPace{recordsDue: make(chan struct{}, 1)} }

// expectRecords ends the current pause: this instance has appended records that it is to
// read back, or a caller waits for records.
func (p *followPace) expectRecords() {
	select {
	case p.recordsDue <- struct{}{}:
	default: // the next pause ends at once already
	}
}

// beginJobRequest marks the instance as busy until the returned function is called.
func (p *followPace) beginJobRequest() (end func()) {
	p.jobRequests.Add(1)
	p.expectRecords()
	return func() { p.jobRequests.Add(-1) }
}

// busy reports whether the instance needs new records at once: it runs jobs or did so
// recently, holds the lease, is stopping, or serves a request about a job.
func (in *Instance) busy() bool {
	p := in.pace
	ranJobs := p.ranJobsAt.Load()
	return p.jobRequests.Load() > 0 || in.isStopping() || in.controller.holdsLease.Load() ||
		ranJobs != 0 && in.clock.Now()-time.Duration(ranJobs) < busyHold
}

// followPause returns how long to pause between two reads of a topic.
func (in *Instance) followPause() time.Duration {
	return pace.Pause(int(in.pace.instances.Load()), in.cfg.Settings.Store.ReadsPerSecond, in.busy())
}

// pauseFollowing waits for followPause, or until records are expected.
func (in *Instance) pauseFollowing(ctx context.Context) {
	pause := in.followPause()
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-in.pace.recordsDue:
	}
}
