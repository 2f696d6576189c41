package plan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/plan"
)

var _ = DescribeTable("Deadlines",
	func(seen, want []time.Duration) {
		Expect(plan.TimeToDeadline(seen, 10*time.Minute, 24*time.Minute)).To(Equal(want))
	},
	Entry("none", []time.Duration{}, []time.Duration{}),
	Entry("one since its start", []time.Duration{4 * time.Minute}, []time.Duration{18 * time.Minute}),
	Entry("submitted ahead, one after the other", []time.Duration{4 * time.Minute, 4 * time.Minute}, []time.Duration{18 * time.Minute, 42 * time.Minute}),
	Entry("after a pause", []time.Duration{4 * time.Minute, 40 * time.Minute}, []time.Duration{18 * time.Minute, 54 * time.Minute}),
)
