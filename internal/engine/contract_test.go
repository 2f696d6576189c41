package engine_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	standins "github.com/amaranthfold/amaranthfold/internal/standin/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin/weights"
)

// fixture is an engine stand-in and a client that calls it.
type fixture struct {
	*GomegaWithT
	engine *standins.Engine
	client *engine.Client
	base   string
}

func newFixture(t *testing.T, cfg standins.Config) *fixture {
	cfg.Model, cfg.StepTime, cfg.CacheBlocks = "m", 100*time.Microsecond, 64
	if cfg.Version == 0 {
		cfg.Version = 1
	}
	e := standins.New(cfg)
	server, err := standin.Serve(e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Stop(); server.Close() })
	return &fixture{NewWithT(t), e, engine.NewClient(), server.URL}
}

// stream sends a streamed completion and returns its text, the weight version of each
// token and the error that ended the stream.
func (f *fixture) stream(t *testing.T, req engine.Request) (text string, versions []int64, end error) {
	req.Model, req.Stream = "m", true
	body, err := json.Marshal(req)
	f.Expect(err).NotTo(HaveOccurred())
	s, err := f.client.Open(t.Context(), f.base, "/v1/completions", body)
	f.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	for {
		payload, err := s.Next()
		if err != nil {
			return text, versions, err
		}
		var c engine.Chunk
		f.Expect(json.Unmarshal(payload, &c)).To(Succeed())
		if len(c.Choices) > 0 && c.Choices[0].Content() != "" {
			text += c.Choices[0].Content()
			versions = append(versions, c.Version)
		}
	}
}

func TestEngineContract(t *testing.T) {
	for name, c := range map[string]struct {
		cfg   standins.Config
		check func(t *testing.T, f *fixture)
	}{
		"a stream ends with the end marker and has the version of each token": {check: func(t *testing.T, f *fixture) {
			text, versions, end := f.stream(t, engine.Request{Prompt: "p", MaxTokens: 5})
			f.Expect(end).To(MatchError(io.EOF))
			f.Expect(text).To(Equal(standins.Text("p", 0, 5)))
			f.Expect(versions).To(Equal([]int64{1, 1, 1, 1, 1}))
		}},
		"a continuation returns the tokens after those already delivered": {check: func(t *testing.T, f *fixture) {
			full := standins.Text("p", 7, 9)
			first := strings.Join(strings.SplitAfter(full, " ")[:4], "")
			text, _, end := f.stream(t, engine.Request{Prompt: "p", Seed: 7, MaxTokens: 9, Continue: &engine.Continuation{Text: first, Tokens: 4}})
			f.Expect(end).To(MatchError(io.EOF))
			f.Expect(first + text).To(Equal(full))
		}},
		"a truncated stream returns ErrTruncated with an unknown outcome": {check: func(t *testing.T, f *fixture) {
			f.engine.AbortAfterTokens(3)
			_, versions, end := f.stream(t, engine.Request{Prompt: "p", MaxTokens: 9})
			f.Expect(versions).To(HaveLen(3))
			f.Expect(end).To(MatchError(engine.ErrTruncated))
			var attempt *engine.AttemptError
			f.Expect(errors.As(end, &attempt)).To(BeTrue())
			f.Expect(attempt.Outcome).To(Equal(retry.Unknown))
		}},
		"closing a stream cancels its generation": {check: func(t *testing.T, f *fixture) {
			s, err := f.client.Open(t.Context(), f.base, "/v1/completions", []byte(`{"model":"m","prompt":"p","max_tokens":1000000,"stream":true}`))
			f.Expect(err).NotTo(HaveOccurred())
			s.Close()
			f.Eventually(f.engine.Running, "30s").Should(BeZero())
		}},
		"a weight swap changes the version of later tokens": {check: func(t *testing.T, f *fixture) {
			f.Expect(f.client.SendOrder(t.Context(), f.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2})).To(Succeed())
			_, versions, _ := f.stream(t, engine.Request{Prompt: "p", MaxTokens: 2})
			f.Expect(versions).To(Equal([]int64{2, 2}))
		}},
		"a weight swap that fails half way leaves the version unknown": {check: func(t *testing.T, f *fixture) {
			f.engine.FailWeightSwaps(1, true)
			err := f.client.SendOrder(t.Context(), f.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2})
			f.Expect(err).To(MatchError(ContainSubstring("weight swap failed")))
			f.Expect(f.engine.Version()).To(BeZero())
		}},
		"an engine that checks fencing numbers rejects an older one": {cfg: standins.Config{ChecksFencing: true}, check: func(t *testing.T, f *fixture) {
			order := func(version, fencing int64) error {
				return f.client.SendOrder(t.Context(), f.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: version, Fencing: fencing})
			}
			f.Expect(order(2, 9)).To(Succeed())
			f.Expect(order(3, 8)).To(MatchError(engine.ErrFenced))
			f.Expect(f.engine.Version()).To(Equal(int64(2)))
		}},
		"an engine that ignores fencing numbers executes an order with an older one": {check: func(t *testing.T, f *fixture) {
			for i, fencing := range []int64{9, 8} {
				order := engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: int64(2 + i), Fencing: fencing}
				f.Expect(f.client.SendOrder(t.Context(), f.base, order)).To(Succeed())
			}
			f.Expect(f.engine.Version()).To(Equal(int64(3)))
		}},
		"an order is not executed after its NotAfter time": {check: func(t *testing.T, f *fixture) {
			expired := engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2, NotAfter: time.Now().Add(-time.Hour)}
			f.Expect(f.client.SendOrder(t.Context(), f.base, expired)).NotTo(Succeed())
			f.Expect(f.engine.Version()).To(Equal(int64(1)))
		}},
		"load reports contain Leaving, and cache events arrive late": {check: func(t *testing.T, f *fixture) {
			f.engine.SetLeaving()
			f.Eventually(func() (engine.LoadReport, error) { return f.client.Load(t.Context(), f.base) }, "30s").Should(HaveField("Leaving", true))
			prompt := strings.Repeat("word ", 160) // ten blocks
			_, _, end := f.stream(t, engine.Request{Prompt: engine.Text(prompt), MaxTokens: 1})
			f.Expect(end).To(MatchError(io.EOF))
			events, err := f.client.Events(t.Context(), f.base, 0)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(len(events.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", 10)))
		}},
		"a stopped engine refuses requests with status 503": {check: func(t *testing.T, f *fixture) {
			f.engine.Stop()
			_, err := f.client.Open(t.Context(), f.base, "/v1/completions", []byte(`{"model":"m","prompt":"p"}`))
			var attempt *engine.AttemptError
			f.Expect(errors.As(err, &attempt)).To(BeTrue())
			f.Expect(attempt.Status).To(Equal(http.StatusServiceUnavailable))
		}},
	} {
		t.Run(name, func(t *testing.T) { c.check(t, newFixture(t, c.cfg)) })
	}
}

func TestWeightStoreServesOnlyVersionsThatExist(t *testing.T) {
	g := NewWithT(t)
	store := weights.New(10_000, 1e9)
	server, err := standin.Serve(store.Handler())
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	store.Publish("m", 3)
	g.Expect(weights.Fetch(http.DefaultClient, server.URL, "m", 3)).To(Succeed())
	g.Expect(weights.Fetch(http.DefaultClient, server.URL, "m", 4)).NotTo(Succeed())
}
