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

// post sends a request with the account's key.
func post(entry, path, account string, header http.Header, body []byte) *http.Response {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, entry+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		req.Header[name] = values
	}
	for _, a := range announce.Accounts {
		if a.Name == account {
			req.Header.Set("Authorization", "Bearer "+a.Key)
		}
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(res.Body.Close)
	return res
}

// streamed is a stream as the caller got it.
type streamed struct {
	text    string
	ids     map[string]bool
	usages  []engine.Usage
	finish  []string
	failure string // code of an error event
	done    bool
}

// failureCode finds the code of an error event.
var failureCode = regexp.MustCompile(`"code":"([a-z_]*)"`)

func readStream(r io.Reader) streamed {
	GinkgoHelper()
	got := streamed{ids: map[string]bool{}}
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
		got.note(&chunk)
	}
}

func (s *streamed) note(c *engine.Chunk) {
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

func completion(prompt string, tokens int, stream bool) []byte {
	GinkgoHelper()
	req := engine.Request{Model: announce.Models[0], Prompt: engine.Text(prompt), MaxTokens: tokens, Stream: stream}
	if stream {
		req.StreamOptions = &engine.StreamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(req)
	Expect(err).NotTo(HaveOccurred())
	return body
}

const account = "halfway-tree"

// cutSome cuts the next completion of n engines.
func cutSome(n, after int) {
	for _, e := range box.Engines() {
		if n--; n < 0 {
			return
		}
		e.AbortAfterTokens(after)
	}
}

func cutAll(after int) {
	for _, e := range box.Engines() {
		e.AbortAfterTokens(after)
	}
}

var _ = Describe("Stream", func() {
	AfterEach(func() { cutAll(0) })

	DescribeTable("goes on at another engine after a cut",
		func(path string, cuts int) {
			const tokens = 40
			prompt := fmt.Sprintf("cut at %d on %s", cuts, path)
			body, want := completion(prompt, tokens, true), engines.Text(prompt, 0, tokens)
			if path == "/v1/chat/completions" {
				body = bytes.Replace(body, []byte(`"prompt":"`+prompt+`"`), []byte(`"messages":[{"role":"user","content":"`+prompt+`"}]`), 1)
				want = engines.Text("user: "+prompt, 0, tokens)
			}
			cutAll(cuts)
			got := readStream(post(announce.CallerURLs[0], path, account, nil, body).Body)
			Expect(got.text).To(Equal(want))
			Expect(got.done).To(BeTrue())
			Expect(got.ids).To(HaveLen(1))
			Expect(got.finish).To(Equal([]string{"length"}))
			Expect(got.usages).To(HaveLen(1))
			Expect(got.usages[0].CompletionTokens).To(Equal(tokens))
			Expect(got.usages[0].TotalTokens).To(Equal(tokens + got.usages[0].PromptTokens))
		},
		Entry("first token, every engine once", "/v1/completions", 1),
		Entry("in the middle", "/v1/completions", 13),
		Entry("last token", "/v1/completions", 40),
		Entry("chat, in the middle", "/v1/chat/completions", 13),
	)

	It("is answered whole without stream after a cut, with its own usage", func() {
		cutSome(2, 7) // of three attempts
		res := post(announce.CallerURLs[0], "/v1/completions", account, nil, completion("whole", 24, false))
		var chunk engine.Chunk
		Expect(json.NewDecoder(res.Body).Decode(&chunk)).To(Succeed())
		Expect(chunk.Choices[0].Text).To(Equal(engines.Text("whole", 0, 24)))
		Expect(*chunk.Choices[0].FinishReason).To(Equal("length"))
		Expect(chunk.Usage.CompletionTokens).To(Equal(24))
	})

	It("ends with a typed error when a continuation cannot carry the answer", func() {
		cutAll(5)
		body := bytes.Replace(completion("two", 24, true), []byte(`{`), []byte(`{"n":2,`), 1)
		got := readStream(post(announce.CallerURLs[0], "/v1/completions", account, nil, body).Body)
		Expect(got.done).To(BeFalse())
		Expect(got.failure).To(Equal("target_failed"))
	})

	It("ends with a typed error at the caller's deadline", func() {
		header := http.Header{engine.TimeoutHeader: {"150ms"}}
		got := readStream(post(announce.CallerURLs[0], "/v1/completions", account, header, completion("slow", 4000, true)).Body)
		Expect(got.done).To(BeFalse())
		Expect(got.failure).To(Equal("deadline_exceeded"))
		Expect(strings.HasPrefix(engines.Text("slow", 0, 4000), got.text)).To(BeTrue())
	})

	It("passes the remaining time on to the engine", func() {
		header := http.Header{engine.TimeoutHeader: {"7.5"}}
		post(announce.CallerURLs[0], "/v1/completions", account, header, completion("remaining time", 1, false))
		var left time.Duration
		for _, e := range box.Engines() {
			for _, seen := range e.ReceivedRequests() {
				if strings.Contains(seen.Body, "remaining time") {
					var err error
					left, err = time.ParseDuration(http.Header(seen.Header).Get(engine.TimeoutHeader))
					Expect(err).NotTo(HaveOccurred())
				}
			}
		}
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 7500*time.Millisecond)))
	})

	It("gives every one of many callers its own whole answer over cut connections", func() {
		const callers, tokens = 96, 30
		stop := make(chan struct{})
		var cutting, calling sync.WaitGroup
		cutting.Go(func() {
			for n := 1; ; n = n%tokens + 1 {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					cutAll(n)
				}
			}
		})
		for i := range callers {
			calling.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("caller %d", i)
				stream := i%3 != 0
				res := post(announce.CallerURLs[i%len(announce.CallerURLs)], "/v1/completions", account, nil, completion(prompt, tokens, stream))
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
		cutting.Wait()
	})

	It("cancels the generation when the caller goes", func() {
		res := post(announce.CallerURLs[0], "/v1/completions", account, nil, completion("gone", 100000, true))
		_, err := engine.NewEventReader(res.Body).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Eventually(func() int {
			n := 0
			for _, e := range box.Engines() {
				n += e.Running()
			}
			return n
		}).WithTimeout(20 * time.Second).Should(BeZero())
	})
})
