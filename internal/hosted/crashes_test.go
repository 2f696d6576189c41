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

	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	poisonBody = "poison"
	// crashesAllowed is the number of targets that may crash under one request: three, and three
	// more by repeats that were sent before all instances knew.
	crashesAllowed = 6
)

// crashes makes plain targets crash under some of the requests that they run.
type crashes struct {
	deployment *deployment
	crashes    func(hostplatform.Run) bool
	count      atomic.Int64
	started    atomic.Int64 // targets started in place of crashed ones
	restarting atomic.Int64 // restarts in progress

	// Both are guarded by the deployment's mu.
	servers []*standin.Server
	ended   bool // the spec is over: nothing is started any more
}

// isPoison reports whether a request crashes the targets that run it.
func isPoison(r hostplatform.Run) bool { return strings.HasPrefix(r.Body, poisonBody) }

// crashOn makes the plain targets crash under the requests for which the function returns true.
func (d *deployment) crashOn(f func(hostplatform.Run) bool) *crashes {
	c := &crashes{deployment: d, crashes: f}
	DeferCleanup(func() {
		d.mu.Lock()
		c.ended = true
		d.mu.Unlock()
		Eventually(c.restarting.Load, eventuallyTimeout).Should(BeZero())
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, server := range c.servers {
			server.Close()
		}
	})
	for _, p := range d.plain {
		c.watch(p)
	}
	return c
}

// watch makes the target take 40 ms for a request, and crash at the end of some. A new target
// is in place 300 ms later.
func (c *crashes) watch(p *hostplatform.Engine) {
	var once sync.Once
	p.SetPlainHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		time.Sleep(40 * time.Millisecond)
		for _, run := range p.Runs() {
			if run.ID == r.Header.Get("Request-Id") && c.crashes(run) {
				once.Do(func() { c.crash(p.ID) })
				panic(http.ErrAbortHandler)
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
	ended := c.ended
	if !ended {
		c.restarting.Add(1)
	}
	d.mu.Unlock()
	server.Close()
	if ended {
		return
	}
	go func() {
		defer GinkgoRecover()
		defer c.restarting.Add(-1)
		time.Sleep(300 * time.Millisecond)
		d.store.Put(platform.RegistryTopic, id, nil)
		p, server := d.startTarget(fmt.Sprint("r", c.started.Add(1)), "desk", 6, hostplatform.FirstSoftware)
		c.watch(p)
		c.deployment.mu.Lock()
		defer c.deployment.mu.Unlock()
		c.servers = append(c.servers, server)
	}()
}

// awaitServed repeats a plain request until the instance serves it.
func (i *testInstance) awaitServed(body string) {
	GinkgoHelper()
	Eventually(func() int {
		return i.call(http.MethodPost, "/confirm/x", fmt.Sprint("wait-", time.Now().UnixNano()), key, []byte(body)).status
	}, eventuallyTimeout).Should(Equal(http.StatusOK))
}

// sendPoison sends the request that crashes its targets, under another id each time.
func (i *testInstance) sendPoison(id int) response {
	return i.call(http.MethodPost, "/confirm/poison", fmt.Sprint("p", id), key, []byte(poisonBody))
}

var _ = Describe("A request that crashes the targets that run it", func() {
	It("is not sent on after its third crash, at whatever instance it comes again", func() {
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		c := d.crashOn(isPoison)
		for n := range 12 {
			in := d.instances[n%len(d.instances)]
			in.awaitServed(fmt.Sprint("innocent ", n))
			Expect(in.sendPoison(n).status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
		}
		Expect(c.count.Load()).To(BeNumerically("<=", crashesAllowed))
		res := d.instances[0].sendPoison(12)
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("does not make its targets crash again at an instance that starts later, when the records of the crashes are gone", func() {
		d := newDeployment(2, 1)
		c := d.crashOn(isPoison)
		for n := 0; !strings.Contains(d.logged(), "request condemned"); n++ {
			d.instances[0].awaitServed(fmt.Sprint("innocent ", n))
			d.instances[0].sendPoison(n)
		}
		crashed := c.count.Load()
		d.store.TrimTopic("control")
		before := strings.Count(d.logged(), "condemned requests announced")
		Eventually(func() int { return strings.Count(d.logged(), "condemned requests announced") }, eventuallyTimeout).Should(BeNumerically(">", before))
		young := d.start(2)
		Eventually(young.isReady, eventuallyTimeout).Should(BeTrue())
		young.awaitServed("innocent")
		Expect(young.sendPoison(99).status).To(Equal(http.StatusServiceUnavailable))
		Expect(c.count.Load()).To(Equal(crashed))
	})

	It("takes no innocent request with it that comes again beside it", func() {
		d := newDeployment(3, 1)
		d.awaitAnnouncements()
		c := d.crashOn(isPoison)
		var group sync.WaitGroup
		for n := range 60 {
			in := d.instances[n%len(d.instances)]
			group.Go(func() {
				defer GinkgoRecover()
				in.call(http.MethodPost, "/confirm/same", fmt.Sprint("i", n), key, []byte("innocent"))
			})
			if n%4 == 0 {
				group.Go(func() {
					defer GinkgoRecover()
					in.sendPoison(n)
				})
			}
			time.Sleep(30 * time.Millisecond)
		}
		group.Wait()
		Expect(c.count.Load()).To(BeNumerically("<=", crashesAllowed))
		for _, in := range d.instances {
			in.awaitServed("innocent")
			Eventually(func() int {
				return in.call(http.MethodPost, "/confirm/same", fmt.Sprint("after-", time.Now().UnixNano()), key, []byte("innocent")).status
			}, eventuallyTimeout).Should(Equal(http.StatusOK))
		}
		Expect(strings.Count(d.logged(), "request condemned")).To(Equal(len(d.instances)))
	})

	It("is told from one whose connections break off at targets that live", func() {
		d := newDeployment(1, 1)
		d.handlePlain(func(_ http.ResponseWriter, r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/confirm/poison") {
				panic(http.ErrAbortHandler)
			}
			return false
		})
		for n := range 8 {
			Expect(d.instances[0].sendPoison(n).status).To(Equal(http.StatusBadGateway))
		}
		Expect(d.logged()).NotTo(ContainSubstring("target crashed"))
	})
})

var _ = Describe("A score call under which targets crash", func() {
	It("is repeated until it has its score", func() {
		d := newDeployment(2, 2)
		d.awaitAnnouncements()
		var calls atomic.Int64
		c := d.crashOn(func(r hostplatform.Run) bool { return strings.HasPrefix(r.Path, "/score/") && calls.Add(1) <= 5 })
		events := map[string]int{"t": 3}
		Expect(d.submitScored("j", events).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[1].awaitResults("j", 1), events)
		Expect(c.count.Load()).To(BeNumerically(">", 3))
	})
})
