package caller

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// deliveredStream is what of a streamed answer has gone to the caller, so that another
// engine can go on from there. The events of a stream differ in little but their
// text, so most are recognised by what surrounds it and not parsed.
type deliveredStream struct {
	eventTemplate template
	escaped       []byte // text, as the inside of a JSON string
	tokens        int

	id           string // of the first event; every event carries it
	created      json.RawMessage
	finished     bool // the finish reason has been delivered
	notResumable bool // holds something that a continuation cannot carry

	resumedAt   int         // tokens before the running attempt
	resumed     bool        // the running attempt continues another engine's answer
	engineID    string      // id of the stream at the engine that runs it
	afterFinish bool        // it only has to supply what follows the finish reason
	kvSource    *kvLocation // where the KV cache can be had; nil: nowhere
}

// streamEvent is the part of an event that a continuation needs.
type streamEvent struct {
	ID      string          `json:"id"`
	Created json.RawMessage `json:"created"`
	Choices []streamChoice  `json:"choices"`
	Usage   *engine.Usage   `json:"usage"`
}

type streamChoice struct {
	Index int             `json:"index"`
	Text  json.RawMessage `json:"text"`
	Delta struct {
		Content   json.RawMessage `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// content returns the choice's text as a JSON string, or nil.
func (c *streamChoice) content() json.RawMessage {
	for _, raw := range []json.RawMessage{c.Text, c.Delta.Content} {
		if len(raw) > 2 && raw[0] == '"' {
			return raw
		}
	}
	return nil
}

// add notes an event that has been written to the caller.
func (h *deliveredStream) add(payload []byte) {
	if text, ok := h.eventTemplate.cut(payload); ok {
		h.append(text)
		return
	}
	var ev streamEvent
	if err := json.Unmarshal(payload, &ev); err != nil {
		h.notResumable = true
		return
	}
	if h.id == "" {
		h.id, h.engineID, h.created = ev.ID, ev.ID, ev.Created
	}
	for i := range ev.Choices {
		h.addChoice(&ev.Choices[i])
	}
	h.eventTemplate = templateOf(payload, &ev)
}

func (h *deliveredStream) addChoice(c *streamChoice) {
	if raw := c.content(); raw != nil {
		h.append(raw[1 : len(raw)-1])
	}
	h.finished = h.finished || c.FinishReason != nil
	h.notResumable = h.notResumable || c.Index != 0 || len(c.Delta.ToolCalls) > 0
}

func (h *deliveredStream) append(text []byte) {
	if len(text) == 0 {
		return
	}
	h.escaped = append(h.escaped, text...)
	h.tokens++
}

// text returns what the caller has.
func (h *deliveredStream) text() (string, error) {
	var out string
	quoted := append(append([]byte{'"'}, h.escaped...), '"')
	if err := json.Unmarshal(quoted, &out); err != nil {
		return "", fmt.Errorf("text of the stream: %w", err)
	}
	return out, nil
}

// template is an event of one token without the token's text. The zero value
// fits no event.
type template struct{ before, after []byte }

// templateOf returns the template of an event, or none if the event holds more
// than one choice's text.
func templateOf(payload []byte, ev *streamEvent) template {
	if len(ev.Choices) != 1 || ev.Choices[0].FinishReason != nil || ev.Usage != nil {
		return template{}
	}
	c := &ev.Choices[0]
	raw := c.content()
	if raw == nil || c.Index != 0 || len(c.Delta.ToolCalls) > 0 || bytes.Count(payload, raw) != 1 {
		return template{}
	}
	at := bytes.Index(payload, raw)
	return template{
		before: bytes.Clone(payload[:at+1]),
		after:  bytes.Clone(payload[at+len(raw)-1:]),
	}
}

// cut returns the text of an event that differs from the template in its text
// only.
func (t *template) cut(payload []byte) ([]byte, bool) {
	if len(t.before) == 0 || len(payload) < len(t.before)+len(t.after) {
		return nil, false
	}
	text := payload[len(t.before) : len(payload)-len(t.after)]
	if !bytes.HasPrefix(payload, t.before) || !bytes.HasSuffix(payload, t.after) || !insideString(text) {
		return nil, false
	}
	return text, true
}

// insideString reports whether b cannot end the JSON string that it stands in.
func insideString(b []byte) bool {
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			return false
		case '\\':
			if i++; i == len(b) {
				return false
			}
		}
	}
	return true
}

// resume prepares for another engine's attempt and returns its request body.
func (h *deliveredStream) resume(body []byte, kv string) ([]byte, error) {
	h.resumedAt = h.tokens
	h.resumed = h.id != ""
	h.afterFinish = h.finished
	if h.tokens == 0 {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	text, err := h.text()
	if err != nil {
		return nil, err
	}
	next, err := json.Marshal(engine.Continuation{Text: text, Tokens: h.tokens, KV: kv})
	if err != nil {
		return nil, fmt.Errorf("continuation: %w", err)
	}
	fields["amaranth_continue"] = next
	return json.Marshal(fields)
}

// rewriteEvent rewrites an event of a later engine as one of the first engine's
// stream: its id, its time, and usage over the whole answer. It returns nil for
// an event that the caller must not get.
func (h *deliveredStream) rewriteEvent(payload []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	var ev streamEvent
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	if err := json.Unmarshal(payload, &ev); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	h.engineID = ev.ID
	if h.afterFinish && len(ev.Choices) > 0 {
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
func (h *deliveredStream) wholeUsage(u engine.Usage) engine.Usage {
	u.CompletionTokens += h.resumedAt
	if h.afterFinish {
		u.CompletionTokens = h.resumedAt
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
