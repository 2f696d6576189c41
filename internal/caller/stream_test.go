package caller_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/engine"
	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
)

// post sends a request with the key of the account.
func post(callerURL, path, account string, header http.Header, body []byte) *http.Response {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, callerURL+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		req.Header[name] = values
	}
	for _, a := range connection.Accounts {
		if a.Name == account {
			req.Header.Set("Authorization", "Bearer "+a.Key)
		}
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(res.Body.Close)
	return res
}

// receivedStream is a stream as received by the caller.
type receivedStream struct {
	text    string
	ids     map[string]bool
	usages  []engine.Usage
	finish  []string // finish reasons
	failure string   // code of an error event
	done    bool     // the end marker was received
}

// failureCode matches the code of an error event.
var failureCode = regexp.MustCompile(`"code":"([a-z_]*)"`)

// readStream reads a stream to its end.
func readStream(r io.Reader) receivedStream {
	GinkgoHelper()
	got := receivedStream{ids: map[string]bool{}}
	reader := engine.NewEventReader(r)
	for {
		payload, err := reader.Next()
		if errors.Is(err, engine.ErrEngine) {
			got.failure = failureCode.FindStringSubmatch(err.Error())[1]
			continue
		}
		if err != nil {
			got.done = errors.Is(err, io.EOF)
			return got
		}
		var chunk engine.Chunk
		Expect(json.Unmarshal(payload, &chunk)).To(Succeed())
		got.addChunk(&chunk)
	}
}

func (s *receivedStream) addChunk(c *engine.Chunk) {
	s.ids[c.ID] = true
	if c.Usage != nil {
		s.usages = append(s.usages, *c.Usage)
	}
	for _, choice := range c.Choices {
		s.text += choice.Content()
		if choice.FinishReason != nil {
			s.finish = append(s.finish, *choice.FinishReason)
		}
	}
}

// completionBody returns the body of a completion request.
func completionBody(prompt string, tokens int, stream bool) []byte {
	GinkgoHelper()
	req := engine.Request{Model: connection.Models[0], Prompt: engine.Text(prompt), MaxTokens: tokens, Stream: stream}
	if stream {
		req.StreamOptions = &engine.StreamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(req)
	Expect(err).NotTo(HaveOccurred())
	return body
}

const account = "halfway-tree"

// abortSome makes n engines abort their next completion after a number of tokens.
func abortSome(n, after int) {
	for _, e := range deployment.Engines() {
		if n--; n < 0 {
			return
		}
		e.AbortAfterTokens(after)
	}
}

// abortAll makes every engine abort its next completion after a number of tokens; zero
// cancels this.
func abortAll(after int) {
	for _, e := range deployment.Engines() {
		e.AbortAfterTokens(after)
	}
}

var _ = Describe("Stream", func() {
	AfterEach(func() { abortAll(0) })

	DescribeTable("resumes on another engine after an interruption",
		func(path string, abortAfter int) {
			const tokens = 40
			prompt := fmt.Sprintf("cut at %d on %s", abortAfter, path)
			body, want := completionBody(prompt, tokens, true), engines.Text(prompt, 0, tokens)
			if path == "/v1/chat/completions" {
				body = bytes.Replace(body, []byte(`"prompt":"`+prompt+`"`), []byte(`"messages":[{"role":"user","content":"`+prompt+`"}]`), 1)
				want = engines.Text("user: "+prompt, 0, tokens)
			}
			abortAll(abortAfter)
			got := readStream(post(connection.CallerURLs[0], path, account, nil, body).Body)
			Expect(got.text).To(Equal(want))
			Expect(got.done).To(BeTrue())
			Expect(got.ids).To(HaveLen(1))
			Expect(got.finish).To(Equal([]string{"length"}))
			Expect(got.usages).To(HaveLen(1))
			Expect(got.usages[0].CompletionTokens).To(Equal(tokens))
			Expect(got.usages[0].TotalTokens).To(Equal(tokens + got.usages[0].PromptTokens))
		},
		Entry("after the first token, once on every engine", "/v1/completions", 1),
		Entry("in the middle", "/v1/completions", 13),
		Entry("after the last token", "/v1/completions", 40),
		Entry("chat, in the middle", "/v1/chat/completions", 13),
	)

	It("is generated again without streaming after an interruption, with the usage of the last attempt", func() {
		abortSome(2, 7) // of three attempts
		res := post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody("whole", 24, false))
		var chunk engine.Chunk
		Expect(json.NewDecoder(res.Body).Decode(&chunk)).To(Succeed())
		Expect(chunk.Choices[0].Text).To(Equal(engines.Text("whole", 0, 24)))
		Expect(*chunk.Choices[0].FinishReason).To(Equal("length"))
		Expect(chunk.Usage.CompletionTokens).To(Equal(24))
	})

	It("ends with an error event when a continuation cannot express the response", func() {
		abortAll(5)
		body := bytes.Replace(completionBody("two", 24, true), []byte(`{`), []byte(`{"n":2,`), 1)
		got := readStream(post(connection.CallerURLs[0], "/v1/completions", account, nil, body).Body)
		Expect(got.done).To(BeFalse())
		Expect(got.failure).To(Equal("target_failed"))
	})

	It("ends with an error event at the caller's deadline", func() {
		header := http.Header{engine.TimeoutHeader: {"150ms"}}
		got := readStream(post(connection.CallerURLs[0], "/v1/completions", account, header, completionBody("slow", 4000, true)).Body)
		Expect(got.done).To(BeFalse())
		Expect(got.failure).To(Equal("deadline_exceeded"))
		Expect(strings.HasPrefix(engines.Text("slow", 0, 4000), got.text)).To(BeTrue())
	})

	It("sends the remaining time to the engine", func() {
		header := http.Header{engine.TimeoutHeader: {"7.5"}}
		post(connection.CallerURLs[0], "/v1/completions", account, header, completionBody("remaining time", 1, false))
		var remaining time.Duration
		for _, e := range deployment.Engines() {
			for _, received := range e.ReceivedRequests() {
				if strings.Contains(received.Body, "remaining time") {
					var err error
					remaining, err = time.ParseDuration(http.Header(received.Header).Get(engine.TimeoutHeader))
					Expect(err).NotTo(HaveOccurred())
				}
			}
		}
		Expect(remaining).To(And(BeNumerically(">", 0), BeNumerically("<=", 7500*time.Millisecond)))
	})

	It("gives each of many callers its own complete response while engines abort streams", func() {
		const callers, tokens = 96, 30
		stop := make(chan struct{})
		var aborting, calling sync.WaitGroup
		aborting.Go(func() {
			for n := 1; ; n = n%tokens + 1 {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					abortAll(n)
				}
			}
		})
		for i := range callers {
			calling.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("caller %d", i)
				stream := i%3 != 0
				res := post(connection.CallerURLs[i%len(connection.CallerURLs)], "/v1/completions", account, nil, completionBody(prompt, tokens, stream))
				want := engines.Text(prompt, 0, tokens)
				if stream {
					got := readStream(res.Body)
					Expect(got.failure).To(BeEmpty())
					Expect(got.done).To(BeTrue())
					Expect(got.text).To(Equal(want))
					return
				}
				data, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				if res.StatusCode != http.StatusOK {
					Expect(res.Header.Get("X-Amaranth-Outcome")).To(Equal("unknown"), string(data))
					return
				}
				Expect(string(data)).To(ContainSubstring(want))
			})
		}
		calling.Wait()
		close(stop)
		aborting.Wait()
	})

	It("cancels the generation when the caller disconnects", func() {
		res := post(connection.CallerURLs[0], "/v1/completions", account, nil, completionBody("gone", 100000, true))
		_, err := engine.NewEventReader(res.Body).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Eventually(func() int {
			n := 0
			for _, e := range deployment.Engines() {
				n += e.Running()
			}
			return n
		}).WithTimeout(20 * time.Second).Should(BeZero())
	})
})
