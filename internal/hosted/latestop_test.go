package hosted_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// configureTimeouts publishes a configuration in which all routes have a timeout that is longer than the
// grace period of an instance.
func (d *deployment) configureTimeouts() {
	d.version += 3
	config := hostplatform.Config(d.version, host, []string{key})
	for _, route := range config["routes"].([]map[string]any) {
		route["timeout-ms"] = 30_000
	}
	before := countLines(d.logged(), "config applied")
	d.store.Put(platform.OperatorTopic, "config", config)
	d.awaitLogged("config applied", before+len(d.instances))
}

// Guards against requests that an instance takes during its planned stop, passes on and cuts without an
// answer at the end of the grace period.
var _ = Describe("A planned stop with requests that outlast the grace period", func() {
	It("answers all of them, and runs those once that may run once", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		d.configureTimeouts()
		stopped, other := d.instances[0], d.instances[1]
		never := make(chan struct{})
		DeferCleanup(func() { close(never) })
		hold := func(_ http.ResponseWriter, r *http.Request) bool {
			select {
			case <-never:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		d.handlePlain(hold)
		d.engines[0].SetStreamHandler(hold)

		var refused sync.Map // reasons by request
		var group sync.WaitGroup
		send := func(name string, to *testInstance, path string) {
			c := to.connect()
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nCredential: %s\r\n", path, host, name, key)
			if path == "/talk/x" {
				head += "Token-Usage: 10,4\r\n"
			}
			c.send(head)
			group.Go(func() {
				defer GinkgoRecover()
				time.Sleep(50 * time.Millisecond) // a head that arrives in two parts
				c.send(requestRest)
				status, body, err := c.receive()
				Expect(err).NotTo(HaveOccurred(), name)
				Expect(status).To(BeNumerically(">=", http.StatusBadGateway), "%s: %s", name, body)
				if status == http.StatusServiceUnavailable {
					refused.Store(name, body)
				}
			})
		}
		other.links.set(refusing)
		for _, path := range []string{"/once/x", "/confirm/x", "/talk/x"} {
			send("before "+path, stopped, path)
		}
		send("relayed", other, "/once/x")
		Eventually(func() int { return len(d.plain[0].Runs()) + len(d.plain[1].Runs()) }, eventuallyTimeout).Should(BeNumerically(">=", 3))
		stopped.instance.Stop()
		for n := range 6 {
			time.Sleep(350 * time.Millisecond)
			for _, path := range []string{"/once/x", "/confirm/x", "/talk/x"} {
				send(fmt.Sprintf("during %d %s", n, path), stopped, path)
			}
		}
		group.Wait()
		Eventually(func() int { return len(stopped.done) }, eventuallyTimeout).Should(Equal(1))
		runs := map[string]int{}
		for _, p := range d.plain {
			for _, r := range p.Runs() {
				if runs[r.ID]++; r.Path == "/once/x" {
					Expect(runs[r.ID]).To(Equal(1), r.ID)
					reason, wasRefused := refused.Load(r.ID)
					Expect(wasRefused).To(BeFalse(), "%s has run: %s", r.ID, reason)
				}
			}
		}
	})

	It("answers a submission that the log has not confirmed", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		d.configureTimeouts()
		stopped := d.instances[0]
		stopped.logProxy.SetFault(hostplatform.SilentAppends)
		d.instances[1].logProxy.SetFault(hostplatform.SilentAppends)
		c := stopped.connect()
		body := hostplatform.Submission(1, map[string]int{"t": 2})
		c.send(fmt.Sprintf("POST /train/j HTTP/1.1\r\nHost: %s\r\nRequest-Id: j\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s", host, key, len(body), body))
		time.Sleep(50 * time.Millisecond)
		stopped.instance.Stop()
		status, answer, err := c.receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Or(Equal(http.StatusAccepted), BeNumerically(">=", http.StatusBadGateway)), answer)
	})
})
