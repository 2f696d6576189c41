package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

var _ = DescribeTable("Deadlines",
	func(firstSeen, want []time.Duration) {
		Expect(plan.TimeToDeadline(firstSeen, 10*time.Minute, 24*time.Minute)).To(Equal(want))
	},
	Entry("none", []time.Duration{}, []time.Duration{}),
	Entry("one step, counted from when it was first seen", []time.Duration{4 * time.Minute}, []time.Duration{18 * time.Minute}),
	Entry("two steps submitted at once, in sequence", []time.Duration{4 * time.Minute, 4 * time.Minute}, []time.Duration{18 * time.Minute, 42 * time.Minute}),
	Entry("a step first seen after the previous deadline", []time.Duration{4 * time.Minute, 40 * time.Minute}, []time.Duration{18 * time.Minute, 54 * time.Minute}),
)
