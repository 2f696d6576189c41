package hosted_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Plain requests at targets without free slots", func() {
	// They were sent to all targets every 30 ms, and refused for a fixed time when their attempts
	// were used up.
	It("wait for a slot, or are refused at once if there is none before their deadline", func() {
		d := newDeployment(1, 1)
		in := d.instances[0]
		var began, running, most atomic.Int64
		block, release := atomic.Bool{}, make(chan struct{})
		for _, p := range d.plain {
			p.SetPlainHandler(func(http.ResponseWriter, *http.Request) bool {
				began.Add(1)
				if now := running.Add(1); now > most.Load() {
					most.Store(now)
				}
				defer running.Add(-1)
				if block.Load() {
					<-release
				} else {
					time.Sleep(400 * time.Millisecond) // the service time that the instance observes
				}
				return false
			})
		}
		Expect(in.call(http.MethodPost, "/once/x", "first", key, nil).status).To(Equal(http.StatusOK))
		block.Store(true)
		var calls sync.WaitGroup
		var answered atomic.Int64
		call := func(id string) {
			calls.Go(func() {
				if in.call(http.MethodPost, "/once/x", id, key, nil).status == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		for i := range 13 { // one more than slots
			call(fmt.Sprint("held-", i))
		}
		Eventually(running.Load, eventuallyTimeout).Should(Equal(int64(12)))
		res := in.callWithin(200*time.Millisecond, http.MethodPost, "/once/x", "hopeless", key, nil)
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
		close(release)
		calls.Wait()
		Expect(answered.Load()).To(Equal(int64(13)))
		Expect(most.Load()).To(Equal(int64(12)), "no target is asked that has no free slot")
		Expect(began.Load()).To(Equal(int64(14)))
		for _, p := range d.plain {
			for _, run := range p.Runs() {
				Expect(run.ID).NotTo(Equal("hopeless"))
			}
		}
		Expect(d.logged()).To(MatchRegexp(`event="request not admitted".*request="hopeless".*account="acme".*service="desk"`))
	})
})
