package assign_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/assign"
)

// compare replays a load under the earlier policy and this one with several seeds, prints the
// figures and returns their sums.
func compare(l load) (before, after result) {
	for seed := range uint64(4) {
		l.seed = seed + 1
		b := replay(l, func() policy { return newEarlier() })
		a := replay(l, func() policy { return assign.New(assign.DefaultLimits()) })
		before, after = before.plus(b), after.plus(a)
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

var _ = Describe("Replayed loads", func() {
	// Guards against runs that wait in an engine's queue because several runners fill it.
	It("four trainers that submit at once", func() {
		before, after := compare(load{
			trainers: 4, engines: 44, steps: 3, tasks: [2]int{128, 160}, apart: 50 * ms, hintError: 0.35,
		})
		Expect(after.queued).To(BeNumerically("<", before.queued/2))
		Expect(after.queueWait).To(BeNumerically("<", before.queueWait/2))
		Expect(after.mean()).To(BeNumerically("<", before.mean()+50*time.Millisecond))
	})
})
