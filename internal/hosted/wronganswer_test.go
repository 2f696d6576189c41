package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

// answerTo responds to a run that resumes after two events of the task id.
type answerTo func(w http.ResponseWriter, r *http.Request, id string)

// whole responds with the status, the header fields and a body that has a length.
func whole(status int, fields, body string) answerTo {
	return func(w http.ResponseWriter, r *http.Request, id string) {
		for field := range strings.Lines(fields) {
			name, value, _ := strings.Cut(strings.TrimSpace(field), ": ")
			w.Header().Set(name, value)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.WriteHeader(status)
		_, err := w.Write([]byte(body))
		Expect(err).NotTo(HaveOccurred())
	}
}

// raw writes text to the connection and closes it.
func raw(text string) answerTo {
	return func(w http.ResponseWriter, _ *http.Request, id string) {
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte(strings.ReplaceAll(text, "ID", id)))
		Expect(err).NotTo(HaveOccurred())
	}
}

const (
	eventStream = "Server-Stamp: s\nWeight-Versions: 1\nContent-Type: text/event-stream"
	rawHead     = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
)

var wrongAnswers = map[string]answerTo{
	"400 with a text":                   whole(400, "Server-Stamp: s", "bad request\n\n"),
	"404 with a JSON error":             whole(404, "Content-Type: application/json", `{"error":"no"}`),
	"502 with a text":                   whole(502, "", "bad gateway"),
	"500 with events":                   whole(500, eventStream, "id: 3\ndata: wrong\n\n"),
	"503, not run":                      whole(503, "Not-Executed: 1", "id: 3\ndata: wrong\n\n"),
	"429, not run":                      whole(429, "Not-Executed: 1", ""),
	"421":                               whole(421, "", ""),
	"206 with events":                   whole(206, eventStream, "id: 3\ndata: wrong\n\n"),
	"an end before the head":            raw(""),
	"an end in the head":                raw("HTTP/1.1 200 OK\r\nServer-St"),
	"a head with a blank in a name":     raw(rawHead + "Transfer-Encoding : chunked\r\n\r\nid: 3\ndata: wrong\n\n"),
	"an end in an event":                raw(rawHead + "\r\nid: 3\ndata: wro"),
	"an end in an event's number":       raw(rawHead + "\r\nid: 3\n"),
	"200 with a text":                   whole(200, "Server-Stamp: s", "an error\n\n"),
	"200 with a JSON error":             whole(200, "Server-Stamp: s\nContent-Type: application/json", `{"error":"no"}`),
	"an empty 200 of another type":      whole(200, "Server-Stamp: s\nContent-Type: application/json", ""),
	"an encoded 200 without events":     whole(200, eventStream+"\nContent-Encoding: gzip", ""),
	"an encoded 200 with events":        whole(200, eventStream+"\nContent-Encoding: x-other", "id: 3\ndata: wrong\n\n"),
	"200 without a signature":           whole(200, "Content-Type: text/event-stream", "id: 3\ndata: wrong\n\n"),
	"a head in the body":                whole(200, eventStream, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nid: 3\ndata: wrong\n\n"),
	"a head in an event":                whole(200, eventStream, "id: 3\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nid: 4\ndata: wrong\n\n"),
	"an event without data":             whole(200, eventStream, "id: 3\n\nid: 4\ndata: wrong\n\n"),
	"events from the first one":         whole(200, eventStream, "id: 1\ndata: wrong\n\nid: 2\ndata: wrong\n\nid: 3\ndata: wrong\n\n"),
	"events from a later one":           whole(200, eventStream, "id: 4\ndata: wrong\n\n"),
	"no event and no stated end, reset": func(w http.ResponseWriter, r *http.Request, _ string) { cut{reset: true}.respond(w, r, "") },
}

// Guards against the text of another answer in the output of a task, and against an output that
// ends with an answer which is not the rest of it.
var _ = Describe("A task that resumes after kept events", func() {
	It("has its whole output whatever the next engine answers first", func() {
		d := newDeployment(1, 2)
		var answered sync.Map
		for _, e := range d.engines {
			e.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				if _, done := answered.Load(id); done {
					return false
				}
				if r.Header.Get("Last-Event-Id") == "" {
					cut{framing: "Transfer-Encoding: chunked\r\n"}.respond(w, r, cutEvents(id))
					return true
				}
				answered.Store(id, true)
				wrongAnswers[strings.ReplaceAll(id, "-", " ")](w, r, id)
				return true
			})
		}
		events := map[string]int{}
		for name := range wrongAnswers {
			events[strings.ReplaceAll(name, " ", "-")] = 4
		}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", len(events)), events)
		for id := range events {
			_, done := answered.Load(id)
			Expect(done).To(BeTrue(), id)
		}
	})
})

// Guards against an output that ends with the crash of an engine that has sent a head only, and
// against an empty output.
var _ = Describe("A task whose engine crashes after the head of an answer without a stated end", func() {
	DescribeTable("has its whole output", func(resumes bool) {
		d := newDeployment(1, 3)
		var cutOff, crashed atomic.Bool
		for i, e := range d.engines {
			e.SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
				switch {
				case resumes && cutOff.CompareAndSwap(false, true):
					cut{framing: "Transfer-Encoding: chunked\r\n"}.respond(w, r, cutEvents("t"))
				case resumes && r.Header.Get("Last-Event-Id") == "", !crashed.CompareAndSwap(false, true):
					return false
				default:
					conn, _, err := http.NewResponseController(w).Hijack()
					Expect(err).NotTo(HaveOccurred())
					d.servers[fmt.Sprintf("e%d", i)].Close()
					_, err = conn.Write([]byte(strings.ReplaceAll(rawHead+"\r\n", "ID", "t")))
					Expect(err).NotTo(HaveOccurred())
					Expect(conn.Close()).To(Succeed())
				}
				return true
			})
		}
		events := map[string]int{"t": 4}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", 1), events)
		Expect(crashed.Load()).To(BeTrue())
	},
		Entry("that begins", false),
		Entry("that resumes", true),
	)

	It("has its whole output, too, if the engine does not crash and has nothing to add", func() {
		d := newDeployment(1, 1)
		d.engines[0].SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") == "2" {
				raw(rawHead+"\r\n")(w, r, "t")
			} else {
				cut{}.respond(w, r, cutEvents("t"))
			}
			return true
		})
		events := map[string]int{"t": 2}
		Expect(d.instances[0].call(http.MethodPost, "/train/j", "j", key, hostplatform.Submission(1, events)).status).To(Equal(http.StatusAccepted))
		checkOutputs(d.instances[0].awaitResults("j", 1), events)
	})
})

// Guards against a stream that looks complete though its target stopped inside an event.
var _ = Describe("A stream that ends inside an event", func() {
	DescribeTable("is no complete stream of a caller, also through another instance", func(framing, part string) {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		for _, id := range []string{"direct", "relayed"} {
			d.engines[0].SetStreamHandler(func(w http.ResponseWriter, r *http.Request) bool {
				raw(rawHead+framing+"\r\n"+part)(w, r, id)
				return true
			})
			res := d.instances[0].callStream(id, 4)
			Expect(res.status).NotTo(Equal(http.StatusOK), "a complete response of status 200 with %q", res.body)
			d.instances[0].links.set(refusing)
		}
	},
		Entry("with its length", "Content-Length: 12\r\n", "id: 1\ndata: "),
		Entry("chunked", "Transfer-Encoding: chunked\r\n", "c\r\nid: 1\ndata: \r\n0\r\n\r\n"),
		Entry("up to the end of the connection", "", "id: 1\ndata: a\n\nid: 2\n"),
	)
})

var _ = Describe("A response to HEAD", func() {
	It("has the length that its target states, also through another instance", func() {
		d := newDeployment(2, 1)
		d.awaitAnnouncements()
		answer := func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Stamp", "s")
			w.Header().Set("Content-Length", "12345")
			return true
		}
		d.handlePlain(answer)
		d.engines[0].SetPlainHandler(answer)
		for _, id := range []string{"direct", "relayed"} {
			for _, path := range []string{"/once/x", "/confirm/x", "/talk/x"} {
				res := d.instances[0].call(http.MethodHead, path, id+path, key, nil)
				Expect(res.status).To(Equal(http.StatusOK))
				Expect(res.header.Get("Content-Length")).To(Equal("12345"), "%s %s", id, path)
			}
			d.instances[0].links.set(refusing)
		}
	})
})

// Guards against a caller that waits in vain: a head without an end was passed on.
var _ = Describe("A target that switches to another protocol", func() {
	It("has given no response to a caller", func() {
		d := newDeployment(1, 1)
		for _, rest := range []string{"", "x"} {
			d.handlePlain(func(w http.ResponseWriter, r *http.Request) bool {
				raw("HTTP/1.1 101 Switching Protocols\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n\r\n"+rest)(w, r, r.Header.Get("Request-Id"))
				return true
			})
			for _, path := range []string{"/once/x", "/confirm/x"} {
				Expect(d.instances[0].call(http.MethodPost, path, path+rest, key, nil).status).To(Equal(http.StatusBadGateway), path+rest)
			}
		}
	})
})
