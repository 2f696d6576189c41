package caller

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// maxUnparsed bounds the events, in bytes, that a history keeps as they came.
const maxUnparsed = 16 << 10

// history is what of a streamed answer has gone to the caller, so that another
// engine can go on from there. Events are parsed in batches, off the path of
// the single token.
type history struct {
	unparsed []byte // payloads, each ended by a newline

	id       string // of the first event; every event carries it
	created  json.RawMessage
	text     []byte
	tokens   int
	finished bool // the finish reason has been delivered
	opaque   bool // holds something that a continuation cannot carry

	resumedAt int  // tokens before the running attempt
	resumed   bool // the running attempt continues another engine's answer
	tail      bool // it only has to supply what follows the finish reason
}

// streamEvent is the part of an event that a continuation needs.
type streamEvent struct {
	ID      string          `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// add notes an event that has been written to the caller.
func (h *history) add(payload []byte) {
	if len(h.unparsed)+len(payload) > maxUnparsed {
		h.parse()
	}
	h.unparsed = append(append(h.unparsed, payload...), '\n')
}

// parse brings text and tokens up to date.
func (h *history) parse() {
	for line := range bytes.Lines(h.unparsed) {
		var ev streamEvent
		if err := json.Unmarshal(line, &ev); err != nil {
			h.opaque = true
			continue
		}
		h.note(&ev)
	}
	h.unparsed = h.unparsed[:0]
}

func (h *history) note(ev *streamEvent) {
	if h.id == "" {
		h.id, h.created = ev.ID, ev.Created
	}
	for i := range ev.Choices {
		c := &ev.Choices[i]
		content := c.Text + c.Delta.Content
		if content != "" {
			h.tokens++
			h.text = append(h.text, content...)
		}
		h.finished = h.finished || c.FinishReason != nil
		h.opaque = h.opaque || c.Index != 0 || len(c.Delta.ToolCalls) > 0
	}
}

// resume prepares for another engine's attempt and returns its request body.
func (h *history) resume(body []byte) ([]byte, error) {
	h.parse()
	h.resumedAt = h.tokens
	h.resumed = h.id != ""
	h.tail = h.finished
	if h.tokens == 0 {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	next, err := json.Marshal(engine.Continuation{Text: string(h.text), Tokens: h.tokens})
	if err != nil {
		return nil, fmt.Errorf("continuation: %w", err)
	}
	fields["amaranth_continue"] = next
	return json.Marshal(fields)
}

// adopt rewrites an event of a later engine as one of the first engine's
// stream: its id, its time, and usage over the whole answer. It returns nil for
// an event that the caller must not get.
func (h *history) adopt(payload []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	var ev streamEvent
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	if err := json.Unmarshal(payload, &ev); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	if h.tail && len(ev.Choices) > 0 {
		return nil, nil
	}
	id, err := json.Marshal(h.id)
	if err != nil {
		return nil, fmt.Errorf("id of the stream: %w", err)
	}
	fields["id"] = id
	if len(h.created) > 0 {
		fields["created"] = h.created
	}
	if ev.Usage != nil {
		if fields["usage"], err = json.Marshal(h.wholeUsage(*ev.Usage)); err != nil {
			return nil, fmt.Errorf("usage of the stream: %w", err)
		}
	}
	return json.Marshal(fields)
}

// wholeUsage adds what earlier engines generated.
func (h *history) wholeUsage(u engine.Usage) engine.Usage {
	u.CompletionTokens += h.resumedAt
	if h.tail {
		u.CompletionTokens = h.resumedAt
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
