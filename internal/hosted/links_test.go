package hosted_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/internal/standin/rawtarget"
	"github.com/amaranthfold/amaranthfold/platform"
)

// linkFault is the state of an instance's links to all targets.
type linkFault int

const (
	healthy   linkFault = iota
	silent              // connections hang, new ones too
	refusing            // new connections are refused, open ones live on
	resetting           // open connections are reset, new ones are refused
)

// targetLinks are the links of one instance to the targets.
type targetLinks struct {
	mu      sync.Mutex
	fault   linkFault
	changed chan struct{}
	open    map[*linkedConn]bool
	hanging map[string]bool // addresses to which dials hang whatever the fault
	uploads atomic.Bool     // see rawtarget.NewUploadConn
}

func newTargetLinks() *targetLinks {
	return &targetLinks{changed: make(chan struct{}), open: map[*linkedConn]bool{}, hanging: map[string]bool{}}
}

func (l *targetLinks) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	if f == resetting {
		for c := range l.open {
			_ = c.Conn.Close()
		}
	}
}

// awaitLink waits while the links are silent. It reports false if done ends first.
func (l *targetLinks) awaitLink(done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		fault, changed := l.fault, l.changed
		l.mu.Unlock()
		if fault != silent {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (l *targetLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !l.awaitLink(ctx.Done()) {
		return nil, ctx.Err()
	}
	l.mu.Lock()
	hanging := l.hanging[address]
	l.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != healthy {
		return nil, syscall.ECONNREFUSED
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if l.uploads.Load() {
		c = rawtarget.NewUploadConn(c, l.uploads.Load)
	}
	linked := &linkedConn{Conn: c, links: l, closed: make(chan struct{})}
	l.open[linked] = true
	return linked, nil
}

// delay makes what arrives on the open connections reach the instance late, in pieces of one event
// or less: each time the returned function is called, one piece on every connection.
func (l *targetLinks) delay() (deliver func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var delayed []chan struct{}
	for c := range l.open {
		pieces := make(chan struct{})
		c.pieces.Store(&pieces)
		delayed = append(delayed, pieces)
	}
	return func() {
		for _, pieces := range delayed {
			select {
			case pieces <- struct{}{}:
			case <-time.After(time.Millisecond): // nothing has arrived on it
			}
		}
	}
}

// linkedConn is a connection over the links.
type linkedConn struct {
	net.Conn
	links  *targetLinks
	once   sync.Once
	closed chan struct{}
	pieces atomic.Pointer[chan struct{}] // nil, or one value for each piece that is delivered
}

// pieceBytes is the size of the pieces on a delayed connection.
const pieceBytes = 16

func (c *linkedConn) Read(b []byte) (int, error) {
	if c.pieces.Load() != nil {
		b = b[:min(len(b), pieceBytes)]
	}
	n, err := c.Conn.Read(b)
	if pieces := c.pieces.Load(); pieces != nil {
		select {
		case <-*pieces:
		case <-c.closed:
		}
	}
	if !c.links.awaitLink(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *linkedConn) Write(b []byte) (int, error) {
	if !c.links.awaitLink(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *linkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// linkFaults are the ways in which an instance loses its links.
var linkFaults = []TableEntry{
	Entry("connections hang", silent), Entry("new connections are refused and open ones live on", refusing), Entry("connections are reset", resetting),
}

var _ = Describe("An instance that has lost its links to all targets", func() {
	DescribeTable("serves callers as the others do", func(fault linkFault) {
		d := newDeployment(3, 2)
		d.awaitAnnouncements()
		cut := d.instances[0]
		for n := range 6 {
			Expect(cut.call(http.MethodPost, "/confirm/x", fmt.Sprint("before", n), key, []byte("b")).status).To(Equal(http.StatusOK))
		}
		d.instances[0].links.set(fault)
		d.instances[1].links.set(fault)
		first := cut.callWithin(2*time.Second, http.MethodPost, "/confirm/x", "first", key, []byte("b"))
		Expect(first.status).To(Equal(http.StatusOK))
		for n := range 20 {
			res := cut.callWithin(time.Second, http.MethodPost, "/confirm/x?q=%20", fmt.Sprint("r", n), key, []byte("b"))
			Expect(res.status).To(Equal(http.StatusOK))
			Expect(res.body).To(HaveSuffix(":b"))
			Expect(res.header.Get("Server-Stamp")).To(Equal(hostplatform.Signature(fmt.Sprint("r", n))))
			once := cut.callWithin(time.Second, http.MethodPost, "/once/x", fmt.Sprint("o", n), key, []byte("b"))
			Expect(once.status).To(Equal(http.StatusOK))
		}
		for _, p := range d.plain {
			for _, r := range p.Runs() {
				Expect(r.Account).To(Equal("acme"))
			}
		}
	}, linkFaults)

	It("asks one other instance when the targets of the service are down for all", func() {
		d := newDeployment(3, 2)
		d.awaitAnnouncements()
		d.instances[0].links.set(refusing)
		for _, p := range d.plain {
			d.servers[p.ID].Close()
		}
		res := d.instances[0].call(http.MethodPost, "/once/x", "r", key, []byte("b"))
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(strings.Count(d.logged(), `target="through`)).To(Equal(1), "instances asked")
		seconds, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("==", 1), "that of the other instance")
	})

	DescribeTable("hands the tasks of its jobs to one that reaches the targets", func(fault linkFault) {
		d := newDeployment(3, 2)
		d.awaitAnnouncements() // the first instance runs the jobs of the model
		for _, e := range d.engines {
			e.SetEventInterval(10 * time.Millisecond)
		}
		events := tasks(8, 150)
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		Eventually(func() int { return len(d.engines[0].Runs()) }, eventuallyTimeout).Should(BeNumerically(">", 1))
		d.instances[0].links.set(fault)
		checkOutputs(d.instances[2].awaitResults("j", 8), events)
		Expect(d.instances[0].call(http.MethodPost, "/train/k", "k", key, hostplatform.Submission(1, map[string]int{"later": 5})).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[2].awaitResults("k", 1), map[string]int{"later": 5})
	}, linkFaults)

	It("refuses requests as not run when no other instance reaches a target", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		for _, in := range d.instances {
			in.links.set(refusing)
		}
		for n := range 3 {
			res := d.instances[0].callWithin(30*time.Second, http.MethodPost, "/once/x", fmt.Sprint("r", n), key, []byte("b"))
			Expect(res.status).To(Equal(http.StatusServiceUnavailable))
			Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		for _, p := range d.plain {
			Expect(p.Runs()).To(BeEmpty())
		}
	})

	It("does not give orders to engines, which one that reaches them gives", func() {
		d := newDeployment(3, 2)
		d.awaitAnnouncements()
		holder := regexp.MustCompile(`event="duty holder".* holder="n(\d)`)
		Eventually(d.logged, eventuallyTimeout).Should(MatchRegexp(holder.String()))
		all := holder.FindAllStringSubmatch(d.logged(), -1)
		number, err := strconv.Atoi(all[len(all)-1][1])
		Expect(err).NotTo(HaveOccurred())
		d.instances[number].links.set(silent)
		cut := d.instances[number].callWithin(2*time.Second, http.MethodPost, "/confirm/x", "r", key, nil)
		Expect(cut.status).To(Equal(http.StatusOK))
		d.store.Put(platform.OperatorTopic, "version/m", map[string]any{"model": "m", "version": 2})
		for _, e := range d.engines {
			Eventually(e.Version, eventuallyTimeout).Should(Equal(int64(2)))
		}
	})
})

var _ = Describe("A request that reached no target", func() {
	DescribeTable("is answered as not run when its time is over before a connection is open", func(path string) {
		d := newDeployment(1, 1)
		links := d.instances[0].links
		links.mu.Lock()
		for _, p := range d.plain {
			links.hanging[address(d.servers[p.ID])] = true
		}
		links.mu.Unlock()
		res := d.instances[0].callWithin(200*time.Millisecond, http.MethodPost, path, "r", key, []byte("b"))
		Expect(res.status).To(Equal(http.StatusServiceUnavailable))
		Expect(res.header.Get("Retry-After")).NotTo(BeEmpty())
	}, Entry("idempotent", "/confirm/x"), Entry("not idempotent", "/once/x"))

	It("is not held to its deadline while no target accepts a connection", func() {
		d := newDeployment(1, 1)
		for _, p := range d.plain {
			d.servers[p.ID].Close()
		}
		Expect(d.instances[0].call(http.MethodPost, "/once/x", "r", key, []byte("b")).status).To(Equal(http.StatusServiceUnavailable))
		attempts := strings.Count(d.logged(), `event="request attempt failed"`)
		Expect(attempts).To(Equal(len(d.plain)), "attempts until the request is refused")
	})
})
