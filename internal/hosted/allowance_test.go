package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// checkLimit checks the requests that arrived at a target that names a limit.
func (d *deployment) checkLimit(e *hostplatform.Engine, perSecond float64) {
	GinkgoHelper()
	most, allowed := e.CheckLimit(perSecond, len(d.instances), time.Time{}, time.Now())
	Expect(most).To(BeNumerically("<=", allowed), "requests to target %s in a window", e.ID)
}

// limitPlain makes the plain targets name a limit.
func (d *deployment) limitPlain(perSecond float64) {
	for _, p := range d.plain {
		p.SetRequestLimit(perSecond)
	}
}

// callAll sends plain requests through all instances in turn at the interval, and returns the
// responses by request id.
func (d *deployment) callAll(count int, interval time.Duration) map[string]response {
	var mu sync.Mutex
	responses := map[string]response{}
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			defer GinkgoRecover()
			id := fmt.Sprint("r", n)
			res := d.instances[n%len(d.instances)].call(http.MethodPost, "/confirm/x", id, key, []byte(id))
			mu.Lock()
			defer mu.Unlock()
			responses[id] = res
		})
		time.Sleep(interval)
	}
	group.Wait()
	return responses
}

var _ = Describe("A target that names a limit of requests a second", func() {
	// Guards against an instance that wakes and fills the slots of an engine before its first answer.
	It("gets one request of an instance that stood still when the limit was first named", func() {
		d := newDeployment(1, 1)
		d.awaitAnnouncements()
		events := map[string]int{}
		for i := range 8 {
			events[fmt.Sprint("t", i)] = 1
		}
		before := len(d.engines[0].Runs())
		d.engines[0].SetRequestLimit(1)
		d.instances[0].clock.jump(1400 * time.Millisecond)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return len(d.engines[0].Runs()) }, eventuallyTimeout).Should(BeNumerically(">", before))
		Consistently(func() int { return len(d.engines[0].Runs()) - before }, "500ms").Should(BeNumerically("<=", 2))
	})

	It("is not sent several times its limit by all instances together", func() {
		const limit = 4.0
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		d.limitPlain(limit)
		responses := d.callAll(240, 15*time.Millisecond)
		ran := map[string]bool{}
		for _, p := range d.plain {
			d.checkLimit(p, limit)
			for _, r := range p.Runs() {
				ran[r.ID] = true
			}
		}
		served := 0
		for id, res := range responses {
			if res.status == http.StatusOK {
				served++
				continue
			}
			Expect(res.status).To(Equal(http.StatusServiceUnavailable))
			Expect(ran).NotTo(HaveKey(id), "a request that was refused as not run")
			seconds, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(BeNumerically(">", 0))
		}
		Expect(served).To(BeNumerically(">", 0))
		Expect(d.logged()).To(ContainSubstring("target limit named"))
	})

	It("is not sent several times its limit in runs of a job's tasks", func() {
		const limit = 10.0
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		d.engines[0].SetRequestLimit(limit)
		events := tasks(75, 2)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[1].awaitResults("j", 75), events)
		d.checkLimit(d.engines[0], limit)
	})

	It("is not sent several times its limit in score calls", func() {
		const limit = 2.0
		d := newDeployment(2, 2)
		d.awaitAnnouncements()
		d.limitPlain(limit)
		events := tasks(44, 2)
		Expect(d.submitScored("j", events).status).To(Equal(http.StatusAccepted))
		d.instances[1].awaitResults("j", 44)
		for _, p := range d.plain {
			d.checkLimit(p, limit)
		}
	})

	It("gets requests as before once its responses name no limit", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		d.limitPlain(5)
		d.callAll(20, 5*time.Millisecond)
		d.limitPlain(0)
		Eventually(func() int {
			served := 0
			for _, res := range d.callAll(20, 0) {
				if res.status == http.StatusOK {
					served++
				}
			}
			return served
		}, eventuallyTimeout).Should(Equal(20))
		Expect(d.logged()).To(ContainSubstring("target limit lifted"))
	})

	It("gets requests of the other instances after the one that grants them is killed", func() {
		const limit = 4.0
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		d.limitPlain(limit)
		d.callAll(30, 5*time.Millisecond)
		for _, in := range d.instances[:2] {
			in.kill()
		}
		Eventually(func() int {
			return d.instances[2].call(http.MethodPost, "/confirm/x", "after", key, nil).status
		}, eventuallyTimeout).Should(Equal(http.StatusOK))
	})

	It("is sent nothing more by an instance that does not know the other ones yet", func() {
		d := newDeployment(1, 1)
		d.limitPlain(20)
		d.store.SetPartitionDown("control", 0, true) // new instances read the configuration and the registry only
		young := d.start(1)
		for n := range 60 {
			young.call(http.MethodPost, "/confirm/x", fmt.Sprint("r", n), key, nil)
			time.Sleep(10 * time.Millisecond)
		}
		for _, p := range d.plain {
			Expect(p.Arrivals()).To(HaveLen(1), "the request that learns the limit")
		}
		d.store.SetPartitionDown("control", 0, false)
		Eventually(func() int { return young.call(http.MethodPost, "/confirm/x", "late", key, nil).status }, eventuallyTimeout).Should(Equal(http.StatusOK))
	})
})
