package size_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/size"
)

var _ = Describe("Number of targets", func() {
	bounds := size.Bounds{Min: 1, Max: 4, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2}}
	DescribeTable("gives each task a slot, spread evenly, within the bounds",
		func(tasks int, present, want map[string]int) {
			Expect(size.DesiredTargets(size.Demand{PeakTasks: tasks, SlotsPerTarget: 10}, bounds, present)).To(Equal(want))
		},
		Entry("nothing to do", 0, map[string]int{}, map[string]int{"a": 1, "b": 1, "c": 1}),
		Entry("enough there", 25, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 2, "c": 2}),
		Entry("one more in the cheapest", 65, map[string]int{"a": 2, "b": 2, "c": 2}, map[string]int{"a": 2, "b": 3, "c": 2}),
		Entry("a data centre was lost", 55, map[string]int{"a": 3, "b": 2}, map[string]int{"a": 3, "b": 2, "c": 1}),
		Entry("at the bounds", 1000, map[string]int{"a": 9}, map[string]int{"a": 4, "b": 4, "c": 4}),
	)
})

var _ = Describe("Need of targets", func() {
	const due = 10 * time.Second
	DescribeTable("is seen where tasks wait and jobs are nearly late",
		func(waited, took time.Duration, short bool) {
			Expect(size.NeedsMoreTargets(waited, took, due)).To(Equal(short))
		},
		Entry("nobody waits", time.Duration(0), 9*time.Second, false),
		Entry("tasks wait, and their jobs are in time", 3*time.Second, 5*time.Second, false),
		Entry("tasks wait, and their jobs are late", 3*time.Second, 9*time.Second, true),
	)
})
