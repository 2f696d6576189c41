// Package rollout brings new weight versions to the engines. The instance that
// holds the deployment's lease orders the changes that core/rollout decides;
// engines fetch the weights themselves.
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
	latestPollInterval = 500 * time.Millisecond // between questions for a model's newest version
	storeTimeout       = 2 * time.Second
	swapTimeout        = 2 * time.Minute // of one order, download included
	announceInterval   = time.Second     // between repeats of the targets taken out
	announceTimeout    = 500 * time.Millisecond
)

// limits shape every roll-out.
var limits = rollout.Limits{
	MaxFailures:         4,
	InitialBackoff:      250 * time.Millisecond,
	MaxBackoff:          10 * time.Second,
	OutOfServiceBackoff: time.Minute,
	ReportLag:           5 * time.Second,
}

// Options are what a Driver works with.
type Options struct {
	Loop    *control.Loop
	Engines *engine.Client
	Weights *platform.Weights
	Peers   *peer.Pool
	Clock   clock.Clock
	Events  *events.Recorder
}

// Driver runs on every instance and acts only while in charge.
type Driver struct {
	Options

	mu          sync.Mutex
	term        record.Offset
	services    map[string]*service
	announced   []string      // targets taken out, as last told
	announcedAt time.Duration // zero: not in this term
}

// service is the roll-out of one service's model.
type service struct {
	state    *rollout.Rollout
	polledAt time.Duration // zero: never
	polling  bool
}

// OutOfServiceMessage tells peers which targets the holder of the deployment's lease has taken
// out of service.
type OutOfServiceMessage struct {
	Term    record.Offset `cbor:"1,keyasint"`
	Targets []string      `cbor:"2,keyasint"`
}

// New returns a driver.
func New(o Options) *Driver { return &Driver{Options: o, services: map[string]*service{}} }

// Run makes a pass at every interval until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { d.reconcile(ctx) })
}

// HandleOutOfService takes a note of the instance in charge.
func (d *Driver) HandleOutOfService(ctx context.Context, body []byte) error {
	note, err := peer.Decode[OutOfServiceMessage](body)
	if err != nil {
		return err
	}
	d.Loop.SetOutOfService(ctx, note.Term, note.Targets)
	return nil
}

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
	var out []string
	for i := range s.Config.Services {
		spec := &s.Config.Services[i]
		if spec.Kind != config.KindEngine {
			continue
		}
		d.advance(ctx, s, spec)
		out = append(out, d.services[spec.Name].state.OutOfService()...)
	}
	d.announceOutOfService(ctx, s, out)
}

// advance orders what the service's roll-out wants now.
func (d *Driver) advance(ctx context.Context, s *control.Snapshot, spec *config.Service) {
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
	targets, urls := targetStates(s, spec.Name, svc.state.OutOfService())
	for _, o := range svc.state.Plan(now, targets) {
		go d.swapWeights(ctx, svc, spec, o, urls[o.Target])
	}
	if took, ok := svc.state.Completed(now, targets); ok {
		d.Events.Record("weights on all engines", events.F("service", spec.Name), events.F("version", fmt.Sprint(svc.state.Desired())),
			events.F("engines", fmt.Sprint(len(targets))), events.F("millis", fmt.Sprint(took.Milliseconds())))
	}
}

// targetStates joins the routing table with its URLs. A target that a roll-out took
// out shows as leaving there, but is to be tried again.
func targetStates(s *control.Snapshot, service string, out []string) ([]rollout.Target, map[string]string) {
	taken := make(map[string]bool, len(out))
	for _, id := range out {
		taken[id] = true
	}
	list := s.RoutingTable.Targets(service)
	targets := make([]rollout.Target, len(list))
	urls := make(map[string]string, len(list))
	for i := range list {
		t := &list[i]
		targets[i] = rollout.Target{ID: t.ID, DataCentre: t.DataCentre, Version: t.Version, Load: t.Load, Leaving: t.Unavailable && !taken[t.ID]}
		urls[t.ID] = t.URL
	}
	return targets, urls
}

// pollLatest learns the model's newest version. The store is rate-limited: only the
// instance in charge asks, for one number a model.
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

// swapWeights sends one change and notes its outcome.
func (d *Driver) swapWeights(ctx context.Context, svc *service, spec *config.Service, o rollout.Update, url string) {
	err := d.loadWeights(ctx, spec, o, url)
	name := "weights loaded"
	fields := []events.Field{events.F("target", o.Target), events.F("version", fmt.Sprint(o.Version))}
	if err != nil {
		name = "weight swap failed"
		fields = append(fields, events.F("error", err.Error()))
	}
	d.Events.Record(name, fields...)
	d.mu.Lock()
	defer d.mu.Unlock()
	svc.state.Done(d.Clock.Now(), o, err == nil)
}

// errLeaseNotHeld keeps an order from leaving.
var errLeaseNotHeld = fmt.Errorf("lease %q is not held long enough", control.DeploymentLease)

// loadWeights asks the engine itself before it orders, since reports lag, and checks
// the lease as the last step before the order leaves.
func (d *Driver) loadWeights(ctx context.Context, spec *config.Service, o rollout.Update, url string) error {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	report, err := d.Engines.Load(ctx, url)
	if err != nil {
		return err
	}
	if report.Version >= o.Version {
		return nil
	}
	flight := d.Loop.Snapshot().Config.Control.OrderFlight
	guard, held := d.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return errLeaseNotHeld
	}
	return d.Engines.SendOrder(ctx, url, engine.Order{
		ID: uuid.NewString(), Kind: engine.LoadWeights, Model: spec.Model, Version: o.Version,
		Fencing: int64(guard.Fencing), NotAfter: d.Clock.Wall().Add(flight),
	})
}
