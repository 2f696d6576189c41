package plan_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
)

func hourlyCost(cfg *config.Config, targets []plan.Target) float64 {
	sum := 0.0
	for _, t := range targets {
		sum += price(cfg, t.Service, t.Cheap)
	}
	return sum
}

func price(cfg *config.Config, service string, cheap bool) float64 {
	if cheap {
		return cfg.Service(service).CheapPerHour
	}
	return cfg.Service(service).CostPerHour
}

func drawTargets(t *rapid.T) []plan.Target {
	var out []plan.Target
	for i := range rapid.IntRange(0, 20).Draw(t, "targets") {
		service := rapid.SampledFrom([]string{"lm", "desk"}).Draw(t, "service")
		dc := rapid.SampledFrom([]string{"north", "south", "spot"}).Draw(t, "dc")
		out = append(out, plan.Target{
			ID: fmt.Sprint(i), Service: service, DataCentre: dc, Cheap: dc == "spot",
			State: plan.State(rapid.IntRange(1, 5).Draw(t, "state")), Load: rapid.IntRange(0, 2).Draw(t, "load"),
			LoadReportedAt: time.Duration(rapid.IntRange(0, 100).Draw(t, "loadAt")) * time.Second,
		})
	}
	return out
}

func drawDemand(t *rapid.T) plan.Demand {
	d := plan.Demand{Callers: rapid.IntRange(0, 200).Draw(t, "callers"), Samples: rapid.IntRange(0, 200).Draw(t, "samples")}
	if rapid.Bool().Draw(t, "step") {
		d.Steps = []plan.Step{{Tokens: rapid.Float64Range(0, 1e7).Draw(t, "tokens"), Remaining: time.Duration(rapid.IntRange(-60, 2000).Draw(t, "left")) * time.Second}}
	}
	return d
}

func TestCostLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, err := loadConfig(rapid.Float64Range(1, 80).Draw(t, "limit"))
		if err != nil {
			t.Fatal(err)
		}
		p := plan.NewPlanner()
		targets := drawTargets(t)
		for pass := range 4 {
			in := plan.Input{
				Now: time.Duration(pass) * 6 * time.Minute, WallTime: monday.Add(time.Duration(rapid.IntRange(0, 167).Draw(t, "hour")) * time.Hour),
				Targets: targets, Demand: map[string]plan.Demand{"lm": drawDemand(t), "desk": drawDemand(t)},
				UnreachableDataCentres: map[string]bool{"north": rapid.Bool().Draw(t, "down")},
			}
			costBefore := hourlyCost(cfg, targets)
			d := p.Plan(cfg, in)
			if len(d.Starts) > 0 && costBefore > cfg.Cost.LimitPerHour {
				t.Fatalf("starts at a cost of %g with a limit of %g", costBefore, cfg.Cost.LimitPerHour)
			}
			drained := map[string]bool{}
			for _, id := range d.Drains {
				drained[id] = true
			}
			for i := range targets {
				if drained[targets[i].ID] && targets[i].State != plan.Running {
					t.Fatalf("drains a target in state %d, want running", targets[i].State)
				}
			}
			for i, o := range d.Starts {
				if o.Cheap && o.Service == "desk" || in.UnreachableDataCentres[o.DataCentre] || o.Cheap != (o.DataCentre == "spot") {
					t.Fatalf("start in a pool that is not allowed: %+v", o)
				}
				targets = append(targets, plan.Target{ID: fmt.Sprint(pass, "-", i), Service: o.Service, DataCentre: o.DataCentre, Cheap: o.Cheap, State: plan.Starting})
			}
			if costAfter := hourlyCost(cfg, targets); len(d.Starts) > 0 && costAfter > cfg.Cost.LimitPerHour {
				t.Fatalf("cost %g with the starts exceeds the limit %g", costAfter, cfg.Cost.LimitPerHour)
			}
		}
	})
}
