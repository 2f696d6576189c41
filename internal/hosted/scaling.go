package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/size"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// peakWindow is how far back the demand of a service is looked at: several steps
	// of its trainers.
	peakWindow = 30 * time.Second
	// scaleInterval bounds how often the number of targets is looked at; a new one
	// takes seconds to start.
	scaleInterval = time.Second
)

// scaler orders targets for the services that may be scaled.
type scaler struct {
	node    *Instance
	ordered map[scaleKey]int // by this holder of the duty
	term    int64
	next    time.Duration
	peaks   map[string]peakDemand // by service
}

type scaleKey struct{ service, dataCentre string }

// peakDemand is the largest demand of late.
type peakDemand struct {
	tasks        int
	at           time.Duration
	lastShortage time.Duration // when a job last called for more targets; zero: never
}

func newScaler(n *Instance) *scaler {
	return &scaler{node: n, ordered: map[scaleKey]int{}, peaks: map[string]peakDemand{}}
}

// step orders the numbers of targets that have changed.
func (s *scaler) step(ctx context.Context) {
	n := s.node
	now := n.clock.Now()
	view := n.stateLoop.view.Load()
	if !n.cfg.Settings.Autoscales || n.cloud == nil || view.Catalog == nil || now < s.next {
		return
	}
	s.next = now + scaleInterval
	s.observe(ctx, view, now)
	for name, service := range view.Catalog.Services {
		p := s.peaks[name]
		if service.Scaling == nil || p.lastShortage == 0 || now-p.lastShortage > peakWindow {
			continue
		}
		present, slots := map[string]int{}, 0
		for _, t := range view.Targets {
			if t.Service == name && t.Ready {
				present[t.DataCentre]++
				slots = max(slots, t.Slots)
			}
		}
		bounds := size.Bounds{Min: service.Scaling.Min, Max: service.Scaling.Max, Prices: service.Scaling.Prices}
		for zone, count := range size.DesiredTargets(size.Demand{PeakTasks: p.tasks, SlotsPerTarget: slots}, bounds, present) {
			s.orderTargets(ctx, scaleKey{name, zone}, count, present[zone])
		}
	}
}

// observe notes how many tasks of each service wait or run.
func (s *scaler) observe(ctx context.Context, view *View, now time.Duration) {
	n := s.node
	tasks, short := map[string]int{}, map[string]bool{}
	n.stateLoop.do(ctx, func() {
		for _, j := range n.stateLoop.state.Jobs {
			route, known := view.Catalog.RouteByName(j.Route)
			if !known || len(route.Split) == 0 || !j.Open() && now-j.ClosedAt > peakWindow {
				continue
			}
			service := route.Split[0].Service
			short[service] = short[service] || size.NeedsMoreTargets(j.MaxSlotWait, j.OpenDuration(now), route.ResultDeadline)
			left := 0
			if j.Open() {
				left = len(j.Tasks) - len(j.Results)
			}
			tasks[service] += left
		}
	})
	for service, count := range tasks {
		p := s.peaks[service]
		if count >= p.tasks || now-p.at > peakWindow {
			p.tasks, p.at = count, now
		}
		if short[service] {
			p.lastShortage = now
		}
		s.peaks[service] = p
	}
}

func (s *scaler) orderTargets(ctx context.Context, key scaleKey, count, present int) {
	n := s.node
	by, held := n.controller.holder(ctx)
	if !held {
		return
	}
	if by.Fencing != s.term {
		s.term = by.Fencing
		clear(s.ordered)
	}
	if count <= max(present, s.ordered[key]) {
		return
	}
	flight, cancel := context.WithTimeout(ctx, n.controller.callTimeout())
	defer cancel()
	err := n.cloud.Scale(flight, by, key.service, key.dataCentre, count)
	n.log("targets ordered", events.F("service", key.service), events.F("data_centre", key.dataCentre),
		events.F("count", fmt.Sprint(count)), events.F("present", fmt.Sprint(present)),
		events.F("term", fmt.Sprint(by.Fencing)), events.F("error", fmt.Sprint(err)))
	if err != nil {
		n.controller.checkSuperseded(by, err)
		return
	}
	s.ordered[key] = count
}
