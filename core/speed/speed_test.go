package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/speed"
)

const ms = time.Millisecond

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // fixed order of the specs
	RunSpecs(t, "core/speed", suite, reporter)
}

// observe adds 20 intervals to each engine.
func observe(s *speed.Service, now time.Duration, intervals map[string]time.Duration) {
	for id, interval := range intervals {
		for range 20 {
			s.Engine(id, "m").Observe(now, interval, speed.Load{Runs: 1})
		}
	}
	s.Refresh(now)
}

var _ = Describe("Estimates of speed", func() {
	var s *speed.Service
	BeforeEach(func() { s = speed.NewService() })

	It("compare an engine with the median of its service", func() {
		observe(s, 0, map[string]time.Duration{"a": 40 * ms, "b": 40 * ms, "c": 120 * ms})
		Expect(s.Median()).To(Equal(40 * ms))
		Expect(s.Engine("c", "m").Slowdown(0)).To(BeNumerically("~", 3, 0.01))
		Expect(s.Engine("c", "other").Slowdown(0)).To(Equal(1.0))
	})

	It("are not used before three engines are known", func() {
		observe(s, 0, map[string]time.Duration{"a": 40 * ms, "b": 120 * ms})
		Expect(s.Engine("b", "m").Slowdown(0)).To(Equal(1.0))
		Expect(s.Median()).To(BeZero())
	})

	// Guards against an engine that was slow for a while and is avoided for ever, as nothing
	// confirms its speed while it has no runs.
	It("return to the median when nothing confirms them", func() {
		observe(s, 0, map[string]time.Duration{"a": 40 * ms, "b": 40 * ms, "c": 120 * ms, "d": 40 * ms})
		slow := s.Engine("c", "m")
		Expect(slow.Slowdown(3 * time.Second)).To(BeNumerically("~", 3, 0.01))
		Expect(slow.Slowdown(4500 * ms)).To(BeNumerically("~", 2, 0.01))
		Expect(slow.Slowdown(6 * time.Second)).To(Equal(1.0))
		age, known := slow.Age(time.Second)
		Expect(known).To(BeTrue())
		Expect(age).To(Equal(time.Second))
		observe(s, 7*time.Second, map[string]time.Duration{"a": 40 * ms, "b": 40 * ms, "c": 40 * ms})
		Expect(slow.Slowdown(7*time.Second)).To(Equal(1.0), "the old average does not count")
	})

	It("follow an engine that becomes slow within a few events, but not a single pause", func() {
		observe(s, 0, map[string]time.Duration{"a": 40 * ms, "b": 40 * ms, "c": 40 * ms, "d": 40 * ms})
		e := s.Engine("c", "m")
		e.Observe(ms, 900*ms, speed.Load{Runs: 1})
		Expect(e.Slowdown(ms)).To(BeNumerically("<", 1.15))
		for range 8 {
			e.Observe(2*ms, 120*ms, speed.Load{Runs: 1})
		}
		Expect(e.Slowdown(2 * ms)).To(BeNumerically(">", 1.8))
	})

	// Two speed classes, and loads as they occur: an engine with one long run, a full one.
	It("separate the speed of the engine from the effect of its load", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		for round := range 200 {
			now := time.Duration(round) * 20 * ms
			for i := range 20 {
				load := speed.Load{Runs: 1 + rng.IntN(8), Tokens: rng.Int64N(40_000)}
				interval := 48 * (1 + 0.3*float64(i%2)) * (1 + 0.01*float64(load.Runs-1) + 5e-6*float64(load.Tokens)) * (0.95 + 0.1*rng.Float64())
				s.Engine(fmt.Sprint(i), "m").Observe(now, time.Duration(interval*float64(ms)), load)
			}
			s.Refresh(now)
		}
		now := 4 * time.Second
		fast, slow := s.Engine("0", "m"), s.Engine("1", "m")
		Expect(slow.Slowdown(now) / fast.Slowdown(now)).To(BeNumerically("~", 1.3, 0.05))
		effect := func(l speed.Load) float64 { return fast.Factor(now, l) / fast.Factor(now, speed.Load{Runs: 1}) }
		Expect(effect(speed.Load{Runs: 8})).To(BeNumerically("~", 1.07, 0.03))
		Expect(effect(speed.Load{Runs: 1, Tokens: 40_000})).To(BeNumerically("~", 1.2, 0.05))
	})

	// Guards against a fit that rewards load, when the engines that are used most are the fastest.
	It("never take an engine for faster with more load", func() {
		for i := range 1000 {
			load := speed.Load{Runs: 1 + i%8, Tokens: int64(i%8) * 1000}
			s.Engine(fmt.Sprint(i%4), "m").Observe(0, time.Duration(80-5*load.Runs)*ms, load)
			s.Refresh(0)
		}
		e := s.Engine("0", "m")
		Expect(e.Factor(0, speed.Load{Runs: 8, Tokens: 8000})).To(BeNumerically(">=", e.Factor(0, speed.Load{Runs: 1})))
	})

	It("stay within bounds when the input is not sensible", func() {
		for _, interval := range []time.Duration{0, -ms, math.MinInt64, math.MaxInt64, time.Hour} {
			s.Engine("a", "m").Observe(0, interval, speed.Load{Runs: -3, Tokens: math.MinInt64})
		}
		_, known := s.Engine("a", "m").Age(0)
		Expect(known).To(BeFalse())
		observe(s, 0, map[string]time.Duration{"a": ms, "b": 40 * ms, "c": 40 * ms, "d": 9 * time.Second})
		for range 1000 {
			s.Engine("b", "m").Observe(0, time.Second, speed.Load{Runs: math.MaxInt, Tokens: math.MaxInt64})
		}
		s.Refresh(0)
		for _, id := range []string{"a", "b", "d"} {
			Expect(s.Engine(id, "m").Factor(0, speed.Load{Runs: math.MaxInt, Tokens: math.MaxInt64})).To(And(BeNumerically(">=", 0.05), BeNumerically("<=", 60)))
		}
		s.Remove("a")
		Expect(s.Engine("a", "m").Slowdown(0)).To(Equal(1.0))
	})
})

var _ = Describe("Durations", func() {
	It("of loads are those observed, within bounds", func() {
		s := speed.NewService()
		Expect(s.LoadTime()).To(Equal(time.Second))
		s.ObserveLoad(20 * ms)
		Expect(s.LoadTime()).To(Equal(time.Second), "the pause was none")
		for _, pause := range []time.Duration{150 * ms, 150 * ms, 150 * ms} {
			s.ObserveLoad(pause)
		}
		Expect(s.LoadTime()).To(Equal(200 * ms))
		for range 16 {
			s.ObserveLoad(time.Minute)
		}
		Expect(s.LoadTime()).To(Equal(5 * time.Second))
	})

	It("until the first event are those observed, within bounds", func() {
		s := speed.NewService()
		Expect(s.FirstEventTimeout()).To(Equal(900 * ms))
		Expect(s.FirstEvent()).To(Equal(100 * ms))
		for range 20 {
			s.ObserveFirstEvent(80 * ms)
			s.ObserveFirstEvent(-ms)
		}
		Expect(s.FirstEvent()).To(Equal(80 * ms))
		Expect(s.FirstEventTimeout()).To(Equal(640 * ms))
		for range 64 {
			s.ObserveFirstEvent(time.Hour)
		}
		Expect(s.FirstEvent()).To(Equal(time.Second))
		Expect(s.FirstEventTimeout()).To(Equal(2 * time.Second))
	})
})
