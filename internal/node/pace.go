package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/pace"
)

// busyHold is how long an instance that ran jobs stays busy after the last one: the next
// job of a trainer follows within seconds.
const busyHold = 5 * time.Second

// Pace tells the goroutines that follow topics how long to pause between reads. It is
// safe for concurrent use.
type Pace struct {
	jobRequests atomic.Int32 // callers' requests about jobs in progress
	RanJobsAt   atomic.Int64 // when jobs last ran here, a reading of clock.Now in nanoseconds; zero: never
	Instances   atomic.Int32 // known instances of the deployment
	LeaseHeld   atomic.Bool  // this instance holds the controller lease, as of its last check
	recordsDue  chan struct{}
}

func newFollowPace() *Pace { return &Pace{recordsDue: make(chan struct{}, 1)} }

// expectRecords ends the current pause: this instance has appended records that it is to
// read back, or a caller waits for records.
func (p *Pace) expectRecords() {
	select {
	case p.recordsDue <- struct{}{}:
	default: // the next pause ends at once already
	}
}

// BeginJobRequest marks the instance as busy until the returned function is called.
func (p *Pace) BeginJobRequest() (end func()) {
	p.jobRequests.Add(1)
	p.expectRecords()
	return func() { p.jobRequests.Add(-1) }
}

// Busy reports whether the instance needs new records at once: it runs jobs or did so
// recently, holds the lease, is stopping, or serves a request about a job.
func (n *Node) Busy() bool {
	p := n.Pace
	ranJobs := p.RanJobsAt.Load()
	return p.jobRequests.Load() > 0 || n.IsStopping() || p.LeaseHeld.Load() ||
		ranJobs != 0 && n.Clock.Now()-time.Duration(ranJobs) < busyHold
}

// followPause returns how long to pause between two reads of a topic.
func (n *Node) followPause() time.Duration {
	return pace.Pause(int(n.Pace.Instances.Load()), n.Settings.Store.ReadsPerSecond, n.Busy())
}

// pauseFollowing waits for followPause, or until records are expected.
func (n *Node) pauseFollowing(ctx context.Context) {
	pause := n.followPause()
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.Pace.recordsDue:
	}
}
