package duty

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/size"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

const (
	// peakWindow is the period over which the peak demand of a service is measured: several
	// steps of its trainers.
	peakWindow = 30 * time.Second
	// scaleInterval is the time between adjustments of the number of targets. A new target
	// takes seconds to start.
	scaleInterval = time.Second
)

// scaler orders targets from the platform for the services that the configuration allows
// to scale. Only the controller's goroutine uses it.
type scaler struct {
	controller *Controller
	ordered    map[scaleKey]int // number of targets ordered under term
	term       int64            // of the controller lease
	nextStep   time.Duration
	peaks      map[string]peakDemand // by service
}

type scaleKey struct{ service, dataCentre string }

// peakDemand is a service's largest demand within peakWindow.
type peakDemand struct {
	tasks        int           // waiting or running
	observedAt   time.Duration // when tasks was observed
	lastShortage time.Duration // when a job last needed more targets; zero: never
}

func newScaler(c *Controller) *scaler {
	return &scaler{controller: c, ordered: map[scaleKey]int{}, peaks: map[string]peakDemand{}}
}

// step orders more targets for the services whose demand requires them.
func (s *scaler) step(ctx context.Context) {
	c := s.controller
	now := c.Clock.Now()
	view := c.CurrentView()
	if !c.Settings.Autoscales || c.cloud == nil || view.Catalog == nil || now < s.nextStep {
		return
	}
	s.nextStep = now + scaleInterval
	s.observe(ctx, view, now)
	for name, service := range view.Catalog.Services {
		p := s.peaks[name]
		if service.Scaling == nil || p.lastShortage == 0 || now-p.lastShortage > peakWindow {
			continue
		}
		present, evacuated, slots := map[string]int{}, map[string]bool{}, 0
		for _, t := range view.Targets {
			switch {
			case t.Service != name:
			case t.Evacuated: // an order here would be for targets that get no requests
				evacuated[t.DataCentre] = true
			case t.Ready:
				present[t.DataCentre]++
				slots = max(slots, t.Slots)
			}
		}
		bounds := size.Bounds{Min: service.Scaling.Min, Max: service.Scaling.Max, Prices: maps.Clone(service.Scaling.Prices)}
		maps.DeleteFunc(bounds.Prices, func(dataCentre string, _ float64) bool { return evacuated[dataCentre] })
		for dataCentre, count := range size.DesiredTargets(size.Demand{PeakTasks: p.tasks, SlotsPerTarget: slots}, bounds, present) {
			s.orderTargets(ctx, scaleKey{name, dataCentre}, count, present[dataCentre])
		}
	}
}

// observe updates the peak demand of each service, from the jobs that are open or were
// closed within peakWindow.
func (s *scaler) observe(ctx context.Context, view *node.View, now time.Duration) {
	c := s.controller
	tasks, needsTargets := map[string]int{}, map[string]bool{}
	c.StateLoop.Do(ctx, func() {
		for _, j := range c.StateLoop.State.Jobs {
			route, found := view.Catalog.RouteByName(j.Route)
			if !found || len(route.Split) == 0 || !j.Open() && now-j.ClosedAt > peakWindow {
				continue
			}
			service := route.Split[0].Service
			needsTargets[service] = needsTargets[service] || size.NeedsMoreTargets(j.MaxSlotWait, j.OpenDuration(now), route.ResultDeadline)
			openTasks := 0
			if j.Open() {
				openTasks = len(j.Tasks) - len(j.Results)
			}
			tasks[service] += openTasks
		}
	})
	for service, count := range tasks {
		p := s.peaks[service]
		if count >= p.tasks || now-p.observedAt > peakWindow {
			p.tasks, p.observedAt = count, now
		}
		if needsTargets[service] {
			p.lastShortage = now
		}
		s.peaks[service] = p
	}
}

// orderTargets orders a number of targets of a service in a data centre, unless that many
// are present or were ordered under this term.
func (s *scaler) orderTargets(ctx context.Context, key scaleKey, count, present int) {
	c := s.controller
	holder, held := c.holder(ctx)
	if !held {
		return
	}
	if holder.Fencing != s.term {
		s.term = holder.Fencing
		clear(s.ordered)
	}
	if count <= max(present, s.ordered[key]) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	err := c.cloud.Scale(callCtx, holder, key.service, key.dataCentre, count)
	c.Log("targets ordered", events.F("service", key.service), events.F("data_centre", key.dataCentre),
		events.F("count", fmt.Sprint(count)), events.F("present", fmt.Sprint(present)),
		events.F("term", fmt.Sprint(holder.Fencing)), events.F("error", fmt.Sprint(err)))
	if err != nil {
		c.checkSuperseded(holder, err)
		return
	}
	s.ordered[key] = count
}
