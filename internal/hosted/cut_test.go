package hosted_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// cut says how a response that is cut halfway ends.
type cut struct {
	framing string // header field that states the end of the body; empty: the end of the connection
	reset   bool   // the connection is reset, else closed
}

// cuts are the ways in which a task's stream may be cut. A body that ends with its connection is
// complete by the platform's protocol if the connection is closed, not reset: callers get it, and
// only tasks, which may run again, are checked.
var cuts = append(statedCuts, Entry("up to the end of the connection, closed", cut{}))

var statedCuts = []TableEntry{
	Entry("with its length, closed", cut{framing: "Content-Length: 1000\r\n"}),
	Entry("with its length, reset", cut{framing: "Content-Length: 1000\r\n", reset: true}),
	Entry("chunked, closed", cut{framing: "Transfer-Encoding: chunked\r\n"}),
	Entry("chunked, reset", cut{framing: "Transfer-Encoding: chunked\r\n", reset: true}),
	Entry("up to the end of the connection, reset", cut{reset: true}),
}

// respond sends the first part of a response to r and cuts it.
func (c cut) respond(w http.ResponseWriter, r *http.Request, part string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	if strings.Contains(c.framing, "chunked") {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	c.write(buffer.Writer, r.Header.Get("Request-Id"), part)
	if c.reset {
		Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
	}
}

func (c cut) write(w *bufio.Writer, id, part string) {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n%s\r\n%s", id, c.framing, part)
	Expect(err).NotTo(HaveOccurred())
	Expect(w.Flush()).To(Succeed())
}

// cutEvents are two complete events of the task or stream id, of more.
func cutEvents(id string) string {
	return fmt.Sprintf("id: 1\ndata: %[1]s-1\n\nid: 2\ndata: %[1]s-2\n\n", id)
}

// cutOnce makes the engines cut the first response to a stream or task between two events.
func (d *deployment) cutOnce(c cut) *atomic.Int64 {
	var cuts atomic.Int64
	for _, e := range d.engines {
		e.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if cuts.Add(1) > 1 {
				return false
			}
			c.respond(w, r, cutEvents(r.Header.Get("Request-Id")))
			return true
		})
	}
	return &cuts
}

// callStream is call for a stream of total events.
func (i *testInstance) callStream(id string, total int) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+i.frontAddress+"/talk/x", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host, req.Close = host, true
	req.Header = http.Header{"Request-Id": {id}, "Credential": {key}, "Token-Usage": {fmt.Sprintf("10,%d", total)}}
	return receive(req)
}

var _ = Describe("A response that is cut halfway", func() {
	DescribeTable("is no success of a plain request, also through another instance", func(c cut) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		var runs atomic.Int64
		d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool { runs.Add(1); c.respond(w, r, "half"); return true })
		Expect(d.instances[0].call(http.MethodPost, "/once/x", "direct", key, nil).status).To(Equal(http.StatusBadGateway))
		d.instances[0].links.set(refusing)
		before := runs.Load()
		Eventually(func() int {
			status := d.instances[0].call(http.MethodPost, "/once/x", "relayed", key, nil).status
			if status == http.StatusServiceUnavailable { // the other instance did not answer in time
				Expect(runs.Load()).To(Equal(before))
				return status
			}
			Expect(status).To(Equal(http.StatusBadGateway))
			return status
		}, eventuallyTimeout).Should(Equal(http.StatusBadGateway))
		Expect(runs.Load()).To(Equal(before + 1))
	}, statedCuts)

	It("differs from one that ends with its connection, which is delivered", func() {
		d := newDeployment(1, 1)
		d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool { cut{}.respond(w, r, "whole"); return true })
		res := d.instances[0].call(http.MethodPost, "/once/x", "direct", key, nil)
		Expect(res.status).To(Equal(http.StatusOK))
		Expect(res.body).To(Equal("whole"))
	})

	DescribeTable("is no complete stream of a caller, also through another instance", func(c cut) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		for _, id := range []string{"direct", "relayed"} {
			Expect(d.cutOnce(c)).NotTo(BeNil())
			res := d.instances[0].callStream(id, 4)
			Expect(res.status).NotTo(Equal(http.StatusOK), "a complete response of status 200 with %q", res.body)
			d.instances[0].links.set(refusing)
		}
	}, statedCuts)

	DescribeTable("completes no task", func(c cut) {
		d := newDeployment(1, 2)
		d.cutOnce(c)
		events := map[string]int{"t": 4}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", 1), events)
	}, cuts)
})
