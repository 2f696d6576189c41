package plan_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
)

// The trace: a weekday and a release day, each with an evening peak, and a cheap
// data centre that is lost during the second evening.
const (
	traceStep    = 10 * time.Second
	traceLength  = 48 * time.Hour
	lostFrom     = 42 * time.Hour // 18:00 of the release day
	lostFor      = 2 * time.Hour
	stepTokens   = 4e6 // of one trainer step
	stepDeadline = 24 * time.Minute
	startUp      = 3 * time.Minute
	warmUp       = 10 * time.Minute
)

// traceStart is Tuesday midnight at the site.
var traceStart = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

// callersAt returns the slots that callers ask for, with a repeatable ripple.
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

// policy decides for the simulated site.
type policy interface {
	decide(now time.Duration, targets []plan.Target, d plan.Demand) (starts []plan.Order, stops map[string]bool)
}

// planned is the planner under test.
type planned struct {
	cfg *config.Config
	p   *plan.Planner
}

func (p planned) decide(now time.Duration, targets []plan.Target, d plan.Demand) ([]plan.Order, map[string]bool) {
	out := p.p.Plan(p.cfg, plan.Input{Now: now, WallTime: traceStart.Add(now), Targets: targets, Demand: map[string]plan.Demand{"lm": d}})
	stops := map[string]bool{}
	for _, id := range out.Drains {
		stops[id] = true
	}
	return out.Starts, stops
}

// fixed runs a set number of safe targets.
type fixed int

func (f fixed) decide(_ time.Duration, targets []plan.Target, _ plan.Demand) ([]plan.Order, map[string]bool) {
	var starts []plan.Order
	for n := len(targets); n < int(f); n++ {
		starts = append(starts, plan.Order{Service: "lm", DataCentre: "north"})
	}
	return starts, nil
}

// threshold adds a safe target above 80% utilisation and takes one below 40%, at
// most one a minute.
type threshold struct{ last time.Duration }

func (th *threshold) decide(now time.Duration, targets []plan.Target, d plan.Demand) ([]plan.Order, map[string]bool) {
	const most, least = 12, 4
	used := float64(d.Callers+d.Samples) / float64(10*max(len(targets), 1))
	if now-th.last < time.Minute && len(targets) >= least {
		return nil, nil
	}
	th.last = now
	switch {
	case len(targets) < least || used > 0.8 && len(targets) < most:
		return []plan.Order{{Service: "lm", DataCentre: "north"}}, nil
	case used < 0.4 && len(targets) > least:
		return nil, map[string]bool{targets[len(targets)-1].ID: true}
	}
	return nil, nil
}

// outcome is what a policy made of the trace.
type outcome struct {
	spend           float64 // currency units
	callers, served float64 // slot seconds
	samples, cheap  float64 // slot seconds delivered
	steps           int
	idle            time.Duration // of the trainer, after deadlines
	starts          int
	maxSpend        float64
	worst           float64 // largest share of callers' work not served at once
}

// simulation runs one service under a policy.
type simulation struct {
	cfg     *config.Config
	targets []plan.Target
	ready   map[string]time.Duration
	tokens  float64 // left of the step
	began   time.Duration
	out     outcome
	next    int
}

func simulate(cfg *config.Config, p policy) outcome {
	sim := &simulation{cfg: cfg, ready: map[string]time.Duration{}, tokens: stepTokens}
	for now := time.Duration(0); now < traceLength; now += traceStep {
		sim.reclaim(now)
		sim.serve(now)
		d := plan.Demand{Callers: int(callersAt(now)), Samples: 64, Steps: []plan.Step{{Tokens: sim.tokens, Remaining: sim.began + stepDeadline - now}}}
		starts, stops := p.decide(now, sim.targets, d)
		sim.carryOut(now, starts, stops)
	}
	return sim.out
}

func (s *simulation) reclaim(now time.Duration) {
	if now != lostFrom {
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

// serve shares the capacity: callers first on safe targets, samples on the rest.
func (s *simulation) serve(now time.Duration) {
	seconds := traceStep.Seconds()
	safe, cheap, rate := 0.0, 0.0, 0.0
	for i := range s.targets {
		t := &s.targets[i]
		rate += price(s.cfg, "lm", t.Cheap)
		if t.State == plan.Starting && now >= s.ready[t.ID] {
			t.State = plan.Running
		}
		if t.State != plan.Running {
			continue
		}
		if t.Cheap {
			cheap += 10
		} else {
			safe += 10
		}
	}
	want := callersAt(now)
	served := min(want, safe)
	s.out.spend += rate * traceStep.Hours()
	s.out.maxSpend = max(s.out.maxSpend, rate)
	s.out.callers += want * seconds
	s.out.served += served * seconds
	if now > warmUp {
		s.out.worst = max(s.out.worst, (want-served)/want)
	}
	s.sample(now, (safe-served)*seconds, cheap*seconds)
}

// sample generates a tenth of a target's rate per slot and second. A step begins
// when the one before is whole and its deadline has passed.
func (s *simulation) sample(now time.Duration, safe, cheap float64) {
	tokensPerSlot := s.cfg.Service("lm").TokensPerSecond / 10
	room := s.tokens / tokensPerSlot
	onCheap := min(cheap, room)
	onSafe := min(safe, room-onCheap)
	s.out.cheap += onCheap
	s.out.samples += onCheap + onSafe
	s.tokens -= (onCheap + onSafe) * tokensPerSlot
	deadline := s.began + stepDeadline
	if s.tokens > 1 && now > deadline {
		s.out.idle += traceStep
	}
	if s.tokens > 1 || now < deadline {
		return
	}
	s.out.steps++
	s.tokens, s.began = stepTokens, now
}

func (s *simulation) carryOut(now time.Duration, starts []plan.Order, stops map[string]bool) {
	for _, o := range starts {
		if o.Service != "lm" || o.Cheap && now >= lostFrom && now < lostFrom+lostFor {
			continue
		}
		s.next++
		id := fmt.Sprint(s.next)
		s.ready[id] = now + startUp
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
		"planned":   func() policy { return planned{cfg, plan.NewPlanner()} },
		"fixed":     func() policy { return fixed(12) },
		"threshold": func() policy { return &threshold{last: -time.Hour} },
	}
}

// BenchmarkTrace reports what each policy spends and delivers over the trace.
func BenchmarkTrace(b *testing.B) {
	cfg, err := siteConfig(60)
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range []string{"planned", "fixed", "threshold"} {
		b.Run(name, func(b *testing.B) {
			var out outcome
			for b.Loop() {
				out = simulate(cfg, policies(cfg)[name]())
			}
			b.ReportMetric(out.spend, "spend")
			b.ReportMetric(1000*out.spend/((out.served+out.samples)/3600), "spend/1000slot-h")
			b.ReportMetric(100*out.served/out.callers, "%callers")
			b.ReportMetric(100*out.worst, "%worst")
			b.ReportMetric(float64(out.steps), "steps")
			b.ReportMetric(out.idle.Minutes(), "idle-min")
			b.ReportMetric(100*out.cheap/out.samples, "%cheap")
			b.ReportMetric(float64(out.starts), "starts")
			b.ReportMetric(out.maxSpend, "spend/h-max")
		})
	}
}
