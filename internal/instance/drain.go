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
	// begun to fail, so that balancers and peers can learn of it.
	drainGracePeriod    = 2 * time.Second
	drainPoll           = 20 * time.Millisecond
	targetsTimeout      = 10 * time.Second
	endCallersTimeout   = time.Second     // for callers to be told that they were ended
	leaseReleaseTimeout = 3 * time.Second // for leases to be read back as released
)

// Drain ends the instance's work without cutting a request: peers are told, new
// requests are refused after a notice, those in flight finish, then leases are
// released. It returns when that is done or ctx ends; the end of Run's context
// must follow.
func (i *Instance) Drain(ctx context.Context) error {
	i.Events.Record("drain started")
	i.draining.Store(true)
	i.Loop.Leave(ctx)
	if err := i.finishRequests(ctx); err != nil {
		i.Events.Record("drain cut short", events.F("error", err.Error()))
		i.endCallers(ctx)
		return err
	}
	if err := i.exchange.Flush(ctx); err != nil {
		i.Events.Record("usage not handed over", events.F("error", err.Error()))
	}
	i.Loop.ReleaseLeases(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	_ = clock.PollUntil(ctx, drainPoll, i.released) // a lease that is not released lapses
	i.Events.Record("drain finished")
	return nil
}

// finishRequests returns when callers and trainers have nothing in flight.
func (i *Instance) finishRequests(ctx context.Context) error {
	notice := time.Now().Add(drainGracePeriod)
	if err := clock.PollUntil(ctx, drainPoll, func() bool { return time.Now().After(notice) }); err != nil {
		return err
	}
	i.callerGate.closed.Store(true)
	i.trainerGate.closed.Store(true)
	return clock.PollUntil(ctx, drainPoll, func() bool { return i.callerGate.inFlight.Load()+i.trainerGate.inFlight.Load() == 0 })
}

// endCallers ends the requests in flight with a typed error, which a cut
// connection could not tell.
func (i *Instance) endCallers(ctx context.Context) {
	i.callerServer.CancelAll()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCallersTimeout)
	defer cancel()
	_ = clock.PollUntil(ctx, drainPoll, func() bool { return i.callerGate.inFlight.Load() == 0 }) // the rest is cut
}

// released reports whether the log shows none of this instance's leases.
func (i *Instance) released() bool {
	for _, l := range i.Loop.Snapshot().Leases {
		if l.Holder == i.Loop.Holder() {
			return false
		}
	}
	return true
}

// ready reports whether balancers may send requests here.
func (i *Instance) ready() bool {
	s := i.Loop.Snapshot()
	return !i.draining.Load() && s.Config != nil && s.Fresh(i.cfg.Clock.Now(), s.Config.Control.FreshFor) && i.targetsKnown(s)
}

// targetsKnown reports whether every data centre has told its targets. One that
// does not answer holds a new instance back for targetsWait only.
func (i *Instance) targetsKnown(s *control.Snapshot) bool {
	return len(s.TargetsRequestedAt) >= len(s.Config.DataCentres) || i.cfg.Clock.Now()-i.startedAt > targetsTimeout
}
