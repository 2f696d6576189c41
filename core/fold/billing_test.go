package fold_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

var _ = Describe("Seals", func() {
	var l *testLog
	var term record.Offset
	seal := func(start, end int64, previous record.Offset, retired ...string) fold.Result {
		return l.apply(l.newID(), "a", term, record.UsageSeal{
			Lease: "deployment", Window: start, End: end, Previous: previous,
			Figures: []record.UsageFigure{{Account: "shop", Requests: 1}},
			Sources: []record.UsageSource{{Source: "a@1", Figures: []record.UsageFigure{{Account: "shop", Requests: start}}}},
			Retired: retired,
		})
	}
	BeforeEach(func() {
		l = newTestLog()
		Expect(l.apply(l.newID(), "a", 0, record.Config{YAML: []byte(configYAML)}).Verdict).To(Equal(fold.Accepted))
		term = l.apply(l.newID(), "a", 0, record.Lease{Name: "deployment", Holder: "a"}).Offset
	})

	It("rejects a seal whose author had not applied the latest one", func() {
		first := seal(60, 120, 0)
		Expect(first.Verdict).To(Equal(fold.Accepted))
		Expect(seal(120, 180, 0).Verdict).To(Equal(fold.Conflict))
		Expect(seal(120, 180, first.Offset).Verdict).To(Equal(fold.Accepted))
	})

	It("rejects a seal that overlaps a sealed window", func() {
		first := seal(60, 120, 0)
		Expect(seal(90, 180, first.Offset).Verdict).To(Equal(fold.Conflict))
	})

	It("keeps the billed counts of a source until it is retired, and its retirement for 24 hours", func() {
		first := seal(60, 120, 0)
		Expect(l.state.Billing.Sources).To(HaveKey("a@1"))
		second := seal(120, 180, first.Offset, "a@1")
		Expect(l.state.Billing.Sources).NotTo(HaveKey("a@1"))
		Expect(l.state.Billing.Retired).To(HaveKeyWithValue("a@1", int64(180)))
		dayMillis := int64(24 * time.Hour / time.Millisecond)
		Expect(seal(dayMillis+181, dayMillis+241, second.Offset).Verdict).To(Equal(fold.Accepted))
		Expect(l.state.Billing.Retired).To(BeEmpty())
	})
})
