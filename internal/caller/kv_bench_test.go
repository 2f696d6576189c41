package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	engines "github.com/amaranthfold/amaranthfold/internal/standin/engine"
)

// BenchmarkMoveKV compares the time until the next token of a moved stream with an import
// of its KV cache and without (ms-anew), at 20 µs of prefill and 4 µs of transfer per
// token.
func BenchmarkMoveKV(b *testing.B) {
	e := engines.New(engines.Config{StepTime: 100 * time.Microsecond, PrefillPerToken: 20 * time.Microsecond, TransferPerToken: 4 * time.Microsecond})
	defer e.Stop()
	server, err := standin.Serve(e.Handler())
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client := engine.NewClient()
	for _, tokens := range []int{16, 64, 256, 1024, 4096, 16384} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			var recomputed, imported time.Duration
			for b.Loop() {
				recomputed += timeToFirstToken(b, client, server.URL, tokens, false)
				imported += timeToFirstToken(b, client, server.URL, tokens, true)
			}
			b.ReportMetric(float64(recomputed.Microseconds())/1e3/float64(b.N), "ms-anew")
			b.ReportMetric(float64(imported.Microseconds())/1e3/float64(b.N), "ms-imported")
			b.ReportMetric(float64(imported)/float64(recomputed), "imported/anew")
		})
	}
}

// timeToFirstToken returns the time until the first token of a continuation, including
// the import of the KV cache if withKV is set.
func timeToFirstToken(b *testing.B, c *engine.Client, url string, tokens int, withKV bool) time.Duration {
	b.Helper()
	start := time.Now()
	next := &engine.Continuation{Text: strings.Repeat("w ", tokens), Tokens: tokens}
	if withKV {
		cache, err := c.Import(b.Context(), url, url, engine.KVCache{Handle: "x", Tokens: tokens})
		if err != nil {
			b.Fatal(err)
		}
		next.KV = cache.Handle
	}
	body, err := json.Marshal(engine.Request{Prompt: "p", MaxTokens: tokens + 1, Stream: true, Continue: next})
	if err != nil {
		b.Fatal(err)
	}
	stream, err := c.Open(b.Context(), url, "/v1/completions", body)
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		b.Fatal(err)
	}
	return time.Since(start)
}
