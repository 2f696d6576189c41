package occupancy_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	core "github.com/amaranthfold/amaranthfold/core/occupancy"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/occupancy"
)

// node is a runner with its listener for other instances.
type node struct {
	clock.System
	name     string
	ahead    atomic.Int64 // of the system's clock
	exchange atomic.Pointer[occupancy.Exchange]
	server   *httptest.Server
	hang     atomic.Pointer[chan struct{}] // calls wait for it
	calls    atomic.Int64                  // in progress
	maxCalls atomic.Int64
	stop     func()

	mu    sync.Mutex
	loads []core.Load
	lines []string
	set   *metrics.Set
}

func (n *node) Now() time.Duration { return n.System.Now() + time.Duration(n.ahead.Load()) }

func (n *node) setRuns(runs int) {
	n.mu.Lock()
	n.loads = []core.Load{{Engine: "e", Runs: runs, Tokens: 100 * int64(runs)}}
	n.mu.Unlock()
	n.exchange.Load().Changed()
}

// runs returns the number of runs of the other runners that the node sees.
func (n *node) runs() int { return n.exchange.Load().Sum(n.Now()).Loads["e"].Runs }

func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.lines, ", ")
}

func (n *node) metrics() string {
	var b bytes.Buffer
	n.set.WritePrometheus(&b)
	return b.String()
}

func (n *node) post(data []byte) int {
	res, err := http.Post(n.server.URL+occupancy.Path, "", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	res.Body.Close()
	return res.StatusCode
}

// cluster holds the nodes that know each other.
type cluster struct {
	mu    sync.Mutex
	nodes []*node
}

func (c *cluster) runners() (out []occupancy.Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		out = append(out, occupancy.Runner{Name: n.name, Address: n.server.Listener.Addr().String()})
	}
	return out
}

func (c *cluster) add(name string) *node {
	n := &node{name: name}
	n.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.maxCalls.Store(max(n.maxCalls.Load(), n.calls.Add(1)))
		defer n.calls.Add(-1)
		if hang := n.hang.Load(); hang != nil {
			<-*hang
		}
		n.exchange.Load().Handler().ServeHTTP(w, r)
	}))
	c.start(n, 1)
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	DeferCleanup(func() { n.stop(); n.server.Close() })
	return n
}

// start starts a process of the node.
func (c *cluster) start(n *node, incarnation int64) {
	n.set = metrics.NewSet()
	exchange := occupancy.New(occupancy.Config{
		Self: n.name, Incarnation: incarnation, Clock: n, Runners: c.runners, Known: func(name string) bool { return name != "stranger" },
		Client: &http.Client{Transport: &http.Transport{}}, Metrics: n.set,
		Loads: func() []core.Load { n.mu.Lock(); defer n.mu.Unlock(); return n.loads },
		Log: func(event string, fields ...events.Field) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lines = append(n.lines, event+" "+fields[0].Value)
		},
	})
	n.exchange.Store(exchange)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = exchange.Run(ctx)
	}()
	n.stop = func() { cancel(); <-done }
}

var _ = Describe("Exchange", func() {
	var a, b, c *node
	var all *cluster
	BeforeEach(func() {
		all = &cluster{}
		a, b, c = all.add("a"), all.add("b"), all.add("c")
	})

	It("tells every runner the runs of the others", func() {
		a.setRuns(3)
		b.setRuns(4)
		Eventually(c.runs).Should(Equal(7))
		Eventually(a.runs).Should(Equal(4))
		a.setRuns(0)
		Eventually(c.runs).Should(Equal(4))
		Eventually(a.metrics).Should(ContainSubstring(`messages_total{outcome="received"} 1`))
		Expect(a.metrics()).To(ContainSubstring("amaranth_hosted_occupancy_age_seconds"))
		Expect(a.log() + b.log() + c.log()).To(BeEmpty())
	})

	// Guards against a frozen runner that delays the news for the others, or collects calls.
	It("has one call in progress to a runner that hangs", func() {
		hang := make(chan struct{})
		b.hang.Store(&hang)
		for runs := 1; !strings.Contains(a.log(), "runner lost b"); runs = runs%5 + 1 {
			a.setRuns(runs)
			time.Sleep(10 * time.Millisecond)
		}
		a.setRuns(9)
		Eventually(c.runs).Should(Equal(9))
		close(hang)
		Eventually(b.runs, "5s").Should(Equal(9))
		Eventually(a.log).Should(Equal("runner lost b, runner regained b"))
		// A handler may still be unwound when its caller has given up and calls again.
		Expect(b.maxCalls.Load()).To(BeNumerically("<=", 4))
	})

	It("gives a restarted runner the full state, and takes its new one", func() {
		a.setRuns(3)
		b.setRuns(4)
		Eventually(a.runs).Should(Equal(4))
		Eventually(c.runs).Should(Equal(7))
		b.stop()
		b.loads = nil
		all.start(b, 2)
		b.setRuns(1)
		Eventually(a.runs, "5s").Should(Equal(1))
		Eventually(b.runs, "5s").Should(Equal(3))
	})

	It("drops the loads of a runner that has ended, or sends nothing for 3 s", func() {
		a.setRuns(3)
		b.setRuns(4)
		Eventually(c.runs).Should(Equal(7))
		a.stop()
		c.ahead.Store(int64(3 * time.Second))
		Eventually(c.runs, "5s").Should(Equal(4)) // b has sent its loads again
		b.stop()
		b.server.Close()
		c.setRuns(1)
		Eventually(c.runs, "5s").Should(BeZero())
	})

	It("refuses malformed messages and keeps what it has", func() {
		a.setRuns(3)
		Eventually(b.runs).Should(Equal(3))
		message := core.Message{From: "x", Incarnation: 1, Sequence: 1, Full: true, Loads: []core.Load{{Engine: "e", Runs: 5}}}
		encoded := func(change func(*core.Message)) []byte {
			m := message
			change(&m)
			data, err := core.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			return data
		}
		Expect(b.post([]byte("noise"))).To(Equal(http.StatusBadRequest))
		Expect(b.post(encoded(func(m *core.Message) { m.Loads = []core.Load{{Engine: "e", Runs: -5}} }))).To(Equal(http.StatusBadRequest))
		Expect(b.post(encoded(func(m *core.Message) { m.From = "b" }))).To(Equal(http.StatusBadRequest))
		Expect(b.post(encoded(func(m *core.Message) { m.From = "stranger" }))).To(Equal(http.StatusForbidden))
		Expect(b.post(encoded(func(m *core.Message) { m.Full, m.Sequence = false, 2 }))).To(Equal(http.StatusConflict))
		Expect(b.post(make([]byte, 2*core.MaxMessageBytes))).To(Equal(http.StatusRequestEntityTooLarge))
		res, err := http.Get(b.server.URL + occupancy.Path)
		Expect(err).NotTo(HaveOccurred())
		res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusMethodNotAllowed))
		Expect(b.runs()).To(Equal(3))
		Expect(b.metrics()).To(ContainSubstring(`messages_total{outcome="rejected"} 6`))
		Expect(b.post(encoded(func(*core.Message) {}))).To(Equal(http.StatusNoContent))
		Expect(b.runs()).To(Equal(8))
	})
})
