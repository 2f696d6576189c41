package hosted_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// configureStreams publishes a configuration in which a field of the route of callers' streams has
// the value.
func (d *deployment) configureStreams(field string, value any) {
	d.version += 3
	config := hostplatform.Config(d.version, host, []string{key})
	for _, route := range config["routes"].([]map[string]any) {
		if route["name"] == "talk" {
			route[field] = value
		}
	}
	before := countLines(d.logged(), "config applied")
	d.store.Put(platform.OperatorTopic, "config", config)
	d.awaitLogged("config applied", before+len(d.instances))
}

// trickle sends a part of an event and then a byte of it now and then until the caller leaves.
func trickle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Stamp", "s")
	w.Header().Set("Weight-Versions", "1")
	part := "id: 1\ndata: "
	for {
		_, err := io.WriteString(w, part)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		part = "a"
		select {
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

var _ = Describe("A stream of a caller", func() {
	It("is not cut while events arrive slowly, for longer than every fixed time-out of a connection", func() {
		d := newDeployment(1, 1)
		d.configureStreams("timeout-ms", 20_000)
		d.engines[0].SetEventInterval(time.Second)
		res := d.instances[0].callStream("slow", 13)
		Expect(res.status).To(Equal(http.StatusOK))
		Expect(res.body).To(HaveSuffix("id: 13\ndata: slow-13\n\n"))
	})

	It("ends at the timeout of its route if bytes arrive but no event is complete", func() {
		d := newDeployment(1, 1)
		d.configureStreams("timeout-ms", 2_000)
		left := make(chan struct{})
		d.engines[0].SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
			defer close(left)
			trickle(w, r)
			return true
		})
		received := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			received <- d.instances[0].callStream("trickle", 3)
		}()
		Eventually(received, eventuallyTimeout).Should(Receive(Equal(response{})), "no complete response")
		Eventually(left, eventuallyTimeout).Should(BeClosed(), "the target's slot is free")
	})

	It("ends at the timeout of its route if the caller reads nothing of it", func() {
		d := newDeployment(1, 1)
		d.configureStreams("timeout-ms", 1_000)
		in := d.instances[0]
		started := make(chan struct{})
		d.engines[0].SetStreamHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Stamp", "s")
			close(started)
			chunk := "id: 1\ndata: " + strings.Repeat("a", 64<<10) + "\n\n"
			for {
				if _, err := io.WriteString(w, chunk); err != nil {
					return true
				}
			}
		})
		conn, err := net.Dial("tcp", in.frontAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /talk/x HTTP/1.1\r\nHost: "+host+"\r\nRequest-Id: r\r\nCredential: "+key+"\r\nToken-Usage: 10,3\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, eventuallyTimeout).Should(BeClosed())
		in.instance.Stop()
		Eventually(func() int { return len(in.done) }, eventuallyTimeout).Should(Equal(1))
		Expect(d.logged()).NotTo(ContainSubstring("instance cut requests"), "no request was left in flight")
	})
})

var _ = Describe("A task's stream of which bytes arrive but no event is complete", func() {
	It("is ended, and the task completed at another engine", func() {
		d := newDeployment(1, 2)
		d.engines[0].SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool { trickle(w, r); return true })
		events := tasks(4, 20)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", 4), events)
		Expect(d.engines[0].Runs()).NotTo(BeEmpty())
	})
})
