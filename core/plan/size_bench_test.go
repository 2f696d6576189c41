package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
)

// BenchmarkPlanSize reports the time of one decision for 27 data centres, per target.
func BenchmarkPlanSize(b *testing.B) {
	for _, n := range []int{120, 1200, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := &config.Config{Cost: config.Cost{LimitPerHour: 1e9}}
			cfg.Capacity = config.Capacity{Utilisation: 0.7, ShrinkAfter: time.Minute, MinLifetime: time.Minute, DrainSettle: time.Second, LossShare: 0.5}
			for i := range 27 {
				cfg.DataCentres = append(cfg.DataCentres, config.DataCentre{Name: fmt.Sprint(i), Cheap: i%3 == 0})
			}
			cfg.Services = []config.Service{{
				Name: "lm", Kind: config.KindEngine, MinTargets: n / 4, MaxTargets: n, Concurrency: 16, CostPerHour: 4, CheapPerHour: 1.5,
			}}
			var targets []plan.Target
			for i := range n {
				targets = append(targets, plan.Target{
					ID: fmt.Sprint(i), Service: "lm", DataCentre: fmt.Sprint(i % 27), Cheap: i%3 == 0, State: plan.Running, Load: 11,
				})
			}
			p := plan.NewPlanner()
			in := plan.Input{Targets: targets, Demand: map[string]plan.Demand{"lm": {Callers: n * 5, Samples: n * 6}}}
			for b.Loop() {
				p.Plan(cfg, in)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/target")
		})
	}
}
