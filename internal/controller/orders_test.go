package controller_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/operator"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// runningByDataCentre returns the number of running targets in each data centre, from
// the first instance's snapshot.
func (b *fixture) runningByDataCentre() map[string]int {
	out := map[string]int{}
	for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
		if t.State == platform.TargetRunning {
			out[t.DataCentre]++
		}
	}
	return out
}

func (b *fixture) runningTargets() int {
	n := 0
	for _, count := range b.runningByDataCentre() {
		n += count
	}
	return n
}

// startedTargets returns the number of targets that were ever started, including those
// that have stopped.
func (b *fixture) startedTargets() int { return len(b.Orders.BilledIntervals()) }

// openOrders returns the number of announced orders that are not resolved.
func (b *fixture) openOrders() int { return len(b.Instances()[0].Loop.Snapshot().Orders) }

// expectOneSenderPerTerm checks that orders arrive in the order of their terms, that each
// term has one sender, and that no order was rejected for an old fencing number.
func (b *fixture) expectOneSenderPerTerm() {
	holders := map[int64]string{}
	last := int64(0)
	for _, r := range b.Orders.ReceivedOrders() {
		Expect(r.Fencing).To(BeNumerically(">=", last))
		last = r.Fencing
		if holder, found := holders[r.Fencing]; found {
			Expect(r.Holder).To(Equal(holder))
		}
		holders[r.Fencing] = r.Holder
		Expect(r.Fenced).To(BeFalse())
	}
}

// removeRunningTarget removes one running target from the platform without an order, as if
// its machine had failed.
func (b *fixture) removeRunningTarget() {
	for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
		if t.State == platform.TargetRunning {
			b.Orders.FailTarget(t.ID)
			return
		}
	}
}

var _ = Describe("Orders", func() {
	var b *fixture
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		cfg := testConfig()
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		cfg.Capacity.DrainSettle = 300 * time.Millisecond
		b = startFixture(ctx, cfg)
	})

	It("starts the minimum number of targets and no more", func() {
		Consistently(b.startedTargets).WithTimeout(2 * time.Second).Should(Equal(2))
	})

	It("starts one replacement for a removed target when the responses to orders are lost", func() {
		b.Orders.DropResponses(2)
		before := b.startedTargets()
		b.removeRunningTarget()
		Eventually(b.startedTargets).WithTimeout(eventuallyTimeout).Should(Equal(before + 1))
		Eventually(b.runningTargets).WithTimeout(eventuallyTimeout).Should(Equal(2))
		Eventually(b.openOrders).WithTimeout(eventuallyTimeout).Should(BeZero())
		Expect(b.startedTargets()).To(Equal(before + 1))
		b.expectOneSenderPerTerm()
	})

	It("resolves the former lease holder's orders and starts no target twice", func() {
		holder := b.leaseHolder().ID
		before := b.startedTargets()
		b.Orders.DropResponses(100)
		b.removeRunningTarget()
		Eventually(b.startedTargets).WithTimeout(eventuallyTimeout).Should(Equal(before + 1))
		b.KillInstance(holder)
		b.Orders.DropResponses(0)
		Expect(b.leaseHolder().ID).NotTo(Equal(holder))
		Eventually(b.runningTargets).WithTimeout(eventuallyTimeout).Should(Equal(2))
		Eventually(b.openOrders).WithTimeout(eventuallyTimeout).Should(BeZero())
		Expect(b.startedTargets()).To(Equal(before + 1))
		b.expectOneSenderPerTerm()
	})

	It("starts targets in another data centre while one's order interface is down", func() {
		b.Orders.SetDown("south", true)
		cfg := testConfig()
		cfg.Services[0].MinTargets = 4
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		yaml, err := config.Marshal(cfg)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Operator().Apply(context.Background(), operator.ApplyRequest{YAML: string(yaml)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return b.runningByDataCentre()["north"] }).WithTimeout(eventuallyTimeout).Should(Equal(3))
		b.Orders.SetDown("south", false)
		Eventually(b.openOrders).WithTimeout(eventuallyTimeout).Should(BeZero())
		Expect(b.startedTargets()).To(Equal(4))
		b.expectOneSenderPerTerm()
	})

	It("stops a drained target after its last request has ended", func() {
		var target platform.Target
		for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
			if t.State == platform.TargetRunning {
				target = t
			}
		}
		service := b.PlainServices()[target.ID]
		service.SetDelay(3 * time.Second)
		status := make(chan int, 1)
		b.callUntilInFlight(target.ID, status)
		_, err := b.Instances()[0].Loop.Append(context.Background(), 0, record.TargetDrain{Target: target.ID, Actor: "test"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return b.targetStopped(target.ID) }).WithTimeout(eventuallyTimeout).Should(BeTrue())
		Expect(<-status).To(Equal(http.StatusOK), "the request in flight completed")
		Eventually(b.runningTargets).WithTimeout(eventuallyTimeout).Should(Equal(2))
		b.expectOneSenderPerTerm()
	})
})

// callUntilInFlight sends calls until one is in flight at the target. When that call ends,
// its HTTP status is sent to the status channel.
func (b *fixture) callUntilInFlight(target string, status chan<- int) {
	service := b.PlainServices()[target]
	for i := range 30 {
		done := make(chan int, 1)
		go func() {
			req, err := http.NewRequest(http.MethodPost, b.callerURLs[i%len(b.callerURLs)]+"/services/desk/holds", strings.NewReader("{}"))
			if err != nil {
				done <- 0
				return
			}
			req.Header.Set("Authorization", "Bearer "+b.key)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				done <- 0
				return
			}
			_ = res.Body.Close()
			done <- res.StatusCode
		}()
		select {
		case <-done:
		case <-time.After(500 * time.Millisecond):
		}
		if service.InFlight() > 0 {
			go func() { status <- <-done }()
			return
		}
	}
	Fail("no call reached the target")
}

// targetStopped reports whether the target's billed interval has ended.
func (b *fixture) targetStopped(target string) bool {
	for _, s := range b.Orders.BilledIntervals() {
		if s.Target == target {
			return !s.To.IsZero()
		}
	}
	return false
}
