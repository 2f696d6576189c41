// Package rollout updates the engines to new weight versions. A Driver runs on every
// instance, but only the holder of the deployment's lease acts: it polls the weight store
// for the newest version of each model and orders the weight updates that core/rollout
// decides. Engines fetch the weights themselves.
//
// Targets whose updates keep failing are taken out of service at every instance until a
// later attempt succeeds. Orders carry the lease's fencing number, so that engines that
// check it reject orders of a former holder. No state of an update is stored: a new lease
// holder starts from the versions that the engines report.
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
	latestPollInterval = 500 * time.Millisecond // between requests for a model's newest version
	storeTimeout       = 2 * time.Second
	swapTimeout        = 2 * time.Minute // of one order, including the download of the weights
	announceInterval   = time.Second     // between repeats of an unchanged list
	announceTimeout    = 500 * time.Millisecond
)

// limits apply to the weight updates of every service.
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
// instance holds the deployment's lease. Its state belongs to one term.
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

// New returns a driver.
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

// reconcile advances every engine service and announces the targets out of service, if
// this instance holds the deployment's lease. A new term starts with no state.
func (d *Driver) reconcile(ctx context.Context) {
	s := d.Loop.Snapshot()
	if s.Config == nil {
		return
	}
	guard, held := d.Loop.Held(control.DeploymentLease, s.Config.Control.OrderFlight)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		return
	}
	if guard.Fencing != d.term {
		d.term, d.announcedAt = guard.Fencing, 0
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
// that are due now, and records an event once all engines in service run the
// version. The caller must hold mu.
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
		go d.swapWeights(ctx, svc, spec, update, urls[update.Target])
	}
	if elapsed, ok := svc.state.Completed(now, targets); ok {
		d.Events.Record("weights on all engines", events.F("service", spec.Name), events.F("version", fmt.Sprint(svc.state.Desired())),
			events.F("engines", fmt.Sprint(len(targets))), events.F("millis", fmt.Sprint(elapsed.Milliseconds())))
	}
}

// rolloutTargets returns the service's targets in the routing table and their URLs by
// target id. The routing table lists a target that this update took out of service as
// unavailable, yet it must still be planned, so Leaving is cleared for it.
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

// pollLatest requests the model's newest version and sets it as the desired one. The weight
// store is rate-limited: only the lease holder sends requests, and one request per model
// returns only the newest version.
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

// swapWeights runs one update and records its outcome.
func (d *Driver) swapWeights(ctx context.Context, svc *service, spec *config.Service, update rollout.Update, url string) {
	err := d.loadWeights(ctx, spec, update, url)
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

// loadWeights orders the engine to load the version and waits until it has. It first
// requests the engine's load report, since the routing table lags behind the engine, and
// sends no order if the engine has the version already. The lease is checked as the last
// step before the order is sent.
func (d *Driver) loadWeights(ctx context.Context, spec *config.Service, update rollout.Update, url string) error {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	report, err := d.Engines.Load(ctx, url)
	if err != nil {
		return err
	}
	if report.Version >= update.Version {
		return nil
	}
	flight := d.Loop.Snapshot().Config.Control.OrderFlight
	guard, held := d.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return errLeaseNotHeld
	}
	return d.Engines.SendOrder(ctx, url, engine.Order{
		ID: uuid.NewString(), Kind: engine.LoadWeights, Model: spec.Model, Version: update.Version,
		Fencing: int64(guard.Fencing), NotAfter: d.Clock.Wall().Add(flight),
	})
}
