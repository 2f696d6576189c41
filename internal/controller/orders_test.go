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

// running counts the desk's running targets by data centre, from the first
// instance's view.
func (b *box) running() map[string]int {
	out := map[string]int{}
	for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
		if t.State == platform.TargetRunning {
			out[t.DataCentre]++
		}
	}
	return out
}

func (b *box) totalRunning() int {
	n := 0
	for _, count := range b.running() {
		n += count
	}
	return n
}

// started counts the targets that were ever started.
func (b *box) started() int { return len(b.Orders.BilledIntervals()) }

// openOrders counts the announced orders that are not settled.
func (b *box) openOrders() int { return len(b.Instances()[0].Loop.Snapshot().Orders) }

// expectOrdersInCharge checks that orders arrive in the order of their terms and
// that each term has one sender.
func (b *box) expectOrdersInCharge() {
	holders := map[int64]string{}
	last := int64(0)
	for _, r := range b.Orders.ReceivedOrders() {
		Expect(r.Fencing).To(BeNumerically(">=", last))
		last = r.Fencing
		if holder, known := holders[r.Fencing]; known {
			Expect(r.Holder).To(Equal(holder))
		}
		holders[r.Fencing] = r.Holder
		Expect(r.Fenced).To(BeFalse())
	}
}

// loseOne takes one running target away behind the controller's back.
func (b *box) loseOne() {
	for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
		if t.State == platform.TargetRunning {
			b.Orders.Remove(t.ID)
			return
		}
	}
}

var _ = Describe("Orders", func() {
	var b *box
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		cfg := smallSite()
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		cfg.Capacity.DrainSettle = 300 * time.Millisecond
		b = startBox(ctx, cfg)
	})

	It("starts the minimum and no more", func() {
		Consistently(b.started).WithTimeout(2 * time.Second).Should(Equal(2))
	})

	It("starts one target for one need when answers are lost", func() {
		b.Orders.DropResponses(2)
		before := b.started()
		b.loseOne()
		Eventually(b.started).WithTimeout(eventually).Should(Equal(before + 1))
		Eventually(b.totalRunning).WithTimeout(eventually).Should(Equal(2))
		Eventually(b.openOrders).WithTimeout(eventually).Should(BeZero())
		Expect(b.started()).To(Equal(before + 1))
		b.expectOrdersInCharge()
	})

	It("settles its predecessor's orders and starts nothing twice", func() {
		holder := b.holder().ID
		before := b.started()
		b.Orders.DropResponses(100)
		b.loseOne()
		Eventually(b.started).WithTimeout(eventually).Should(Equal(before + 1))
		b.KillInstance(holder)
		b.Orders.DropResponses(0)
		Expect(b.holder().ID).NotTo(Equal(holder))
		Eventually(b.totalRunning).WithTimeout(eventually).Should(Equal(2))
		Eventually(b.openOrders).WithTimeout(eventually).Should(BeZero())
		Expect(b.started()).To(Equal(before + 1))
		b.expectOrdersInCharge()
	})

	It("starts elsewhere while a data centre's interface is down", func() {
		b.Orders.SetDown("south", true)
		cfg := smallSite()
		cfg.Services[0].MinTargets = 4
		cfg.Capacity.OrderLag = 500 * time.Millisecond
		yaml, err := config.Marshal(cfg)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Operator().Apply(context.Background(), operator.ApplyRequest{YAML: string(yaml)})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return b.running()["north"] }).WithTimeout(eventually).Should(Equal(3))
		b.Orders.SetDown("south", false)
		Eventually(b.openOrders).WithTimeout(eventually).Should(BeZero())
		Expect(b.started()).To(Equal(4))
		b.expectOrdersInCharge()
	})

	It("stops a drained target after its last request has ended", func() {
		var victim platform.Target
		for _, t := range b.Instances()[0].Loop.Snapshot().PlatformTargets {
			if t.State == platform.TargetRunning {
				victim = t
			}
		}
		service := b.PlainServices()[victim.ID]
		service.SetDelay(3 * time.Second)
		status := make(chan int, 1)
		b.callUntil(victim.ID, status)
		_, err := b.Instances()[0].Loop.Append(context.Background(), 0, record.TargetDrain{Target: victim.ID, Actor: "test"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { return b.stopped(victim.ID) }).WithTimeout(eventually).Should(BeTrue())
		Expect(<-status).To(Equal(http.StatusOK), "the request in flight ended whole")
		Eventually(b.totalRunning).WithTimeout(eventually).Should(Equal(2))
		b.expectOrdersInCharge()
	})
})

// callUntil sends calls until one is under way at the target, and passes on the
// status of that one.
func (b *box) callUntil(target string, status chan<- int) {
	service := b.PlainServices()[target]
	for i := range 30 {
		done := make(chan int, 1)
		go func() {
			req, err := http.NewRequest(http.MethodPost, b.entries[i%len(b.entries)]+"/services/desk/holds", strings.NewReader("{}"))
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

func (b *box) stopped(target string) bool {
	for _, s := range b.Orders.BilledIntervals() {
		if s.Target == target {
			return !s.To.IsZero()
		}
	}
	return false
}
