package hlc_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/hlc"
	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
)

var _ = Describe("Clock", func() {
	base := time.UnixMilli(1_700_000_000_000)

	It("orders effects after causes across skewed clocks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			clocks := make([]hlc.Clock, 3)
			skews := rapid.SliceOfN(rapid.IntRange(-5000, 5000), 3, 3).Draw(t, "skew")
			var last hlc.Timestamp
			for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, 2).Draw(t, "process")
				wall := base.Add(time.Duration(skews[i]+step) * time.Millisecond)
				clocks[i].Observe(wall, last)
				next := clocks[i].Next(wall)
				if next <= last {
					t.Fatalf("timestamp %d issued after %d", next, last)
				}
				last = next
			}
		})
	})

	It("ignores a timestamp an hour ahead", func() {
		var c hlc.Clock
		var ahead hlc.Clock
		c.Observe(base, ahead.Next(base.Add(time.Hour)))
		Expect(c.Next(base).Time()).To(Equal(base))
	})
})
