// Package rollout updates the engines to new weight versions. A Driver runs on every
// instance, but only the holder of the deployment's lease acts: it polls the weight store
// for the newest version of each model and sends the engines the orders that core/rollout
// plans. Engines fetch the weights themselves.
//
// Targets whose updates keep failing are taken out of service at every instance until a
// later attempt succeeds. Orders carry the lease's fencing number, so that engines that
// check it reject orders of a former holder. The state of an update is not stored: a new
// lease holder starts from the versions that the engines report.
package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/rollout"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	reconcileInterval  = 100 * time.Millisecond
	latestPollInterval = 500 * time.Millisecond // between two requests for a model's newest version
	storeTimeout       = 2 * time.Second
	loadTimeout        = 2 * time.Minute // of one update, including the download of the weights
	announceInterval   = time.Second     // between repeats of an unchanged list
	announceTimeout    = 500 * time.Millisecond
)

// limits are the settings of each service's weight update.
var limits = rollout.Limits{
	MaxFailures:         4,
	InitialBackoff:      250 * time.Millisecond,
	MaxBackoff:          10 * time.Second,
	OutOfServiceBackoff: time.Minute,
	ReportLag:           5 * time.Second,
}

// Options holds the dependencies of a Driver.
type Options struct {
	Loop    *control.Loop
	Engines *engine.Client
	Weights *platform.Weights
	Peers   *peer.Pool
	Clock   clock.Clock
	Events  *events.Recorder
}

// Driver updates the engines of all services to the newest weight versions while this
// instance holds the deployment's lease. Its state is that of the current term.
type Driver struct {
	Options

	mu          sync.Mutex
	term        record.Offset
	services    map[string]*service
	announced   []string      // targets out of service, as last announced
	announcedAt time.Duration // zero: not yet in this term
}

// service is the state of the weight update of one service.
type service struct {
	state    *rollout.Rollout
	polledAt time.Duration // zero: never
	polling  bool
}

// OutOfServiceMessage is the complete list of targets that the holder of the deployment's
// lease has taken out of service, as sent to peers.
type OutOfServiceMessage struct {
	Term    record.Offset `cbor:"1,keyasint"`
	Targets []string      `cbor:"2,keyasint"`
}

// New returns a Driver without state. The caller must call Run.
func New(o Options) *Driver { return &Driver{Options: o, services: map[string]*service{}} }

// Run reconciles at every reconcileInterval until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { d.reconcile(ctx) })
}

// HandleOutOfService applies a message of the lease holder: the targets get no new requests
// from this instance. A message of a superseded term is ignored.
func (d *Driver) HandleOutOfService(ctx context.Context, body []byte) error {
	msg, err := peer.Decode[OutOfServiceMessage](body)
	if err != nil {
		return err
	}
	d.Loop.SetOutOfService(ctx, msg.Term, msg.Targets)
	return nil
}

// reconcile advances the weight update of every service of kind engine and announces the
// targets out of service, if this instance holds the deployment's lease. The state of an
// earlier term is discarded.
func (d *Driver) reconcile(ctx context.Context) {
	s := d.Loop.Snapshot()
	if s.Config == nil {
		return
	}
	lease, held := d.Loop.Held(control.DeploymentLease, s.Config.Control.OrderFlight)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		return
	}
	if lease.Fencing != d.term {
		d.term, d.announcedAt = lease.Fencing, 0
		clear(d.services)
	}
	var outOfService []string
	for i := range s.Config.Services {
		spec := &s.Config.Services[i]
		if spec.Kind != config.KindEngine {
			continue
		}
		d.advanceService(ctx, s, spec)
		outOfService = append(outOfService, d.services[spec.Name].state.OutOfService()...)
	}
	d.announceOutOfService(ctx, s, outOfService)
}

// advanceService polls for the newest version if that is due, starts the weight updates
// that are due now, and records an event once all engines in service run the version. The
// caller must hold mu.
func (d *Driver) advanceService(ctx context.Context, s *control.Snapshot, spec *config.Service) {
	svc := d.services[spec.Name]
	if svc == nil {
		svc = &service{state: rollout.New(limits)}
		d.services[spec.Name] = svc
	}
	now := d.Clock.Now()
	if !svc.polling && (svc.polledAt == 0 || now-svc.polledAt >= latestPollInterval) {
		svc.polling, svc.polledAt = true, now
		go d.pollLatest(ctx, svc, spec.Model)
	}
	svc.state.SetParallel(spec.SwapParallel)
	targets, urls := rolloutTargets(s, spec.Name, svc.state.OutOfService())
	for _, update := range svc.state.Plan(now, targets) {
		go d.runUpdate(ctx, svc, spec, update, urls[update.Target])
	}
	if elapsed, ok := svc.state.Completed(now, targets); ok {
		d.Events.Record("weights on all engines", events.F("service", spec.Name), events.F("version", fmt.Sprint(svc.state.Desired())),
			events.F("engines", fmt.Sprint(len(targets))), events.F("millis", fmt.Sprint(elapsed.Milliseconds())))
	}
}

// rolloutTargets returns the service's targets in the routing table and their URLs by
// target id. The routing table lists a target that the update has taken out of service as
// unavailable. Leaving is not set for it, so that the update still plans loads for it.
func rolloutTargets(s *control.Snapshot, service string, outOfService []string) ([]rollout.Target, map[string]string) {
	isOutOfService := make(map[string]bool, len(outOfService))
	for _, id := range outOfService {
		isOutOfService[id] = true
	}
	routed := s.RoutingTable.Targets(service)
	targets := make([]rollout.Target, len(routed))
	urls := make(map[string]string, len(routed))
	for i := range routed {
		t := &routed[i]
		targets[i] = rollout.Target{ID: t.ID, DataCentre: t.DataCentre, Version: t.Version, Load: t.Load, Leaving: t.Unavailable && !isOutOfService[t.ID]}
		urls[t.ID] = t.URL
	}
	return targets, urls
}

// pollLatest requests the model's newest version and sets it as the desired one. Since the
// weight store limits the rate of requests, only the lease holder sends them, one per model
// at a time, and each returns only the newest version.
func (d *Driver) pollLatest(ctx context.Context, svc *service, model string) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reply, err := d.Weights.Latest(callCtx, model)
	d.mu.Lock()
	defer d.mu.Unlock()
	svc.polling = false
	if err != nil {
		d.Events.Record("weight store failed", events.F("model", model), events.F("error", err.Error()))
		return
	}
	if reply.Latest > svc.state.Desired() {
		svc.state.SetDesired(d.Clock.Now(), reply.Latest)
		d.Events.Record("weights published", events.F("model", model), events.F("version", fmt.Sprint(reply.Latest)))
	}
}

// runUpdate runs one update and records its outcome.
func (d *Driver) runUpdate(ctx context.Context, svc *service, spec *config.Service, update rollout.LoadOrder, url string) {
	err := d.orderLoad(ctx, spec, update, url)
	name := "weights loaded"
	fields := []events.Field{events.F("target", update.Target), events.F("version", fmt.Sprint(update.Version))}
	if err != nil {
		name = "weight swap failed"
		fields = append(fields, events.F("error", err.Error()))
	}
	d.Events.Record(name, fields...)
	d.mu.Lock()
	defer d.mu.Unlock()
	svc.state.Done(d.Clock.Now(), update, err == nil)
}

// errLeaseNotHeld is returned when an order is not sent because the lease is not held for
// at least OrderFlight.
var errLeaseNotHeld = fmt.Errorf("lease %q is not held long enough", control.DeploymentLease)

// orderLoad orders the engine to load the version and returns when the engine has loaded
// it. It first requests the engine's report, since the routing table lags behind the
// engine, and sends no order if the engine already has the version or a newer one. The
// lease is checked as the last step before the order is sent.
func (d *Driver) orderLoad(ctx context.Context, spec *config.Service, update rollout.LoadOrder, url string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := d.Engines.Load(ctx, url)
	if err != nil {
		return err
	}
	if report.Version >= update.Version {
		return nil
	}
	flight := d.Loop.Snapshot().Config.Control.OrderFlight
	lease, held := d.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return errLeaseNotHeld
	}
	return d.Engines.SendOrder(ctx, url, engine.Order{
		ID: uuid.NewString(), Kind: engine.LoadWeights, Model: spec.Model, Version: update.Version,
		Fencing: int64(lease.Fencing), NotAfter: d.Clock.Wall().Add(flight),
	})
}
