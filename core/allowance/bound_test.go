package allowance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/allowance"
)

// mostInSecond returns the largest number of times within any second.
func mostInSecond(times []time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for _, at := range times {
			if at >= times[i] && at-times[i] < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The targets of a data centre come back together while the tasks of several runners wait. Each
// runner sees an idle engine of 8 slots; the engine survives 8.2 requests a second.
var _ = Describe("Targets that come back cold", func() {
	const (
		perSecond = 8.2
		bound     = 1.5*perSecond + 5
		validity  = 250 * ms
	)

	DescribeTable("get no more requests in any second than they survive",
		func(instances, runners int) {
			f := newFleet(instances)
			owner := f.firstOwner()
			// Half of the instances lose their path to the owner after two seconds.
			f.reaches = func(now time.Duration, from, to string) bool {
				return to != owner || now < 2*time.Second || from < "n2"
			}
			rate, burst := allowance.BurstFor(perSecond, bound, validity)
			Expect(rate).To(Equal(perSecond))
			random := rand.New(rand.NewPCG(1, uint64(instances)))
			var sent, sentBefore []time.Duration
			for now := time.Duration(0); now < 6*time.Second; now += 20 * ms {
				for runner := range runners {
					grant := f.send(now, f.names[runner%instances], allowance.Request{PerSecond: rate, Burst: burst, Count: 8})
					for range grant.Count {
						sent = append(sent, now+time.Duration(random.Int64N(int64(validity))))
					}
					if now == 0 { // the earlier policy: a runner fills the free slots that it sees
						for range 8 {
							sentBefore = append(sentBefore, now)
						}
					}
				}
			}
			Expect(mostInSecond(sentBefore)).To(BeNumerically(">", bound))
			Expect(mostInSecond(sent)).To(BeNumerically("<=", bound))
			Expect(len(sent)).To(BeNumerically(">=", 33), "the rate is used")
		},
		Entry("9 instances, 4 runners", 9, 4),
		Entry("72 instances, 4 runners", 72, 4),
		Entry("1,700 instances, 17 runners", 1700, 17),
	)

	DescribeTable("get a rate that the bound allows",
		func(perSecond, bound float64) {
			rate, burst := allowance.BurstFor(perSecond, bound, validity)
			Expect(rate).To(BeNumerically(">", 0))
			Expect(rate).To(BeNumerically("<=", max(perSecond, 0.1)))
			Expect(burst).To(BeNumerically(">", 0))
			Expect(burst).To(BeNumerically("<=", time.Second))
		},
		Entry("a bound below the rate", 20.0, 10.0),
		Entry("no bound stated", 20.0, 0.0),
		Entry("a negative bound", 20.0, -3.0),
		Entry("a generous bound", 1.0, 100.0),
		Entry("no rate", 0.0, 5.0),
	)
})
