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

// siteYAML has an engine service that may use cheap targets and a plain one that
// may not. Wednesday is release day.
const siteYAML = `
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

func siteConfig(limit float64) (*config.Config, error) {
	return config.Load(config.File{Name: "site", Content: fmt.Appendf(nil, siteYAML, limit)})
}

func site(limit float64) *config.Config {
	cfg, err := siteConfig(limit)
	Expect(err).NotTo(HaveOccurred())
	return cfg
}

// monday noon, local time of the site.
var monday = time.Date(2026, 11, 30, 17, 0, 0, 0, time.UTC)

func running(n int, service, dc string, cheap bool) []plan.Target {
	out := make([]plan.Target, n)
	for i := range out {
		out[i] = plan.Target{ID: fmt.Sprintf("%s-%s-%d", service, dc, i), Service: service, DataCentre: dc, Cheap: cheap, State: plan.Running}
	}
	return out
}

// places counts orders by service and data centre.
func places(orders []plan.Order) map[string]int {
	out := map[string]int{}
	for _, o := range orders {
		out[o.Service+"/"+o.DataCentre]++
	}
	return out
}

func join(lists ...[]plan.Target) []plan.Target {
	var out []plan.Target
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

var _ = Describe("Plan", func() {
	var p *plan.Planner
	BeforeEach(func() { p = plan.NewPlanner() })

	It("spreads the minimum over safe data centres", func() {
		d := p.Plan(site(100), plan.Input{WallTime: monday})
		Expect(places(d.Starts)).To(Equal(map[string]int{"lm/north": 2, "lm/south": 2, "desk/north": 1, "desk/south": 1}))
	})

	It("orders nothing twice while orders are open", func() {
		in := plan.Input{WallTime: monday}
		for _, o := range p.Plan(site(100), in).Starts {
			in.Targets = append(in.Targets, plan.Target{Service: o.Service, DataCentre: o.DataCentre, State: plan.Starting})
		}
		Expect(p.Plan(site(100), in).Starts).To(BeEmpty())
	})

	It("meets sampling with cheap targets and keeps the rest for their loss", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Samples: 84}}}
		Expect(places(p.Plan(site(100), in).Starts)).To(Equal(map[string]int{
			"lm/north": 3, "lm/south": 3, "lm/spot": 6, "desk/north": 1, "desk/south": 1,
		}))
	})

	It("keeps callers off cheap targets", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Callers: 84}, "desk": {Callers: 30}}}
		for _, o := range p.Plan(site(100), in).Starts {
			Expect(o.Cheap).To(BeFalse())
		}
	})

	DescribeTable("meets a step's deadline",
		func(tokens float64, left time.Duration, targets int) {
			cfg := site(100)
			need := plan.RequiredTargets(cfg, cfg.Service("lm"), plan.Demand{Samples: 500, Steps: []plan.Step{{Tokens: tokens, Remaining: left}}}, monday)
			Expect(need.Total()).To(Equal(targets))
		},
		Entry("with the minimum when there is time", 1e6, 24*time.Minute, 4),
		Entry("with more when it is close", 5e6, 24*time.Minute, 7),
		Entry("with all when it cannot be met", 5e6, time.Minute, 12),
	)

	DescribeTable("starts ahead of scheduled peaks",
		func(local time.Duration, targets int) {
			wednesday := time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC).Add(local) // midnight at the site
			cfg := site(100)
			Expect(plan.RequiredTargets(cfg, cfg.Service("lm"), plan.Demand{}, wednesday).OnDemand).To(Equal(targets))
		},
		Entry("not in the morning", 10*time.Hour, 4),
		Entry("by the start-up time and the lead", 15*time.Hour-3*time.Minute, 9),
		Entry("during it", 18*time.Hour, 9),
		Entry("until it ends", 19*time.Hour, 4),
		Entry("not on the next day", 39*time.Hour, 4),
	)

	It("moves starts away from an interface that does not answer", func() {
		in := plan.Input{WallTime: monday, UnreachableDataCentres: map[string]bool{"north": true}}
		Expect(places(p.Plan(site(100), in).Starts)).To(Equal(map[string]int{"lm/south": 4, "desk/south": 2}))
	})

	It("counts orders to such an interface as cost and not as capacity", func() {
		lost := running(2, "lm", "north", false)
		lost[0].State, lost[1].State = plan.Unreachable, plan.Unreachable
		in := plan.Input{WallTime: monday, UnreachableDataCentres: map[string]bool{"north": true}, Targets: lost}
		Expect(places(p.Plan(site(26), in).Starts)).To(Equal(map[string]int{"lm/south": 4, "desk/south": 2}))
		Expect(places(p.Plan(site(20), in).Starts)["lm/south"]).To(Equal(3))
	})

	It("backs off where starts fail, and longer each time", func() {
		in := plan.Input{WallTime: monday, Demand: map[string]plan.Demand{"lm": {Samples: 84}}}
		spot := plan.Pool{Service: "lm", DataCentre: "spot", Cheap: true}
		p.RecordStartFailure(0, spot)
		Expect(places(p.Plan(site(100), in).Starts)).To(HaveKeyWithValue("lm/north", 6))
		in.Now = 3 * time.Second
		Expect(places(p.Plan(site(100), in).Starts)).To(HaveKeyWithValue("lm/spot", 6))
		p.RecordStartFailure(in.Now, spot)
		in.Now += 3 * time.Second
		Expect(places(p.Plan(site(100), in).Starts)).NotTo(HaveKey("lm/spot"))
	})

	It("replaces reclaimed targets elsewhere", func() {
		gone := running(4, "lm", "spot", true)
		for i := range gone {
			gone[i].State = plan.Terminating
		}
		in := plan.Input{
			WallTime: monday, Targets: join(gone, running(4, "lm", "north", false), running(2, "desk", "north", false)),
			Demand: map[string]plan.Demand{"lm": {Samples: 56}},
		}
		Expect(places(p.Plan(site(100), in).Starts)).To(Equal(map[string]int{"lm/south": 4}))
	})

	It("serves the first service first when the limit binds", func() {
		d := p.Plan(site(9), plan.Input{WallTime: monday})
		Expect(places(d.Starts)).To(Equal(map[string]int{"lm/north": 1, "lm/south": 1, "desk/north": 1}))
		Expect(d.CostLimited).To(BeNumerically(">", 0))
	})

	It("drains the last service's targets first when the limit is lowered", func() {
		in := plan.Input{WallTime: monday, Targets: join(running(4, "lm", "north", false), running(3, "desk", "south", false))}
		Expect(p.Plan(site(18), in).Drains).To(Equal([]string{"desk-south-0"}))
	})

	It("drains a surplus that lasts, never younger targets than the lifetime", func() {
		in := plan.Input{WallTime: monday, Targets: join(running(7, "lm", "north", false), running(2, "desk", "south", false))}
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty())
		in.Now = 5 * time.Minute
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty(), "the targets are young")
		in.Now = 11 * time.Minute
		Expect(p.Plan(site(100), in).Drains).To(HaveLen(1))
		in.Now += time.Minute
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty(), "one step at a time")
	})

	It("keeps what a step needed while the trainer trains", func() {
		in := plan.Input{
			WallTime: monday, Now: time.Hour, Targets: join(running(7, "lm", "north", false), running(2, "desk", "south", false)),
			Demand: map[string]plan.Demand{"lm": {Steps: []plan.Step{{Tokens: 1e6, Remaining: 24 * time.Minute}}}},
		}
		p.Plan(site(100), in)
		in.Demand = nil
		in.Now += 20 * time.Minute
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty())
		in.Now += 5 * time.Minute
		Expect(p.Plan(site(100), in).Drains).To(HaveLen(1))
	})

	It("does not drain when the surplus goes away in between", func() {
		in := plan.Input{WallTime: monday, Now: time.Hour, Targets: join(running(5, "lm", "north", false), running(2, "desk", "south", false))}
		p.Plan(site(100), in)
		in.Now += 4 * time.Minute
		in.Demand = map[string]plan.Demand{"lm": {Callers: 35}}
		p.Plan(site(100), in)
		in.Now, in.Demand = in.Now+2*time.Minute, nil
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty())
	})

	It("replaces targets that do not answer, one of a service at a time", func() {
		in := plan.Input{WallTime: monday, Now: time.Hour, Targets: join(running(3, "lm", "north", false), running(2, "desk", "south", false))}
		before := len(p.Plan(site(100), in).Starts)
		in.Targets[0].Unresponsive, in.Targets[1].Unresponsive = true, true
		d := p.Plan(site(100), in)
		Expect(d.Drains).To(Equal([]string{in.Targets[0].ID}))
		Expect(d.Starts).To(HaveLen(before + 1))
		in.Targets[0].State, in.Targets[0].DrainSince = plan.Draining, time.Hour
		Expect(p.Plan(site(100), in).Drains).To(BeEmpty(), "the first is not gone yet")
	})

	DescribeTable("stops a drained target only when it is known to be idle",
		func(load int, loadAt, now time.Duration, stops int) {
			target := running(1, "lm", "north", false)[0]
			target.State, target.DrainSince, target.Load, target.LoadReportedAt = plan.Draining, time.Minute, load, loadAt
			d := p.Plan(site(100), plan.Input{WallTime: monday, Now: now, Targets: []plan.Target{target}})
			Expect(d.Stops).To(HaveLen(stops))
			for _, o := range d.Stops {
				Expect(o).To(Equal(plan.Order{Action: record.ActionStop, Service: "lm", DataCentre: "north", Target: target.ID}))
			}
		},
		Entry("no report", 0, time.Duration(0), time.Hour, 0),
		Entry("a report from before the drain", 0, 59*time.Second, time.Hour, 0),
		Entry("a report from before the drain settled", 0, 61*time.Second, time.Hour, 0),
		Entry("a request runs", 1, 65*time.Second, time.Hour, 0),
		Entry("idle", 0, 62*time.Second, 63*time.Second, 1),
	)
})
