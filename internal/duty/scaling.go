package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/size"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

// scaleObserveInterval is the time between two observations of an instance that does not order
// targets. It needs to know only what was there when it begins to.
const scaleObserveInterval = time.Second

// scaler orders targets from the platform for the services that the configuration allows
// to scale. Only the goroutine of scaleServices uses it.
type scaler struct {
	controller *Controller
	services   map[string]*scaledService
	term       int64 // of the controller lease
	nextStep   time.Duration
}

// scaledService is the planner of a service with what it was told last.
type scaledService struct {
	name     string
	forecast *size.Forecast
	planner  *size.Planner
	input    size.Input
	plan     size.Plan // the last one that was logged as without an order
}

func newScaler(c *Controller) *scaler {
	return &scaler{controller: c, services: map[string]*scaledService{}}
}

// step observes the services and, if the instance holds the controller lease, orders the targets
// that are missing.
func (s *scaler) step(ctx context.Context, held bool) {
	c := s.controller
	now := c.Clock.Now()
	view := c.CurrentView()
	if !c.Settings.Autoscales || c.cloud == nil || view.Catalog == nil || !held && now < s.nextStep {
		return
	}
	s.nextStep = now + scaleObserveInterval
	jobs, evacuated := s.jobs(ctx, view)
	for name, service := range view.Catalog.Services {
		if service.Scaling == nil {
			continue
		}
		scaled := s.service(name, service.Scaling)
		scaled.input = size.Input{
			Evacuated: evacuated, Load: scaled.forecast.Observe(now, jobs[name]),
			Bounds: size.Bounds{Min: service.Scaling.Min, Max: service.Scaling.Max, Prices: service.Scaling.Prices},
		}
		for _, t := range view.Targets {
			if t.Service == name {
				scaled.input.Targets = append(scaled.input.Targets, size.Target{
					ID: t.ID, DataCentre: t.DataCentre, Slots: t.Slots, Ready: t.Ready,
					LeavesIn: t.ReclaimedIn, Evacuated: t.Evacuated, Cold: t.Cold,
				})
			}
		}
		if !held {
			scaled.planner.Observe(now, scaled.input)
			continue
		}
		s.order(ctx, scaled)
	}
}

// service returns the planner of a service.
func (s *scaler) service(name string, scaling *catalog.Scaling) *scaledService {
	if s.services[name] == nil {
		c := s.controller
		boot := scaling.Boot
		if boot <= 0 {
			boot = c.Settings.Boot
		}
		s.services[name] = &scaledService{
			name: name, forecast: size.NewForecast(), planner: size.NewPlanner(size.Settings{Boot: boot, Lapse: c.RegistryDelay()}),
		}
	}
	return s.services[name]
}

// jobs returns the jobs by service, and the evacuated data centres.
func (s *scaler) jobs(ctx context.Context, view *node.View) (jobs map[string][]size.Job, evacuated []string) {
	c := s.controller
	jobs = map[string][]size.Job{}
	c.StateLoop.Do(ctx, func() {
		evacuated = c.StateLoop.Evacuated()
		for _, j := range c.StateLoop.State.Jobs {
			route, found := view.Catalog.RouteByName(j.Route)
			if !found || len(route.Split) == 0 {
				continue
			}
			service := route.Split[0].Service
			jobs[service] = append(jobs[service], sizedJob(j, route))
		}
	})
	return jobs, evacuated
}

func sizedJob(j *job.Job, route *catalog.Route) size.Job {
	out := size.Job{
		Stream: j.Account + "/" + route.Name + "/" + j.Model, SubmittedAt: j.FirstSeenAt,
		SlotWait: j.MaxSlotWait, Deadline: route.ResultDeadline,
	}
	if j.Open() {
		out.OpenTasks = len(j.Tasks) - len(j.Results)
	} else {
		out.ClosedAt = max(j.ClosedAt, 1)
	}
	return out
}

// order sends the orders of the plan. What one data centre refuses is asked of the others at
// once.
func (s *scaler) order(ctx context.Context, scaled *scaledService) {
	c := s.controller
	for range 1 + len(scaled.input.Bounds.Prices) {
		now := c.Clock.Now()
		plan := scaled.planner.Plan(now, scaled.input)
		c.Metrics.SetTargets(scaled.name, plan.Wanted, plan.Missing)
		if len(plan.Orders) == 0 {
			s.logNoOrder(scaled, plan)
			return
		}
		refused := false
		for _, o := range plan.Orders {
			outcome, sent := s.send(ctx, scaled, plan, o)
			if !sent {
				return
			}
			refused = refused || outcome == size.Refused
		}
		if !refused {
			return
		}
	}
}

// send sends an order. It reports false if the instance does not hold the lease any more.
func (s *scaler) send(ctx context.Context, scaled *scaledService, plan size.Plan, o size.Order) (outcome size.Outcome, sent bool) {
	c := s.controller
	holder, held := c.holder(ctx)
	if !held {
		return size.Unknown, false
	}
	if holder.Fencing != s.term {
		s.term = holder.Fencing
		for _, other := range s.services {
			other.planner.ForgetOrders() // another holder may have ordered since
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	err := c.cloud.Scale(callCtx, holder, scaled.name, o.DataCentre, o.Count)
	c.checkSuperseded(holder, err)
	if errors.Is(err, platform.ErrSuperseded) {
		return size.Unknown, false
	}
	text := "accepted"
	switch {
	case err == nil:
		outcome = size.Accepted
	case errors.Is(err, platform.ErrNoneAvailable), errors.Is(err, platform.ErrRefused):
		outcome, text = size.Refused, "refused"
	default:
		text = "unknown"
	}
	scaled.planner.SetOutcome(c.Clock.Now(), o, outcome)
	c.Metrics.CountTargetOrder(text)
	c.Log("targets ordered", append(s.planFields(scaled, plan),
		events.F("data_centre", o.DataCentre), events.F("count", fmt.Sprint(o.Count)), events.F("present", fmt.Sprint(o.Running)),
		events.F("repeat", fmt.Sprint(o.Repeat)), events.F("term", fmt.Sprint(holder.Fencing)),
		events.F("outcome", text), events.F("error", fmt.Sprint(err)))...)
	return outcome, true
}

// logNoOrder logs a plan that leaves targets missing, once until its reason or number changes.
func (s *scaler) logNoOrder(scaled *scaledService, plan size.Plan) {
	last := scaled.plan
	scaled.plan = plan
	if plan.Missing > 0 && (plan.Missing != last.Missing || plan.Reason != last.Reason) {
		s.controller.Log("targets not ordered", s.planFields(scaled, plan)...)
	}
}

// planFields returns the inputs of a plan and their age.
func (s *scaler) planFields(scaled *scaledService, plan size.Plan) []events.Field {
	c := s.controller
	load := scaled.input.Load
	return []events.Field{
		events.F("service", scaled.name), events.F("reason", plan.Reason), events.F("wanted", fmt.Sprint(plan.Wanted)),
		events.F("usable", fmt.Sprint(plan.Usable)), events.F("absent", fmt.Sprint(plan.Absent)),
		events.F("pending", fmt.Sprint(plan.Pending)), events.F("missing", fmt.Sprint(plan.Missing)),
		events.F("peak", fmt.Sprint(load.PeakTasks)), events.F("peak_age", load.PeakAge.Round(time.Millisecond).String()),
		events.F("ends_in", (load.Ends - c.Clock.Now()).Round(time.Millisecond).String()),
		events.F("boot", plan.Boot.String()),
		events.F("registry_age", c.RegistryAge().Round(time.Millisecond).String()),
	}
}
