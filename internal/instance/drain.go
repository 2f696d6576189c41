package instance

import (
	"context"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// drainGracePeriod is how long new requests are still served after readyPath has
	// begun to fail, so that load balancers and peers have time to stop sending them.
	drainGracePeriod  = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// targetsTimeout is the time after its start from which an instance may be ready without
	// the target lists of all data centres.
	targetsTimeout      = 10 * time.Second
	cancelTimeout       = time.Second     // for the error responses of cancelled requests to be sent
	leaseReleaseTimeout = 3 * time.Second // for the releases of leases to be read back from the log
)

// Drain stops the instance's work without interrupting a request: it notifies peers,
// refuses new requests after the grace period, waits until those in flight have ended,
// sends the usage counts to peers, and releases the leases. It returns nil when that is
// done. If ctx ends before all requests have ended, it cancels those of callers and returns
// ctx's error. The caller must then end Run's context.
func (i *Instance) Drain(ctx context.Context) error {
	i.Events.Record("drain started")
	i.draining.Store(true)
	i.Loop.Leave(ctx)
	if err := i.finishRequests(ctx); err != nil {
		i.Events.Record("drain cut short", events.F("error", err.Error()))
		i.cancelCallerRequests(ctx)
		return err
	}
	if err := i.usageExchange.Flush(ctx); err != nil {
		i.Events.Record("usage not handed over", events.F("error", err.Error()))
	}
	i.Loop.ReleaseLeases(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	_ = clock.PollUntil(ctx, drainPollInterval, i.leasesReleased) // a lease that is not released expires
	i.Events.Record("drain finished")
	return nil
}

// finishRequests waits for the grace period, refuses new requests of callers and trainers,
// and returns when none of their requests is in flight, or with ctx's error when ctx ends
// first.
func (i *Instance) finishRequests(ctx context.Context) error {
	gracePeriodEnd := time.Now().Add(drainGracePeriod)
	if err := clock.PollUntil(ctx, drainPollInterval, func() bool { return time.Now().After(gracePeriodEnd) }); err != nil {
		return err
	}
	i.callerGate.closed.Store(true)
	i.trainerGate.closed.Store(true)
	return clock.PollUntil(ctx, drainPollInterval, func() bool { return i.callerGate.inFlight.Load()+i.trainerGate.inFlight.Load() == 0 })
}

// cancelCallerRequests cancels the callers' requests in flight, so that their clients get
// an error response with a code instead of a reset connection.
func (i *Instance) cancelCallerRequests(ctx context.Context) {
	i.callerServer.CancelAll()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = clock.PollUntil(ctx, drainPollInterval, func() bool { return i.callerGate.inFlight.Load() == 0 }) // the connections of the rest are reset
}

// leasesReleased reports whether, by the log records applied so far, this instance holds no
// lease.
func (i *Instance) leasesReleased() bool {
	for _, l := range i.Loop.Snapshot().Leases {
		if l.Holder == i.Loop.Holder() {
			return false
		}
	}
	return true
}

// ready reports whether load balancers may send requests to this instance: it is not
// draining, its snapshot is fresh, and targetsListed holds.
func (i *Instance) ready() bool {
	s := i.Loop.Snapshot()
	return !i.draining.Load() && s.Config != nil && s.Fresh(i.cfg.Clock.Now(), s.Config.Control.FreshFor) && i.targetsListed(s)
}

// targetsListed reports whether the list of targets of every data centre has been read, or
// targetsTimeout has passed since the start: a data centre that does not respond must not
// delay a new instance's readiness any longer.
func (i *Instance) targetsListed(s *control.Snapshot) bool {
	return len(s.TargetsRequestedAt) >= len(s.Config.DataCentres) || i.cfg.Clock.Now()-i.startedAt > targetsTimeout
}
