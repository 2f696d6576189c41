package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

const (
	pollInterval = 100 * time.Millisecond
	loadTimeout  = time.Second
)

// Run expires waiting requests, reconciles the queues, polls the load of owned targets
// and reports it to the control state, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context, engines *engine.Client) error {
	return clock.Every(ctx, pollInterval, func() {
		d.Expire()
		d.reconcile()
		d.cancelSuspectWaits()
		d.state.SetOwnLoads(ctx, d.poll(ctx, engines))
	})
}

// poll returns the loads of all owned targets, read concurrently.
func (d *Dispatcher) poll(ctx context.Context, engines *engine.Client) []control.TargetLoad {
	s := d.state.Snapshot()
	if s.Config == nil {
		return nil
	}
	var mu sync.Mutex
	var loads []control.TargetLoad
	var wg sync.WaitGroup
	for i := range s.Config.Services {
		service := &s.Config.Services[i]
		for _, t := range s.RoutingTable.Targets(service.Name) {
			if t.Owner != s.Self.ID {
				continue
			}
			wg.Go(func() {
				load := d.pollTarget(ctx, engines, service, t)
				mu.Lock()
				defer mu.Unlock()
				loads = append(loads, load)
			})
		}
	}
	wg.Wait()
	d.loadFailures.retainOnly(loads)
	return loads
}

// pollTarget returns the load of one owned target: that of its queue and, for an engine,
// that of the engine's load report.
func (d *Dispatcher) pollTarget(ctx context.Context, engines *engine.Client, service *config.Service, t route.Target) control.TargetLoad {
	granted, waiting := d.Load(t.ID)
	load := control.TargetLoad{Target: t.ID, Load: granted + waiting, Samples: d.SampleLoad(t.ID)}
	if service.Kind != config.KindEngine {
		return load
	}
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := engines.Load(callCtx, t.URL)
	if err != nil {
		load.UnresponsiveFor = d.loadFailures.failedFor(t.ID, d.clock.Now())
		return load
	}
	d.loadFailures.succeeded(t.ID)
	load.Version, load.Leaving, load.Running = report.Version, report.Leaving, report.Running
	// Slots granted by an earlier owner are not in this queue. The engine's report
	// includes them, with a delay, and so prevents a burst of requests to the target.
	load.Load = max(load.Load, report.Running+report.Waiting)
	return load
}

// SampleLoad returns the number of samples granted and waiting at an owned target.
func (d *Dispatcher) SampleLoad(target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil {
		return 0
	}
	return q.admit.ClassLoad(admit.ClassSample)
}
