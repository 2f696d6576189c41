package plan_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
)

// The trace covers a weekday and a release day, each with an evening peak. A cheap data
// centre is reclaimed during the second evening.
const (
	traceStep     = 10 * time.Second
	traceLength   = 48 * time.Hour
	reclaimedFrom = 42 * time.Hour // 18:00 of the release day
	reclaimedFor  = 2 * time.Hour
	stepTokens    = 4e6 // tokens of each step of the trainer
	stepDeadline  = 24 * time.Minute
	startUp       = 3 * time.Minute
	warmUp        = 10 * time.Minute // from the start, not counted for worstUnserved
)

// traceStart is Tuesday midnight in the local time of the deployment.
var traceStart = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

// callersAt returns the number of slots that callers need at t: a daily cycle with a peak
// in the evening, more on the release day, and a deterministic ripple.
func callersAt(t time.Duration) float64 {
	hour := math.Mod(t.Hours(), 24)
	base := 8 + 6*math.Sin((hour-8)/24*2*math.Pi)
	evening := 18 * math.Exp(-(hour-17.5)*(hour-17.5)/1.5)
	release := 0.0
	if t >= 24*time.Hour && hour >= 15.2 && hour < 19 {
		release = 30
	}
	ripple := 1 + 0.15*math.Sin(t.Seconds()/97)*math.Sin(t.Seconds()/389)
	return (base + evening + release) * ripple
}

// policy decides about starts and stops in the simulated deployment.
type policy interface {
	decide(now time.Duration, targets []plan.Target, d plan.Demand) (starts []plan.Order, stops map[string]bool)
}

// plannerPolicy applies the decisions of a Planner.
type plannerPolicy struct {
	cfg     *config.Config
	planner *plan.Planner
}

func (p plannerPolicy) decide(now time.Duration, targets []plan.Target, d plan.Demand) ([]plan.Order, map[string]bool) {
	out := p.planner.Plan(p.cfg, plan.Input{Now: now, WallTime: traceStart.Add(now), Targets: targets, Demand: map[string]plan.Demand{"lm": d}})
	stops := map[string]bool{}
	for _, id := range out.Drains {
		stops[id] = true
	}
	return out.Starts, stops
}

// fixedPolicy runs a fixed number of on-demand targets.
type fixedPolicy int

func (f fixedPolicy) decide(_ time.Duration, targets []plan.Target, _ plan.Demand) ([]plan.Order, map[string]bool) {
	var starts []plan.Order
	for n := len(targets); n < int(f); n++ {
		starts = append(starts, plan.Order{Service: "lm", DataCentre: "north"})
	}
	return starts, nil
}

// thresholdPolicy adds an on-demand target above 80% utilisation and removes one below
// 40%, at most one per minute.
type thresholdPolicy struct{ lastChange time.Duration }

func (th *thresholdPolicy) decide(now time.Duration, targets []plan.Target, d plan.Demand) ([]plan.Order, map[string]bool) {
	const maxTargets, minTargets = 12, 4
	utilisation := float64(d.Callers+d.Samples) / float64(10*max(len(targets), 1))
	if now-th.lastChange < time.Minute && len(targets) >= minTargets {
		return nil, nil
	}
	th.lastChange = now
	switch {
	case len(targets) < minTargets || utilisation > 0.8 && len(targets) < maxTargets:
		return []plan.Order{{Service: "lm", DataCentre: "north"}}, nil
	case utilisation < 0.4 && len(targets) > minTargets:
		return nil, map[string]bool{targets[len(targets)-1].ID: true}
	}
	return nil, nil
}

// outcome holds a policy's cost and the work that it served over the trace.
type outcome struct {
	cost                                 float64 // currency units
	callerSlotSeconds, servedSlotSeconds float64 // needed by callers; served to them
	sampleSlotSeconds, cheapSlotSeconds  float64 // served to samples; on cheap targets
	steps                                int
	idle                                 time.Duration // time that the trainer waits, after the deadline, for incomplete steps
	starts                               int
	maxCostPerHour                       float64
	worstUnserved                        float64 // largest share of callers' work not served immediately
}

// simulation runs one service under a policy over the trace.
type simulation struct {
	cfg           *config.Config
	targets       []plan.Target
	readyAt       map[string]time.Duration
	tokensLeft    float64 // still to be generated for the step
	stepStartedAt time.Duration
	out           outcome
	lastID        int
}

func simulate(cfg *config.Config, p policy) outcome {
	s := &simulation{cfg: cfg, readyAt: map[string]time.Duration{}, tokensLeft: stepTokens}
	for now := time.Duration(0); now < traceLength; now += traceStep {
		s.reclaim(now)
		s.serve(now)
		d := plan.Demand{Callers: int(callersAt(now)), Samples: 64, Steps: []plan.Step{{Tokens: s.tokensLeft, Remaining: s.stepStartedAt + stepDeadline - now}}}
		starts, stops := p.decide(now, s.targets, d)
		s.apply(now, starts, stops)
	}
	return s.out
}

// reclaim removes all cheap targets when the cheap data centre is reclaimed.
func (s *simulation) reclaim(now time.Duration) {
	if now != reclaimedFrom {
		return
	}
	kept := s.targets[:0]
	for _, t := range s.targets {
		if t.Cheap {
			continue
		}
		kept = append(kept, t)
	}
	s.targets = kept
}

// serve allocates the slots of running targets: callers get on-demand slots first,
// samples the others.
func (s *simulation) serve(now time.Duration) {
	seconds := traceStep.Seconds()
	onDemand, cheap, costPerHour := 0.0, 0.0, 0.0
	for i := range s.targets {
		t := &s.targets[i]
		costPerHour += price(s.cfg, "lm", t.Cheap)
		if t.State == plan.Starting && now >= s.readyAt[t.ID] {
			t.State = plan.Running
		}
		if t.State != plan.Running {
			continue
		}
		if t.Cheap {
			cheap += 10
		} else {
			onDemand += 10
		}
	}
	callers := callersAt(now)
	served := min(callers, onDemand)
	s.out.cost += costPerHour * traceStep.Hours()
	s.out.maxCostPerHour = max(s.out.maxCostPerHour, costPerHour)
	s.out.callerSlotSeconds += callers * seconds
	s.out.servedSlotSeconds += served * seconds
	if now > warmUp {
		s.out.worstUnserved = max(s.out.worstUnserved, (callers-served)/callers)
	}
	s.generateSamples(now, (onDemand-served)*seconds, cheap*seconds)
}

// generateSamples generates the step's tokens, first on cheap targets, at a tenth of a
// target's rate per slot. A step starts when the one before is complete and its deadline
// has passed.
func (s *simulation) generateSamples(now time.Duration, onDemandSlotSeconds, cheapSlotSeconds float64) {
	tokensPerSlotSecond := s.cfg.Service("lm").TokensPerSecond / 10
	neededSlotSeconds := s.tokensLeft / tokensPerSlotSecond
	cheapUsed := min(cheapSlotSeconds, neededSlotSeconds)
	onDemandUsed := min(onDemandSlotSeconds, neededSlotSeconds-cheapUsed)
	s.out.cheapSlotSeconds += cheapUsed
	s.out.sampleSlotSeconds += cheapUsed + onDemandUsed
	s.tokensLeft -= (cheapUsed + onDemandUsed) * tokensPerSlotSecond
	deadline := s.stepStartedAt + stepDeadline
	if s.tokensLeft > 1 && now > deadline {
		s.out.idle += traceStep
	}
	if s.tokensLeft > 1 || now < deadline {
		return
	}
	s.out.steps++
	s.tokensLeft, s.stepStartedAt = stepTokens, now
}

// apply starts and removes targets. Cheap starts fail while the cheap data centre is
// reclaimed.
func (s *simulation) apply(now time.Duration, starts []plan.Order, stops map[string]bool) {
	for _, o := range starts {
		if o.Service != "lm" || o.Cheap && now >= reclaimedFrom && now < reclaimedFrom+reclaimedFor {
			continue
		}
		s.lastID++
		id := fmt.Sprint(s.lastID)
		s.readyAt[id] = now + startUp
		s.out.starts++
		s.targets = append(s.targets, plan.Target{ID: id, Service: "lm", DataCentre: o.DataCentre, Cheap: o.Cheap, State: plan.Starting, FirstSeen: now})
	}
	kept := s.targets[:0]
	for _, t := range s.targets {
		if !stops[t.ID] {
			kept = append(kept, t)
		}
	}
	s.targets = kept
}

func policies(cfg *config.Config) map[string]func() policy {
	return map[string]func() policy{
		"planned":   func() policy { return plannerPolicy{cfg, plan.NewPlanner()} },
		"fixed":     func() policy { return fixedPolicy(12) },
		"threshold": func() policy { return &thresholdPolicy{lastChange: -time.Hour} },
	}
}

// BenchmarkTrace reports the cost and the service of each policy over the trace.
func BenchmarkTrace(b *testing.B) {
	cfg, err := loadConfig(60)
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range []string{"planned", "fixed", "threshold"} {
		b.Run(name, func(b *testing.B) {
			var out outcome
			for b.Loop() {
				out = simulate(cfg, policies(cfg)[name]())
			}
			b.ReportMetric(out.cost, "spend")
			b.ReportMetric(1000*out.cost/((out.servedSlotSeconds+out.sampleSlotSeconds)/3600), "spend/1000slot-h")
			b.ReportMetric(100*out.servedSlotSeconds/out.callerSlotSeconds, "%callers")
			b.ReportMetric(100*out.worstUnserved, "%worst")
			b.ReportMetric(float64(out.steps), "steps")
			b.ReportMetric(out.idle.Minutes(), "idle-min")
			b.ReportMetric(100*out.cheapSlotSeconds/out.sampleSlotSeconds, "%cheap")
			b.ReportMetric(float64(out.starts), "starts")
			b.ReportMetric(out.maxCostPerHour, "spend/h-max")
		})
	}
}
