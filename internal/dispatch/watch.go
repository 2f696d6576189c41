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
	watchInterval = 100 * time.Millisecond
	loadTimeout   = time.Second
)

// Run polls the load of owned targets, expires waiting requests and tells the
// control goroutine, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context, engines *engine.Client) error {
	return clock.Every(ctx, watchInterval, func() {
		d.Expire()
		d.reconcile()
		d.cancelSuspectWaits()
		d.loop.SetOwnLoads(ctx, d.poll(ctx, engines))
	})
}

// poll reads the loads of all owned targets side by side.
func (d *Dispatcher) poll(ctx context.Context, engines *engine.Client) []control.TargetLoad {
	s := d.loop.Snapshot()
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
				load := d.load(ctx, engines, service, t)
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

func (d *Dispatcher) load(ctx context.Context, engines *engine.Client, service *config.Service, t route.Target) control.TargetLoad {
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
	// A new owner does not know of the slots that an earlier one granted: the
	// engine's report, though it lags, keeps requests from rushing there.
	load.Load = max(load.Load, report.Running+report.Waiting)
	return load
}

// SampleLoad returns the samples granted and waiting at an owned target.
func (d *Dispatcher) SampleLoad(target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil {
		return 0
	}
	return q.admit.ClassLoad(admit.ClassSample)
}
