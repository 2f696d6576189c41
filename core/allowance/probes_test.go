package allowance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/allowance"
)

var _ = Describe("Probes", func() {
	const woke = 10 * time.Second
	var p *allowance.Probes
	may := func(now time.Duration, target string) bool {
		may, _ := p.MaySend(now, target)
		return may
	}
	BeforeEach(func() { p = &allowance.Probes{} })

	It("hold nothing back from an instance that has not stood still", func() {
		for range 3 {
			Expect(may(0, "a")).To(BeTrue())
		}
		Expect(p.Answered(0, "a", 0)).To(BeFalse())
	})

	It("let one request at a time through to a target that has not answered since", func() {
		p.StoodStill(woke)
		Expect(may(woke, "a")).To(BeTrue())
		for range 16 {
			Expect(may(woke+ms, "a")).To(BeFalse())
		}
		Expect(may(woke, "b")).To(BeTrue())
		Expect(p.Answered(woke+ms, "a", woke-ms)).To(BeFalse(), "sent before the standstill")
		_, askAgain := p.MaySend(woke+ms, "a")
		Expect(may(askAgain-1, "a")).To(BeFalse())
		Expect(may(askAgain, "a")).To(BeTrue(), "the first has got no answer")
		Expect(may(askAgain, "a")).To(BeFalse())
		Expect(p.Answered(askAgain+ms, "a", woke)).To(BeTrue())
		for range 16 {
			Expect(may(askAgain+ms, "a")).To(BeTrue())
		}
		Expect(may(woke+ms, "b")).To(BeFalse())
	})

	It("end after some seconds, and begin anew with the next standstill", func() {
		p.StoodStill(woke)
		Expect(may(woke, "a")).To(BeTrue())
		Expect(p.Answered(woke, "a", woke)).To(BeTrue())
		Expect(p.Active(woke + 3*time.Second)).To(BeFalse())
		p.StoodStill(woke + time.Second)
		Expect(may(woke+time.Second, "a")).To(BeTrue())
		Expect(may(woke+time.Second, "a")).To(BeFalse())
	})
})
