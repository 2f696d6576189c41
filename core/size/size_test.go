package size_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/size"
)

var _ = Describe("Number of desired targets", func() {
	bounds := size.Bounds{Min: 1, Max: 4, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2}}
	DescribeTable("has a slot for each task, spread evenly and within the bounds",
		func(peakTasks int, present, want map[string]int) {
			Expect(size.DesiredTargets(size.Demand{PeakTasks: peakTasks, SlotsPerTarget: 10}, bounds, present)).To(Equal(want))
		},
		Entry("no tasks and no targets", 0, map[string]int{}, map[string]int{"a": 1, "b": 1, "c": 1}),
		Entry("enough targets present", 25, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 2, "c": 2}),
		Entry("one more target in the cheapest data centre", 65, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 3, "c": 2}),
		Entry("a data centre without targets after its loss", 55, map[string]int{"a": 3, "b": 2}, map[string]int{"a": 3, "b": 2, "c": 1}),
		Entry("at the upper bounds", 1000, map[string]int{"a": 9}, map[string]int{"a": 4, "b": 4, "c": 4}),
	)
})

var _ = Describe("Need for more targets", func() {
	const deadline = 10 * time.Second
	DescribeTable("is reported if tasks wait for slots and the job nearly exceeds its deadline",
		func(slotWait, elapsed time.Duration, want bool) {
			Expect(size.NeedsMoreTargets(slotWait, elapsed, deadline)).To(Equal(want))
		},
		Entry("no task waits", time.Duration(0), 9*time.Second, false),
		Entry("tasks wait, and the job is in time", 3*time.Second, 5*time.Second, false),
		Entry("tasks wait, and the job is nearly late", 3*time.Second, 9*time.Second, true),
	)
})
