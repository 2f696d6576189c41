package rollout_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // a fixed order of the specs
	RunSpecs(t, "core/rollout", suite, reporter)
}

var limits = rollout.Limits{
	Parallel: 2, MaxFailures: 3, InitialBackoff: time.Second, MaxBackoff: 4 * time.Second,
	OutOfServiceBackoff: time.Minute, ReportLag: 5 * time.Second,
}

func engines(versions ...int64) []rollout.Target {
	out := make([]rollout.Target, len(versions))
	for i, v := range versions {
		out[i] = rollout.Target{ID: fmt.Sprintf("t%d", i), DataCentre: []string{"north", "south"}[i%2], Version: v}
	}
	return out
}

var _ = Describe("Rollout", func() {
	var r *rollout.Rollout
	BeforeEach(func() { r = rollout.New(limits) })
	ids := func(orders []rollout.LoadOrder) []string {
		var out []string
		for _, o := range orders {
			out = append(out, o.Target)
		}
		return out
	}

	DescribeTable("orders loads in a sequence that keeps the service available",
		func(targets []rollout.Target, want ...string) {
			r.SetDesired(0, 5)
			Expect(ids(r.Plan(0, targets))).To(Equal(want))
		},
		Entry("unknown versions first, one per data centre", engines(4, 4, 4, 0), "t0", "t3"),
		Entry("the oldest version first", engines(4, 4, 3, 2), "t2", "t3"),
		Entry("no order to engines with the version or a newer one", engines(6, 5, 4), "t2"),
		Entry("less loaded first", []rollout.Target{{ID: "a", Load: 9, Version: 1}, {ID: "b", Load: 1, Version: 1}, {ID: "c", Load: 5, Version: 1}}, "b", "c"),
		Entry("no order to terminating or draining engines", []rollout.Target{{ID: "a", Version: 1, Leaving: true}, {ID: "b", Version: 1}}, "b"),
	)

	It("limits the loads in progress and orders the next one when one finishes", func() {
		r.SetDesired(0, 5)
		first := r.Plan(0, engines(4, 4, 4, 4))
		Expect(first).To(HaveLen(2))
		Expect(r.Plan(1, engines(4, 4, 4, 4))).To(BeEmpty())
		r.Done(2, first[0], true)
		Expect(r.Plan(2, engines(4, 4, 4, 4))).To(HaveLen(1))
	})

	It("retries a failed load with growing backoff, then takes the engine out of service until a load succeeds", func() {
		r.SetDesired(0, 5)
		now := time.Duration(0)
		for _, backoff := range []time.Duration{time.Second, 2 * time.Second} {
			o := r.Plan(now, engines(4, 5))
			Expect(o).To(HaveLen(1))
			r.Done(now, o[0], false)
			Expect(r.Plan(now+backoff-1, engines(0, 5))).To(BeEmpty())
			now += backoff
		}
		r.Done(now, r.Plan(now, engines(0, 5))[0], false)
		Expect(r.OutOfService()).To(Equal([]string{"t0"}))
		Expect(r.Plan(now+time.Minute-1, engines(0, 5))).To(BeEmpty())
		now += time.Minute
		r.Done(now, r.Plan(now, engines(0, 5))[0], true)
		Expect(r.OutOfService()).To(Equal([]string{"t0"}), "out of service until the engine reports the version")
		r.Plan(now, engines(5, 5))
		Expect(r.OutOfService()).To(BeEmpty())
	})

	It("keeps half of the engines in service when none can load a version, taking out those of unknown version first", func() {
		now := time.Duration(0)
		r.SetDesired(now, 5)
		for range 40 {
			for _, o := range r.Plan(now, engines(4, 4, 0, 4, 0)) {
				r.Done(now, o, false)
			}
			now += time.Second
		}
		Expect(r.OutOfService()).To(Equal([]string{"t2", "t4"}))
	})

	It("orders again after a confirmation that the reports contradict", func() {
		r.SetDesired(0, 5)
		r.Done(0, r.Plan(0, engines(4))[0], true)
		Expect(r.Plan(limits.ReportLag-1, engines(4))).To(BeEmpty())
		r.Plan(limits.ReportLag, engines(4))
		Expect(r.Plan(limits.ReportLag+limits.InitialBackoff, engines(4))).To(HaveLen(1))
	})

	It("never orders an older version, and skips one that was replaced by a newer one", func() {
		r.SetDesired(0, 5)
		o := r.Plan(0, engines(4, 4, 4))
		r.SetDesired(1, 6)
		r.SetDesired(1, 3)
		r.Done(2, o[0], true)
		Expect(r.Plan(2, engines(5, 4, 6))).To(Equal([]rollout.LoadOrder{{Target: "t0", Version: 6}}))
	})

	It("reports once how long a version took to reach all engines in service", func() {
		r.SetDesired(10, 5)
		r.Plan(10, engines(4, 5))
		_, ok := r.Completed(10, engines(4, 5))
		Expect(ok).To(BeFalse())
		took, ok := r.Completed(25, engines(5, 5))
		Expect(ok).To(BeTrue())
		Expect(took).To(Equal(time.Duration(15)))
		_, ok = r.Completed(26, engines(5, 5))
		Expect(ok).To(BeFalse())
	})
})

// Loads fail at random, some of them half-way ("half": the engine's version is unknown
// afterwards), are confirmed without effect ("lied") or lose their response, and engines
// restart without a version. No more engines load at once than allowed, every order is for
// the latest version, and the update completes once the faults have ended.
func TestRolloutUnderFaults(t *testing.T) {
	if err := flag.Set("rapid.seed", "11"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		r := rollout.New(limits)
		targets := engines(1, 1, 1, 1, 1, 1, 1)
		var inFlight []rollout.LoadOrder
		now, newest := time.Duration(0), int64(1)
		step := func(faults bool) {
			now += time.Second
			for _, o := range r.Plan(now, targets) {
				if o.Version != newest {
					t.Fatalf("ordered version %d, newest is %d", o.Version, newest)
				}
				inFlight = append(inFlight, o)
			}
			if len(inFlight) > limits.Parallel {
				t.Fatalf("%d engines load at once", len(inFlight))
			}
			if len(inFlight) == 0 {
				return
			}
			o := inFlight[0]
			inFlight = inFlight[1:]
			outcome := "done"
			if faults {
				outcome = rapid.SampledFrom([]string{"done", "failed", "half", "lied", "done, response lost"}).Draw(t, "outcome")
			}
			for i := range targets {
				if targets[i].ID == o.Target && (outcome == "done" || outcome == "done, response lost") {
					targets[i].Version = max(targets[i].Version, o.Version)
				}
				if targets[i].ID == o.Target && outcome == "half" {
					targets[i].Version = 0
				}
			}
			r.Done(now, o, outcome == "done" || outcome == "lied")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "publish") == 0 {
				newest++
				r.SetDesired(now, newest)
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				targets[rapid.IntRange(0, len(targets)-1).Draw(t, "engine")].Version = 0
			}
			step(true)
		}
		r.SetDesired(now, newest+1)
		newest++
		for range 200 {
			step(false)
		}
		if _, ok := r.Completed(now, targets); !ok || len(r.OutOfService()) > 0 {
			t.Fatalf("version %d is not on all engines: %v, out of service %v", newest, targets, r.OutOfService())
		}
	})
}

// BenchmarkPlan plans a new version at the size that the service is built for: 12,000
// engines in 27 data centres.
func BenchmarkPlan(b *testing.B) {
	const engineCount, dataCentres = 12_000, 27
	targets := make([]rollout.Target, engineCount)
	for i := range targets {
		targets[i] = rollout.Target{ID: fmt.Sprintf("target-%05d", i), DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres), Version: 1, Load: i % 17}
	}
	for _, parallel := range []int{0, engineCount} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			for b.Loop() {
				r := rollout.New(rollout.Limits{Parallel: parallel, MaxFailures: 4})
				r.SetDesired(1, 2)
				if len(r.Plan(1, targets)) == 0 {
					b.Fatal("no order was planned")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/plan")
		})
	}
}
