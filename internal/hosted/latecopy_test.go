package hosted_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// copyLink lies before a target. Where the request after one that failed has the same id, it sends a second copy of the
// response to the first ahead of the response to the second.
type copyLink struct {
	address string
	copies  atomic.Int64 // that were sent
}

// linkTarget puts a copyLink before the registered target.
func (d *deployment) linkTarget(id string) *copyLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	l := &copyLink{address: listener.Addr().String()}
	d.mu.Lock()
	entry := d.entries[id]
	d.mu.Unlock()
	target := entry()["address"].(string)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, target)
		}
	}()
	d.register(id, func() map[string]any {
		e := entry()
		e["address"] = l.address
		return e
	})
	d.awaitRegistryRead()
	return l
}

func (l *copyLink) serve(conn net.Conn, target string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for last := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		r.URL.Scheme, r.URL.Host = "http", target
		res, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return
		}
		if late != nil && id == last {
			l.copies.Add(1)
			_, _ = conn.Write(late) // the next write reports the error
		}
		last = id
		var sent bytes.Buffer
		if res.StatusCode == http.StatusOK {
			err, late = res.Write(conn), nil
		} else if err = res.Write(&sent); err == nil {
			late = sent.Bytes()
			_, err = conn.Write(late)
		}
		_ = res.Body.Close()
		if err != nil {
			return
		}
	}
}

// failFirst returns a handler that responds with the status to the first request of each id.
func failFirst(status int, field string) func(w http.ResponseWriter, r *http.Request) bool {
	var seen sync.Map // ids
	return func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if _, again := seen.LoadOrStore(id, true); again || id == "" {
			return false
		}
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", hostplatform.Signature(id))
		if field != "" {
			w.Header().Set(field, "1")
		}
		w.WriteHeader(status)
		return true
	}
}

// runsOf returns how often the targets have run the request.
func runsOf(targets []*hostplatform.Engine, id string) (n int) {
	for _, e := range targets {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// Guards against the second copy of a response that arrives late and is taken for the response to the next send of
// the same request: it then runs twice, is refused though it runs, or loses an attempt.
var _ = Describe("A late copy of the response to an earlier send of the same request", func() {
	DescribeTable("does not answer a caller's request that is refused at first", func(path string, tokens string, relayed bool) {
		d := newDeployment(2, 1)
		d.remove("p1")
		in, targets := d.instances[0], d.plain[:1]
		if tokens != "" {
			targets = d.engines
		}
		links := []*copyLink{d.linkTarget("p0"), d.linkTarget("e0")}
		d.awaitAnnouncements()
		targets[0].SetEarlyHandler(failFirst(http.StatusServiceUnavailable, "Not-Executed"))
		if relayed {
			in.links.set(resetting)
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			req, err := http.NewRequest(http.MethodPost, "http://"+in.frontAddress+path, strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			req.Host = host
			for name, value := range map[string]string{"Request-Id": id, "Credential": key, "Model": "m", "Token-Usage": tokens} {
				if value != "" {
					req.Header.Set(name, value)
				}
			}
			res := receive(req)
			if res.status == http.StatusServiceUnavailable {
				Expect(runsOf(targets, id)).To(BeZero(), id)
				req.Body, err = req.GetBody()
				Expect(err).NotTo(HaveOccurred())
				res = receive(req)
			}
			Expect(res.status).To(Equal(http.StatusOK), "%s: %s", id, res.body)
			Expect(runsOf(targets, id)).To(Equal(1), id)
		}
		Expect(links[0].copies.Load()+links[1].copies.Load()).To(BeZero(), "a connection has carried a request twice")
	},
		Entry("that runs at most once", "/once/x", "", false),
		Entry("that may be repeated", "/confirm/x", "", false),
		Entry("that another instance relays", "/once/x", "", true),
		Entry("for a stream", "/talk/x", "10,5", false),
	)
	It("does not count as another failure of a task or of its score call, nor as one of a later job's", func() {
		d := newDeployment(1, 1)
		d.remove("p1")
		d.linkTarget("e0")
		d.linkTarget("p0")
		config := hostplatform.Config(d.version+3, host, []string{key})
		for _, route := range config["routes"].([]map[string]any) {
			route["max-attempts"] = 2
		}
		d.store.Put(platform.OperatorTopic, "config", config)
		d.awaitLogged("config applied", 2)
		d.engines[0].SetStreamHandler(failFirst(http.StatusInternalServerError, ""))
		d.plain[0].SetPlainHandler(failFirst(http.StatusInternalServerError, ""))
		// Each job has one task, so that its runs find the same connection idle.
		submit := func(id, task, scorePath string) hostplatform.ResultsPage {
			body := hostplatform.ScoredSubmission(1, map[string]int{task: 3}, host, scorePath)
			Expect(d.instances[0].call(http.MethodPost, "/train/"+id, id, key, body).status).To(Equal(http.StatusAccepted))
			return d.instances[0].awaitResults(id, 1)
		}
		for n := range 5 {
			id := fmt.Sprint("t", n)
			checkOutputs(submit("j"+id, id, "/score/x"), map[string]int{id: 3})
			Expect(runsOf(d.engines, id)).To(Equal(2), id)
			Expect(runsOf(d.plain, "score-"+id)).To(Equal(2), id)
		}
		d.engines[0].SetStreamHandler(failFirst(http.StatusUnprocessableEntity, ""))
		for n := range 5 {
			id := fmt.Sprint("u", n)
			Expect(submit("j"+id, id, "").Results[0].State).To(Equal("terminated"))
			checkOutputs(submit("k"+id, id, ""), map[string]int{id: 3})
		}
	})
})
