package pace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/pace"
)

var _ = Describe("Pause", func() {
	It("lets a busy instance read at once", func() {
		Expect(pace.Pause(295, 16000, true)).To(BeZero())
	})

	It("does not pause if the platform states no rate", func() {
		Expect(pace.Pause(295, 0, false)).To(BeZero())
	})

	// 100 batches a second on a topic, each of which ends the long polls of the instances
	// that do not pause. An answer takes 6 ms.
	DescribeTable("keeps the reads of one topic within a quarter of the platform's rate",
		func(instances, busy int, readsPerSecond float64) {
			const answer, batchInterval = 6 * time.Millisecond, 10 * time.Millisecond
			reads := 0.0
			for i := range instances {
				cycle := max(answer+pace.Pause(instances, readsPerSecond, i < busy), batchInterval)
				reads += float64(time.Second) / float64(cycle)
			}
			Expect(reads).To(BeNumerically("<", readsPerSecond/4))
		},
		Entry("295 instances, 12 run jobs", 295, 12, 16000.0),
		Entry("66 instances, 5 run jobs", 66, 5, 6000.0),
		Entry("9 instances, 3 run jobs", 9, 3, 2000.0),
	)

	It("stays short enough for changes to take effect in time", func() {
		Expect(pace.Pause(1700, 16000, false)).To(Equal(400 * time.Millisecond))
	})
})
