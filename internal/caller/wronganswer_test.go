package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/engine"
	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
)

// answer is how an engine responds to a request to go on with a stream.
type answer struct {
	name string
	goOn bool // another engine may go on with the stream
	send func(w http.ResponseWriter, r *http.Request)
}

// foreign is part of every wrong answer.
const foreign = "FOREIGN"

func status(code int, body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, body, code) }
}

// eventStream responds with status 200 and the body.
func eventStream(body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, body)
	}
}

// rawAnswer writes text to the connection and closes it.
func rawAnswer(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}
}

const (
	done    = "data: [DONE]\n\n"
	okHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	oneWord = `data: {"id":"x","choices":[{"index":0,"text":"` + foreign + `","finish_reason":null}]}`
)

// answers are the wrong answers to a continuation.
var answers = []answer{
	{"400 with a text", false, status(400, foreign+"\nHTTP/1.1 400 Bad Request")},
	{"404 with a JSON error", false, status(404, `{"error":{"message":"`+foreign+`"}}`)},
	{"429", true, status(429, foreign)},
	{"500 with a JSON error", true, status(500, `{"error":{"message":"`+foreign+`"}}`)},
	{"502 with events", true, status(502, oneWord+"\n\n"+done)},
	{"503 with a text", true, status(503, foreign)},
	{"an end before the head", true, rawAnswer("")},
	{"an end in the head", true, rawAnswer("HTTP/1.1 200 OK\r\nX-" + foreign)},
	{"a head with a blank in a name", true, rawAnswer(strings.Replace(okHead, "\r\n\r\n", "\r\nContent-Length : 4\r\n\r\n", 1) + oneWord + "\n\n" + done)},
	{"an end in an event", true, rawAnswer(okHead + oneWord)},
	{"200 with a text", true, status(200, foreign)},
	{"200 with a JSON error", true, status(200, `{"error":{"message":"`+foreign+`"}}`)},
	{"200 with an empty body", true, status(200, "")},
	{"an error event", true, eventStream("event: error\ndata: {\"error\":{\"message\":\"" + foreign + "\"}}\n\n" + done)},
	{"an error event, spaced", true, eventStream("data: { \"error\": \"" + foreign + "\" }\n\n" + done)},
	{"an error event without its name", true, eventStream("event: error\ndata: {\"message\":\"" + foreign + "\",\"code\":503}\n\n" + done)},
	{"a text in an event", true, eventStream("data: " + foreign + "\n\n" + done)},
	{"a head and an error in the body", true, eventStream("HTTP/1.1 503 X\r\n\r\n" + foreign + "\r\ndata: {\"object\":\"error\",\"message\":\"" + foreign + "\"}\n\n" + done)},
	{"the end marker only", true, eventStream(done)},
	{"an encoded body", true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "x-other")
		eventStream(oneWord+"\n\n"+done)(w, r)
	}},
}

// answerContinuations makes engines give the answer to the next n continuations.
func answerContinuations(a answer, n int64) *atomic.Int64 { return answerCompletions(a, n, true) }

func answerCompletions(a answer, n int64, continuations bool) *atomic.Int64 {
	var given atomic.Int64
	for _, e := range deployment.Engines() {
		e.HandleCompletions(func(w http.ResponseWriter, r *http.Request, continues bool) bool {
			if continues != continuations || given.Add(1) > n {
				return false
			}
			a.send(w, r)
			return true
		})
	}
	return &given
}

// Guards against the text of another answer in a stream that has begun, and against one that looks
// complete without its last event.
var _ = Describe("A stream that has begun and goes on at an engine with a wrong answer", func() {
	const tokens, delivered = 12, 5
	AfterEach(func() {
		abortAll(0)
		for _, e := range deployment.Engines() {
			e.HandleCompletions(nil)
		}
	})

	var table []any
	for _, a := range answers {
		table = append(table, Entry(a.name, a))
	}
	DescribeTable("goes on exactly or breaks off visibly", append([]any{func(a answer) {
		for _, n := range []int64{1, 1 << 30} {
			prompt := fmt.Sprintf("%s %d", a.name, n)
			abortAll(delivered)
			given := answerContinuations(a, n)
			res := post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody(prompt, tokens, true))
			data, err := io.ReadAll(res.Body)
			body := string(data)
			Expect(given.Load()).To(BeNumerically(">=", 1))
			Expect(body).NotTo(ContainSubstring(foreign))
			got := readStream(strings.NewReader(body))
			if a.goOn && n == 1 {
				Expect(err).NotTo(HaveOccurred())
				Expect(got.done).To(BeTrue(), body)
				Expect(got.text).To(Equal(engines.Text(prompt, 0, tokens)))
				continue
			}
			Expect(err).To(HaveOccurred(), "a complete response with %s", body)
			Expect(got.done).To(BeFalse())
			Expect(got.text).To(Equal(engines.Text(prompt, 0, delivered)))
			Expect(got.failure).NotTo(BeEmpty())
		}
	}}, table...)...)

	It("breaks off visibly at the caller's deadline", func() {
		abortAll(delivered)
		answerContinuations(answer{send: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}, 1<<30)
		res := post(connection.CallerURLs[0], "/v1/completions", account, http.Header{engine.TimeoutHeader: {"400ms"}}, completionBody("late", tokens, true))
		data, err := io.ReadAll(res.Body)
		Expect(err).To(HaveOccurred(), "a complete response with %s", data)
		Expect(readStream(strings.NewReader(string(data))).failure).To(Equal("deadline_exceeded"))
	})
})

// Guards against an error within a response of status 200 that has no event.
var _ = Describe("A stream that has not begun", func() {
	AfterEach(func() {
		for _, e := range deployment.Engines() {
			e.HandleCompletions(nil)
		}
	})

	It("is answered with the error, or begins at the next engine with its own header", func() {
		for _, a := range answers {
			if !a.goOn {
				continue
			}
			answerCompletions(a, 1<<30, false)
			res := post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody("none", 4, true))
			data, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred(), a.name)
			Expect(res.StatusCode).To(BeNumerically(">=", 400), "%s: %s", a.name, data)
			Expect(res.Header.Get("Content-Type")).To(Equal("application/json"), a.name)
			answerCompletions(a, 1, false)
			res = post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody("next", 4, true))
			Expect(res.Header.Get("Content-Type")).To(Equal("text/event-stream"), a.name)
			Expect(readStream(res.Body).text).To(Equal(engines.Text("next", 0, 4)), a.name)
		}
	})
})

// Guards against an error that is taken for a completion because its status is 200.
var _ = Describe("A completion that is not streamed", func() {
	AfterEach(func() {
		for _, e := range deployment.Engines() {
			e.HandleCompletions(nil)
		}
	})

	It("is that of an engine that has generated it, or an error", func() {
		for _, body := range []string{"", foreign, `{"error":{"message":"` + foreign + `"}}`, `{"choices":[{"text":"` + foreign, `[]`} {
			a := answer{send: status(http.StatusOK, body)}
			for _, n := range []int64{1, 1 << 30} {
				answerCompletions(a, n, false)
				res := post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody("whole", 4, false))
				data, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(data)).NotTo(ContainSubstring(foreign))
				if n == 1 {
					Expect(string(data)).To(ContainSubstring(engines.Text("whole", 0, 4)), "after %q", body)
				} else {
					Expect(res.StatusCode).To(Equal(http.StatusBadGateway), "after %q", body)
				}
			}
		}
	})
})
