// Package engine is the client of model engines. It sends completions and reads their
// responses as server-sent events, fetches load reports and cache events, transfers KV
// caches between engines and sends management orders. The contract with the engines is
// in docs/INTERFACES.md.
//
// A failed attempt returns an *AttemptError, whose Outcome states whether the request may
// have had an effect on the engine. Deadlines, retries and the choice of the engine are
// left to the caller.
package engine

import "time"

// LoadReport is an engine's report of its own load, which lags behind the actual load.
type LoadReport struct {
	Model      string `json:"model"`
	Version    int64  `json:"version"` // of the loaded weights; zero: unknown
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	Leaving    bool   `json:"leaving"` // the engine is terminating
	CacheBytes int64  `json:"cacheBytes"`
}

// OrderKind is what a management order changes.
type OrderKind string

// The kinds of management order.
const (
	LoadWeights OrderKind = "weights"
	LoadAdapter OrderKind = "adapter"
	ChangeRole  OrderKind = "role"
)

// Order is a management order to one engine.
type Order struct {
	ID       string    `json:"id"`
	Kind     OrderKind `json:"kind"`
	Model    string    `json:"model"`
	Version  int64     `json:"version,omitempty"`
	Adapter  string    `json:"adapter,omitempty"`
	Role     string    `json:"role,omitempty"`
	Fencing  int64     `json:"fencing"`  // fencing number of the lease
	NotAfter time.Time `json:"notAfter"` // the engine must not execute the order later
}

// CacheEvent reports that a prompt prefix was stored or evicted. Events arrive late and
// with gaps in Seq.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Stored bool   `json:"stored"` // else evicted
	Block  uint64 `json:"block"`  // hash of the prefix up to and including the block
}

// CacheEvents is the body of GET /cache/events.
type CacheEvents struct {
	Next   int64        `json:"next"` // Seq after which the next request continues
	Events []CacheEvent `json:"events"`
}

// Request holds the fields of a completion request that the service reads and writes.
// Unknown fields of a caller's request are forwarded to the engine unchanged.
type Request struct {
	Model               string         `json:"model"`
	Prompt              Text           `json:"prompt,omitempty"`
	Messages            []Message      `json:"messages,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"` // newer name in the chat API
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	Seed                int64          `json:"seed,omitempty"`
	Continue            *Continuation  `json:"amaranth_continue,omitempty"`
}

// TokenLimit returns the request's limit of generated tokens, zero if it has none.
func (r *Request) TokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// StreamOptions requests a usage chunk in the stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Continuation makes an engine resume a stream after the tokens that were already
// delivered.
type Continuation struct {
	Text   string `json:"text"`         // delivered text
	Tokens int    `json:"tokens"`       // number of tokens in Text
	KV     string `json:"kv,omitempty"` // handle of an imported KV cache
}

// Chunk is one server-sent event, or the complete response of a completion that is not
// streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Version int64    `json:"weight_version"` // of the weights
}

// Choice is one alternative of a completion; the service requests one.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`    // completions
	Delta        *Message `json:"delta,omitempty"`   // chat stream
	Message      *Message `json:"message,omitempty"` // complete chat response
	FinishReason *string  `json:"finish_reason"`
}

// Content returns the choice's text, from the chat delta, the chat message or the
// completion.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return string(c.Delta.Content)
	case c.Message != nil:
		return string(c.Message.Content)
	default:
		return c.Text
	}
}

// Usage holds the numbers of tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
