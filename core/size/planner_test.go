package size_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/size"
)

var _ = Describe("Planner", func() {
	var p *size.Planner
	var in size.Input
	fleet := func(counts map[string]int) (out []size.Target) {
		for zone, n := range counts {
			for i := range n {
				out = append(out, size.Target{ID: fmt.Sprint(zone, i), DataCentre: zone, Slots: 10, Ready: true})
			}
		}
		return out
	}
	BeforeEach(func() {
		p = size.NewPlanner(size.Settings{Boot: 4 * time.Second, Lapse: 2 * time.Second})
		in = size.Input{
			Targets: fleet(map[string]int{"a": 3, "b": 3, "c": 3}),
			Load:    size.Load{PeakTasks: 90, Ends: time.Hour},
			Bounds:  size.Bounds{Min: 1, Max: 6, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}},
		}
		Expect(p.Plan(0, in).Orders).To(BeEmpty())
	})
	refuse := func(now time.Duration, orders []size.Order) {
		for _, o := range orders {
			p.SetOutcome(now, o, size.Refused)
		}
	}

	It("counts targets that drain or whose entries lapsed in the total of an order", func() {
		in.Targets = fleet(map[string]int{"b": 2, "c": 3}) // a is lost, one entry of b lapsed
		in.Targets = append(in.Targets, size.Target{ID: "b1", DataCentre: "b", Slots: 10})
		for _, o := range p.Plan(time.Second, in).Orders {
			Expect(o.DataCentre).NotTo(Equal("a"))
			Expect(o.Count).To(BeNumerically(">", 3), "order for %s", o.DataCentre)
		}
	})
	It("waits for a single target that is away for less than the boot time", func() {
		in.Targets = fleet(map[string]int{"a": 2, "b": 3, "c": 3})
		Expect(p.Plan(time.Second, in).Orders).To(BeEmpty())
		Expect(p.Plan(4*time.Second, in).Orders).To(BeEmpty())
		Expect(p.Plan(5*time.Second, in).Orders).To(HaveLen(1))
	})
	It("stays within the maximum and orders no less than the minimum", func() {
		in.Bounds.Max = 4
		in.Evacuated = []string{"a"}
		in.Targets = fleet(map[string]int{"b": 3, "c": 3})
		plan := p.Plan(time.Second, in)
		Expect(plan.Missing).To(Equal(3))
		Expect(plan.Orders).To(ConsistOf(size.Order{DataCentre: "b", Count: 4, Running: 3}, size.Order{DataCentre: "c", Count: 4, Running: 3}))
	})
	It("orders nothing that would be ready only after the demand has ended", func() {
		in.Targets = fleet(map[string]int{"b": 3, "c": 3})
		in.Load.Ends = 5 * time.Second
		plan := p.Plan(time.Second, in)
		Expect(plan.Orders).To(BeEmpty())
		Expect(plan.Reason).To(Equal(size.ReasonEnds))
	})
	It("asks a data centre that refuses again after intervals that grow up to a bound", func() {
		in.Evacuated = []string{"a", "c"}
		in.Load.Short = true
		in.Targets = fleet(map[string]int{"b": 3})
		var asked []time.Duration
		for now := time.Second; now < 5*time.Minute; now += 100 * time.Millisecond {
			if orders := p.Plan(now, in).Orders; len(orders) > 0 {
				refuse(now, orders)
				asked = append(asked, now)
			}
		}
		for i, want := range []time.Duration{4, 8, 16, 32, 64, 64} {
			Expect(asked[i+1] - asked[i]).To(Equal(want * time.Second))
		}
	})
	It("estimates the boot time from the registrations that follow an order", func() {
		in.Targets = fleet(map[string]int{"b": 3, "c": 3})
		orders := p.Plan(time.Second, in).Orders
		for _, o := range orders {
			p.SetOutcome(time.Second, o, size.Accepted)
		}
		in.Targets = fleet(map[string]int{"b": 5, "c": 4})
		Expect(p.Plan(3*time.Second, in).Boot).To(Equal(2 * time.Second))
	})
	It("handles bounds, loads and targets that make no sense", func() {
		in.Bounds.Min, in.Bounds.Max = 5, -1
		in.Load = size.Load{PeakTasks: 1 << 40, Short: true, Ends: time.Hour, JobTime: 1, Deadline: 1 << 60}
		Expect(p.Plan(time.Second, in).Orders).To(BeEmpty())
		in.Targets = []size.Target{{ID: "x", DataCentre: "z", Slots: -3, Ready: true, LeavesIn: -time.Hour}}
		Expect(p.Plan(2*time.Minute, in).Orders).To(BeEmpty())
	})
})

var _ = Describe("Forecast", func() {
	It("expects steps at the interval of the last ones, until one is long overdue", func() {
		f := size.NewForecast()
		jobs := []size.Job{}
		for i := range 4 {
			at := time.Duration(10*i) * time.Second
			jobs = append(jobs, size.Job{Stream: "m", SubmittedAt: at, ClosedAt: at + 6*time.Second, Deadline: 7 * time.Second})
		}
		load := f.Observe(37*time.Second, jobs)
		Expect(load.NextStep).To(Equal(40 * time.Second))
		Expect(load.Ends).To(Equal(47 * time.Second))
		Expect(load.JobTime).To(Equal(6 * time.Second))
		Expect(f.Observe(61*time.Second, nil).NextStep).To(BeZero())
	})
})
