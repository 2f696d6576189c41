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

// bench is an engine stand-in with the project's client.
type bench struct {
	*GomegaWithT
	engine *standins.Engine
	client *engine.Client
	base   string
}

func newBench(t *testing.T, cfg standins.Config) *bench {
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
	return &bench{NewWithT(t), e, engine.NewClient(), server.URL}
}

// stream returns the text, the versions named and the error that ended it.
func (b *bench) stream(t *testing.T, req engine.Request) (text string, versions []int64, end error) {
	req.Model, req.Stream = "m", true
	body, err := json.Marshal(req)
	b.Expect(err).NotTo(HaveOccurred())
	s, err := b.client.Open(t.Context(), b.base, "/v1/completions", body)
	b.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	for {
		payload, err := s.Next()
		if err != nil {
			return text, versions, err
		}
		var c engine.Chunk
		b.Expect(json.Unmarshal(payload, &c)).To(Succeed())
		if len(c.Choices) > 0 && c.Choices[0].Content() != "" {
			text += c.Choices[0].Content()
			versions = append(versions, c.Version)
		}
	}
}

func TestEngineContract(t *testing.T) {
	for name, c := range map[string]struct {
		cfg   standins.Config
		check func(t *testing.T, b *bench)
	}{
		"a stream ends with its marker and names the version of each token": {check: func(t *testing.T, b *bench) {
			text, versions, end := b.stream(t, engine.Request{Prompt: "p", MaxTokens: 5})
			b.Expect(end).To(MatchError(io.EOF))
			b.Expect(text).To(Equal(standins.Text("p", 0, 5)))
			b.Expect(versions).To(Equal([]int64{1, 1, 1, 1, 1}))
		}},
		"a continuation yields what follows the tokens delivered": {check: func(t *testing.T, b *bench) {
			whole := standins.Text("p", 7, 9)
			first := strings.Join(strings.SplitAfter(whole, " ")[:4], "")
			text, _, end := b.stream(t, engine.Request{Prompt: "p", Seed: 7, MaxTokens: 9, Continue: &engine.Continuation{Text: first, Tokens: 4}})
			b.Expect(end).To(MatchError(io.EOF))
			b.Expect(first + text).To(Equal(whole))
		}},
		"a cut stream is told from a whole one": {check: func(t *testing.T, b *bench) {
			b.engine.AbortAfterTokens(3)
			_, versions, end := b.stream(t, engine.Request{Prompt: "p", MaxTokens: 9})
			b.Expect(versions).To(HaveLen(3))
			b.Expect(end).To(MatchError(engine.ErrTruncated))
			var attempt *engine.AttemptError
			b.Expect(errors.As(end, &attempt)).To(BeTrue())
			b.Expect(attempt.Outcome).To(Equal(retry.Unknown))
		}},
		"closing a stream cancels its generation": {check: func(t *testing.T, b *bench) {
			s, err := b.client.Open(t.Context(), b.base, "/v1/completions", []byte(`{"model":"m","prompt":"p","max_tokens":1000000,"stream":true}`))
			b.Expect(err).NotTo(HaveOccurred())
			s.Close()
			b.Eventually(b.engine.Running, "30s").Should(BeZero())
		}},
		"a swap changes the version of later tokens": {check: func(t *testing.T, b *bench) {
			b.Expect(b.client.SendOrder(t.Context(), b.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2})).To(Succeed())
			_, versions, _ := b.stream(t, engine.Request{Prompt: "p", MaxTokens: 2})
			b.Expect(versions).To(Equal([]int64{2, 2}))
		}},
		"a swap that fails half way leaves the version unknown": {check: func(t *testing.T, b *bench) {
			b.engine.FailWeightSwaps(1, true)
			err := b.client.SendOrder(t.Context(), b.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2})
			b.Expect(err).To(MatchError(ContainSubstring("weight swap failed")))
			b.Expect(b.engine.Version()).To(BeZero())
		}},
		"an old fencing number is refused where the engine checks it": {cfg: standins.Config{ChecksFencing: true}, check: func(t *testing.T, b *bench) {
			order := func(version, fencing int64) error {
				return b.client.SendOrder(t.Context(), b.base, engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: version, Fencing: fencing})
			}
			b.Expect(order(2, 9)).To(Succeed())
			b.Expect(order(3, 8)).To(MatchError(engine.ErrFenced))
			b.Expect(b.engine.Version()).To(Equal(int64(2)))
		}},
		"an old fencing number is obeyed where the engine ignores it": {check: func(t *testing.T, b *bench) {
			for i, fencing := range []int64{9, 8} {
				order := engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: int64(2 + i), Fencing: fencing}
				b.Expect(b.client.SendOrder(t.Context(), b.base, order)).To(Succeed())
			}
			b.Expect(b.engine.Version()).To(Equal(int64(3)))
		}},
		"an order after its time is not carried out": {check: func(t *testing.T, b *bench) {
			late := engine.Order{ID: "o", Kind: engine.LoadWeights, Model: "m", Version: 2, NotAfter: time.Now().Add(-time.Hour)}
			b.Expect(b.client.SendOrder(t.Context(), b.base, late)).NotTo(Succeed())
			b.Expect(b.engine.Version()).To(Equal(int64(1)))
		}},
		"load reports tell of leaving, and cache events come late": {check: func(t *testing.T, b *bench) {
			b.engine.SetLeaving()
			b.Eventually(func() (engine.LoadReport, error) { return b.client.Load(t.Context(), b.base) }, "30s").Should(HaveField("Leaving", true))
			prompt := strings.Repeat("word ", 160) // ten blocks
			_, _, end := b.stream(t, engine.Request{Prompt: engine.Text(prompt), MaxTokens: 1})
			b.Expect(end).To(MatchError(io.EOF))
			events, err := b.client.Events(t.Context(), b.base, 0)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(len(events.Events)).To(And(BeNumerically(">", 0), BeNumerically("<", 10)))
		}},
		"a stopping engine admits nothing": {check: func(t *testing.T, b *bench) {
			b.engine.Stop()
			_, err := b.client.Open(t.Context(), b.base, "/v1/completions", []byte(`{"model":"m","prompt":"p"}`))
			var attempt *engine.AttemptError
			b.Expect(errors.As(err, &attempt)).To(BeTrue())
			b.Expect(attempt.Status).To(Equal(http.StatusServiceUnavailable))
		}},
	} {
		t.Run(name, func(t *testing.T) { c.check(t, newBench(t, c.cfg)) })
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
