package assign_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// compare replays a load under the earlier policy and this one with three seeds, prints the
// figures and returns their sums.
func compare(l load) (before, after result) {
	for seed := range uint64(3) {
		l.seed = seed + 1
		before = before.plus(replay(l, func() policy { return newEarlier() }))
		after = after.plus(replay(l, func() policy { return assign.New(assign.DefaultLimits()) }))
	}
	_, _ = fmt.Fprintf(GinkgoWriter, "earlier: %v\nnow:     %v\n", before, after)
	return before, after
}

func (r result) plus(o result) result {
	return result{
		append(r.wanted, o.wanted...), r.credited + o.credited, r.groups + o.groups, r.runs + o.runs,
		r.queued + o.queued, r.mov + o.mov, r.queueWait + o.queueWait,
	}
}

// Each entry replays a load of four trainers on 44 engines. ratio bounds the mean time until
// the wanted groups are whole, and credited the number of groups whole within 8.2 s, both
// relative to the earlier policy.
var _ = DescribeTable("Replayed loads",
	func(change func(*load), ratio, credited float64) {
		l := load{trainers: 4, engines: 44, steps: 3, tasks: [2]int{128, 160}, apart: 50 * ms, means: [2]float64{18, 21}, hintError: 0.35}
		change(&l)
		before, after := compare(l)
		Expect(after.queued).To(BeNumerically("<", before.queued/2), "runs that wait in an engine's queue")
		Expect(after.queueWait).To(BeNumerically("<", before.queueWait/2))
		Expect(float64(after.mean())).To(BeNumerically("<=", ratio*float64(before.mean())))
		Expect(float64(after.credited)).To(BeNumerically(">=", credited*float64(before.credited)))
	},
	Entry("submitted at once", func(*load) {}, 1.01, 1.0),
	Entry("submitted at once, of all mean lengths", func(l *load) { l.means[0] = 13 }, 1.01, 1.0),
	Entry("with two speed classes", func(l *load) { l.speedClasses = []float64{1, 1.3} }, 0.99, 1.0),
	Entry("with one in five engines three times as slow for 8 s", func(l *load) { l.slowUntil = 9 * time.Second }, 1.01, 1.0),
	Entry("with a data centre that is reclaimed", Label("known-red"), func(l *load) { l.reclaimAt = 5 * time.Second }, 1.01, 1.0),
	Entry("on 26 engines", func(l *load) { l.engines = 26 }, 0.98, 1.01),
	Entry("with hints that are of little use", func(l *load) { l.hintError = 1 }, 1.01, 1.0),
	Entry("of 8 trainers on 90 engines", func(l *load) { l.trainers, l.engines, l.steps = 8, 90, 2 }, 1.01, 1.0),
)
