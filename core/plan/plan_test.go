package plan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// configYAML has an engine service that may use cheap targets and a plain one that
// may not. The schedule's peak is on Wednesday, the release day.
const configYAML = `
deployment: site
dataCentres: [{name: north}, {name: south}, {name: spot, cheap: true}]
cost: {limitPerHour: %g}
capacity: {shrinkAfter: 5m, minLifetime: 10m, drainSettle: 2s, utcOffset: -5h}
services:
  - {name: lm, kind: engine, model: m, minTargets: 4, maxTargets: 12, concurrency: 10, tokensPerSecond: 1000,
     startUp: 3m, costPerHour: 4, cheapPerHour: 1.5,
     schedule: [{name: release, weekday: wednesday, start: "15:00", end: "19:00", minTargets: 9}]}
  - {name: desk, kind: plain, minTargets: 2, maxTargets: 3, concurrency: 10, costPerHour: 1, routes: [{name: /holds}]}
accounts: [{name: shop, services: [lm, desk]}]
trainers: [{name: sorter, service: lm, groupSize: 8, groupsPerStep: 16, stepDeadline: 24m}]
`

func loadConfig(limit float64) (*config.Config, error) {
	return config.Load(config.File{Name: "site", Content: fmt.Appendf(nil, configYAML, limit)})
}

func testConfig(limit float64) *config.Config {
	cfg, err := loadConfig(limit)
	Expect(err).NotTo(HaveOccurred())
	return cfg
}

// monday is Monday noon in the local time of the deployment.
var monday = time.Date(2026, 11, 30, 17, 0, 0, 0, time.UTC)

func runningTargets(n int, service, dc string, cheap bool) []plan.Target {
	out := make([]plan.Target, n)
	for i := range out {
		out[i] = plan.Target{ID: fmt.Sprintf("%s-%s-%d", service, dc, i), Service: service, DataCentre: dc, Cheap: cheap, State: plan.Running}
	}
	return out
}

// countByPool counts orders by service and data centre.
func countByPool(orders []plan.Order) map[string]int {
	out := map[string]int{}
	for _, o := range orders {
		out[o.Service+"/"+o.DataCentre]++
	}
	return out
}

func joinTargets(lists ...[]plan.Target) []plan.Target {
	var out []plan.Target
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

var _ = Describe("Plan", func() {
	var p *plan.Planner
	BeforeEach(func() { p = plan.NewPlanner() })

	It("spreads the minimum over on-demand data centres", func() {
		d := p.Plan(testConfig(100), plan.Input{WallTime: monday})
		Expect(countByPool(d.Starts)).To(Equal(map[string]int{"lm/north": 2, "lm/south": 2, "desk/north": 1, "desk/south": 1}))
	})

	It("orders no further target for an open order", func() {
		in := plan.Input{WallTime: monday}
		for _, o := range p.Plan(testConfig(100), in).Starts {
			in.Targets = append(in.Targets, plan.Target{Service: o.Service, DataCentre: o.DataCentre, State: plan.Starting})
		}
		Expect(p.Plan(testConfig(100), in).Starts).To(BeEmpty())
	})

	It("starts cheap targets for samples, up to the loss share of all targets", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Samples: 84}}}
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).To(Equal(map[string]int{
			"lm/north": 3, "lm/south": 3, "lm/spot": 6, "desk/north": 1, "desk/south": 1,
		}))
	})

	It("orders no cheap targets for callers", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Callers: 84}, "desk": {Callers: 30}}}
		for _, o := range p.Plan(testConfig(100), in).Starts {
			Expect(o.Cheap).To(BeFalse())
		}
	})

	DescribeTable("returns the targets that a step's deadline requires",
		func(tokens float64, remaining time.Duration, targets int) {
			cfg := testConfig(100)
			required := plan.RequiredTargets(cfg, cfg.Service("lm"), plan.Demand{Samples: 500, Steps: []plan.Step{{Tokens: tokens, Remaining: remaining}}}, monday)
			Expect(required.Total()).To(Equal(targets))
		},
		Entry("the minimum when there is enough time", 1e6, 24*time.Minute, 4),
		Entry("more when the minimum is too slow", 5e6, 24*time.Minute, 7),
		Entry("the maximum when the deadline cannot be met", 5e6, time.Minute, 12),
	)

	DescribeTable("raises the minimum ahead of scheduled peaks",
		func(localTime time.Duration, targets int) {
			wednesday := time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC).Add(localTime) // 05:00 UTC is local midnight of the deployment
			cfg := testConfig(100)
			Expect(plan.RequiredTargets(cfg, cfg.Service("lm"), plan.Demand{}, wednesday).OnDemand).To(Equal(targets))
		},
		Entry("not in the morning", 10*time.Hour, 4),
		Entry("before the peak by the start-up time and the lead", 15*time.Hour-3*time.Minute, 9),
		Entry("during the peak", 18*time.Hour, 9),
		Entry("not after the end", 19*time.Hour, 4),
		Entry("not on the next day", 39*time.Hour, 4),
	)

	It("orders no starts in a data centre whose order interface is unreachable", func() {
		in := plan.Input{WallTime: monday, UnreachableDataCentres: map[string]bool{"north": true}}
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).To(Equal(map[string]int{"lm/south": 4, "desk/south": 2}))
	})

	It("counts open orders to an unreachable order interface as cost and not as capacity", func() {
		unreachable := runningTargets(2, "lm", "north", false)
		unreachable[0].State, unreachable[1].State = plan.Unreachable, plan.Unreachable
		in := plan.Input{WallTime: monday, UnreachableDataCentres: map[string]bool{"north": true}, Targets: unreachable}
		Expect(countByPool(p.Plan(testConfig(26), in).Starts)).To(Equal(map[string]int{"lm/south": 4, "desk/south": 2}))
		Expect(countByPool(p.Plan(testConfig(20), in).Starts)["lm/south"]).To(Equal(3))
	})

	It("backs off in a pool whose starts fail, longer after each failure", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Samples: 84}}}
		spotPool := plan.Pool{Service: "lm", DataCentre: "spot", Cheap: true}
		p.RecordStartFailure(0, spotPool)
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).To(HaveKeyWithValue("lm/north", 6))
		in.Now = 3 * time.Second
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).To(HaveKeyWithValue("lm/spot", 6))
		p.RecordStartFailure(in.Now, spotPool)
		in.Now += 3 * time.Second
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).NotTo(HaveKey("lm/spot"))
	})

	It("replaces reclaimed targets in another data centre", func() {
		reclaimed := runningTargets(4, "lm", "spot", true)
		for i := range reclaimed {
			reclaimed[i].State = plan.Terminating
		}
		in := plan.Input{
			WallTime: monday, Targets: joinTargets(reclaimed, runningTargets(4, "lm", "north", false), runningTargets(2, "desk", "north", false)),
			Demand: map[string]plan.Demand{"lm": {Samples: 56}},
		}
		Expect(countByPool(p.Plan(testConfig(100), in).Starts)).To(Equal(map[string]int{"lm/south": 4}))
	})

	It("orders targets of the first service first when the cost limit is reached", func() {
		d := p.Plan(testConfig(9), plan.Input{WallTime: monday})
		Expect(countByPool(d.Starts)).To(Equal(map[string]int{"lm/north": 1, "lm/south": 1, "desk/north": 1}))
		Expect(d.CostLimited).To(BeNumerically(">", 0))
	})

	It("drains the last service's targets first when the cost limit is lowered", func() {
		in := plan.Input{WallTime: monday, Targets: joinTargets(runningTargets(4, "lm", "north", false), runningTargets(3, "desk", "south", false))}
		Expect(p.Plan(testConfig(18), in).Drains).To(Equal([]string{"desk-south-0"}))
	})

	It("drains a lasting surplus, but no target before its minimum lifetime", func() {
		in := plan.Input{WallTime: monday, Targets: joinTargets(runningTargets(7, "lm", "north", false), runningTargets(2, "desk", "south", false))}
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty())
		in.Now = 5 * time.Minute
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty(), "the targets have not reached their minimum lifetime")
		in.Now = 11 * time.Minute
		Expect(p.Plan(testConfig(100), in).Drains).To(HaveLen(1))
		in.Now += time.Minute
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty(), "the surplus timer has restarted")
	})

	It("keeps a step's targets while the trainer trains", func() {
		in := plan.Input{
			WallTime: monday, Now: time.Hour, Targets: joinTargets(runningTargets(7, "lm", "north", false), runningTargets(2, "desk", "south", false)),
			Demand: map[string]plan.Demand{"lm": {Steps: []plan.Step{{Tokens: 1e6, Remaining: 24 * time.Minute}}}},
		}
		p.Plan(testConfig(100), in)
		in.Demand = nil
		in.Now += 20 * time.Minute
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty())
		in.Now += 5 * time.Minute
		Expect(p.Plan(testConfig(100), in).Drains).To(HaveLen(1))
	})

	It("restarts the surplus timer when the surplus ends in between", func() {
		in := plan.Input{WallTime: monday, Now: time.Hour, Targets: joinTargets(runningTargets(5, "lm", "north", false), runningTargets(2, "desk", "south", false))}
		p.Plan(testConfig(100), in)
		in.Now += 4 * time.Minute
		in.Demand = map[string]plan.Demand{"lm": {Callers: 35}}
		p.Plan(testConfig(100), in)
		in.Now, in.Demand = in.Now+2*time.Minute, nil
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty())
	})

	It("replaces unresponsive targets of a service one at a time", func() {
		in := plan.Input{WallTime: monday, Now: time.Hour, Targets: joinTargets(runningTargets(3, "lm", "north", false), runningTargets(2, "desk", "south", false))}
		before := len(p.Plan(testConfig(100), in).Starts)
		in.Targets[0].Unresponsive, in.Targets[1].Unresponsive = true, true
		d := p.Plan(testConfig(100), in)
		Expect(d.Drains).To(Equal([]string{in.Targets[0].ID}))
		Expect(d.Starts).To(HaveLen(before + 1))
		in.Targets[0].State, in.Targets[0].DrainSince = plan.Draining, time.Hour
		Expect(p.Plan(testConfig(100), in).Drains).To(BeEmpty(), "the first is still draining")
	})

	DescribeTable("stops a drained target only after a report that it is idle",
		func(load int, loadReportedAt, now time.Duration, stops int) {
			target := runningTargets(1, "lm", "north", false)[0]
			target.State, target.DrainSince, target.Load, target.LoadReportedAt = plan.Draining, time.Minute, load, loadReportedAt
			d := p.Plan(testConfig(100), plan.Input{WallTime: monday, Now: now, Targets: []plan.Target{target}})
			Expect(d.Stops).To(HaveLen(stops))
			for _, o := range d.Stops {
				Expect(o).To(Equal(plan.Order{Action: record.ActionStop, Service: "lm", DataCentre: "north", Target: target.ID}))
			}
		},
		Entry("no report", 0, time.Duration(0), time.Hour, 0),
		Entry("a report from before the drain", 0, 59*time.Second, time.Hour, 0),
		Entry("a report from before the drain reached every instance", 0, 61*time.Second, time.Hour, 0),
		Entry("a request runs", 1, 65*time.Second, time.Hour, 0),
		Entry("idle", 0, 62*time.Second, 63*time.Second, 1),
	)
})
