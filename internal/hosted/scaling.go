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

// scaling orders targets for the services that may be scaled.
type scaling struct {
	node    *Node
	ordered map[scaleKey]int // by this holder of the duty
	term    int64
	next    time.Duration
	peaks   map[string]peak // by service
}

type scaleKey struct{ service, dataCentre string }

// peak is the largest demand of late.
type peak struct {
	tasks int
	at    time.Duration
	short time.Duration // when a job last called for more targets; zero: never
}

func newScaling(n *Node) *scaling {
	return &scaling{node: n, ordered: map[scaleKey]int{}, peaks: map[string]peak{}}
}

// step orders the numbers of targets that have changed.
func (s *scaling) step(ctx context.Context) {
	n := s.node
	now := n.clock.Now()
	view := n.board.view.Load()
	if !n.cfg.Settings.Scaling || n.cloud == nil || view.Catalog == nil || now < s.next {
		return
	}
	s.next = now + scaleInterval
	s.observe(ctx, view, now)
	for name, service := range view.Catalog.Services {
		p := s.peaks[name]
		if service.Scaling == nil || p.short == 0 || now-p.short > peakWindow {
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
		for zone, count := range size.Want(size.Demand{Tasks: p.tasks, Slots: slots}, bounds, present) {
			s.order(ctx, scaleKey{name, zone}, count, present[zone])
		}
	}
}

// observe notes how many tasks of each service wait or run.
func (s *scaling) observe(ctx context.Context, view *View, now time.Duration) {
	n := s.node
	tasks, short := map[string]int{}, map[string]bool{}
	n.board.do(ctx, func() {
		for _, j := range n.board.state.Jobs {
			route, known := view.Catalog.Route(j.Route)
			if !known || len(route.Split) == 0 || !j.Open() && now-j.Closed > peakWindow {
				continue
			}
			service := route.Split[0].Service
			short[service] = short[service] || size.Short(j.Shortage, j.Took(now), route.ResultsDue)
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
			p.short = now
		}
		s.peaks[service] = p
	}
}

func (s *scaling) order(ctx context.Context, key scaleKey, count, present int) {
	n := s.node
	by, held := n.duty.holder(ctx)
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
	flight, cancel := context.WithTimeout(ctx, n.duty.flight())
	defer cancel()
	err := n.cloud.Scale(flight, by, key.service, key.dataCentre, count)
	n.log("targets ordered", events.F("service", key.service), events.F("data_centre", key.dataCentre),
		events.F("count", fmt.Sprint(count)), events.F("present", fmt.Sprint(present)),
		events.F("term", fmt.Sprint(by.Fencing)), events.F("error", fmt.Sprint(err)))
	if err != nil {
		n.duty.note(by, err)
		return
	}
	s.ordered[key] = count
}
