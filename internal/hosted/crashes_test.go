package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	poisonBody = "poison"
	// crashesAllowed is the number of targets that may crash under one request: three, and three
	// more by repeats that were sent before all instances knew.
	crashesAllowed = 6
)

// crashes makes the plain targets crash under each request with poisonBody.
type crashes struct {
	deployment *deployment
	count      atomic.Int64
	started    atomic.Int64 // targets started in place of crashed ones
}

func (d *deployment) crashOnPoison() *crashes {
	c := &crashes{deployment: d}
	for _, p := range d.plain {
		c.watch(p)
	}
	return c
}

// watch makes the target take 40 ms for a request, and crash at the end of one with poisonBody.
// A new target is in place 300 ms later.
func (c *crashes) watch(p *hostplatform.Engine) {
	var once sync.Once
	p.SetPlainHandler(func(w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(40 * time.Millisecond)
		runs := p.Runs()
		for _, run := range runs {
			if run.ID == r.Header.Get("Request-Id") && strings.HasPrefix(run.Body, poisonBody) {
				once.Do(func() { c.crash(p.ID) })
			}
		}
		return false
	})
}

func (c *crashes) crash(id string) {
	c.count.Add(1)
	d := c.deployment
	d.mu.Lock()
	server := d.servers[id]
	delete(d.entries, id)
	d.mu.Unlock()
	server.Close()
	time.AfterFunc(300*time.Millisecond, func() {
		defer GinkgoRecover()
		d.store.Put("keyed.servers", id, nil)
		p := d.addTarget(fmt.Sprint("r", c.started.Add(1)), "desk", 6, hostplatform.FirstSoftware)
		d.mu.Lock()
		d.plain = append(d.plain, p)
		d.mu.Unlock()
		c.watch(p)
	})
}

// awaitPlainTarget waits until an instance serves plain requests again.
func (i *testInstance) awaitPlainTarget(body string) {
	GinkgoHelper()
	Eventually(func() int {
		return i.call(http.MethodPost, "/confirm/x", fmt.Sprint("wait-", time.Now().UnixNano()), key, []byte(body)).status
	}, eventuallyTimeout).Should(Equal(http.StatusOK))
}

var _ = Describe("A request that crashes the targets that run it", func() {
	It("is not sent on after its third crash, at whatever instance it comes again", Label("known-red"), func() {
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		c := d.crashOnPoison()
		for n := range 12 {
			in := d.instances[n%len(d.instances)]
			in.awaitPlainTarget(fmt.Sprint("innocent ", n))
			res := in.call(http.MethodPost, "/confirm/poison", fmt.Sprint("p", n), key, []byte(poisonBody))
			Expect(res.status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
		}
		Expect(c.count.Load()).To(BeNumerically("<=", crashesAllowed))
		res := d.instances[0].call(http.MethodPost, "/confirm/poison", "last", key, []byte(poisonBody))
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
