package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// deliveredStream is the part of a streamed response that was written to the caller.
// Another engine can resume the stream from it. Most events of a stream differ only in
// their text, so they are matched against a template instead of being parsed.
type deliveredStream struct {
	template eventTemplate
	escaped  []byte // delivered text, escaped as in a JSON string, without the quotes
	tokens   int

	id           string // of the first event; all delivered events have it
	created      json.RawMessage
	finished     bool // the finish reason has been delivered
	notResumable bool // contains something that a continuation cannot express

	resumedTokens  int         // tokens delivered before the current attempt
	resumed        bool        // the current attempt continues another engine's response
	engineStreamID string      // id of the stream at the engine of the current attempt; empty: it has sent no event
	version        int64       // weights of the current attempt's events and imported KV cache, zero: unknown
	mixedVersions  bool        // the current attempt has events of several versions
	afterFinish    bool        // the current attempt began after the finish reason: only the usage event is missing
	kvSource       *kvLocation // where the KV cache was exported; nil: not exported
}

// streamEvent holds the fields of an event that a continuation needs.
type streamEvent struct {
	ID      string          `json:"id"`
	Created json.RawMessage `json:"created"`
	Version int64           `json:"weight_version"`
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

// content returns the choice's text as a JSON string, or nil if it has none.
func (c *streamChoice) content() json.RawMessage {
	for _, raw := range []json.RawMessage{c.Text, c.Delta.Content} {
		if len(raw) > 2 && raw[0] == '"' {
			return raw
		}
	}
	return nil
}

// errNoChunk is the error of an event that is no part of a completion, such as an error message.
var errNoChunk = errors.New("event has neither choices nor usage")

// add records an event that is written to the caller. It fails if the event must not be written.
func (d *deliveredStream) add(payload []byte) error {
	if text, ok := d.template.match(payload); ok {
		d.append(text)
		return nil
	}
	var ev streamEvent
	if err := json.Unmarshal(payload, &ev); err != nil {
		return fmt.Errorf("engine event: %w", err)
	}
	if ev.Choices == nil && ev.Usage == nil {
		return errNoChunk
	}
	if d.id == "" {
		d.id, d.engineStreamID, d.created = ev.ID, ev.ID, ev.Created
	}
	for i := range ev.Choices {
		d.mixedVersions = d.mixedVersions || ev.Version == 0 || d.version != 0 && d.version != ev.Version
		d.version = ev.Version
		d.addChoice(&ev.Choices[i])
	}
	d.template = newEventTemplate(payload, &ev)
	return nil
}

func (d *deliveredStream) addChoice(c *streamChoice) {
	if raw := c.content(); raw != nil {
		d.append(raw[1 : len(raw)-1])
	}
	d.finished = d.finished || c.FinishReason != nil
	d.notResumable = d.notResumable || c.Index != 0 || len(c.Delta.ToolCalls) > 0
}

// append adds the text of one token, without quotes. Empty text is not a token.
func (d *deliveredStream) append(text []byte) {
	if len(text) == 0 {
		return
	}
	d.escaped = append(d.escaped, text...)
	d.tokens++
}

// text returns the delivered text.
func (d *deliveredStream) text() (string, error) {
	var out string
	quoted := append(append([]byte{'"'}, d.escaped...), '"')
	if err := json.Unmarshal(quoted, &out); err != nil {
		return "", fmt.Errorf("text of the stream: %w", err)
	}
	return out, nil
}

// eventTemplate holds the bytes of an event before and after the text of its one token.
// The zero value matches no event.
type eventTemplate struct{ prefix, suffix []byte }

// newEventTemplate returns the template of an event, or the zero value if the event
// contains more than the text of one choice.
func newEventTemplate(payload []byte, ev *streamEvent) eventTemplate {
	if len(ev.Choices) != 1 || ev.Choices[0].FinishReason != nil || ev.Usage != nil {
		return eventTemplate{}
	}
	c := &ev.Choices[0]
	raw := c.content()
	if raw == nil || c.Index != 0 || len(c.Delta.ToolCalls) > 0 || bytes.Count(payload, raw) != 1 {
		return eventTemplate{}
	}
	start := bytes.Index(payload, raw)
	return eventTemplate{
		prefix: bytes.Clone(payload[:start+1]),
		suffix: bytes.Clone(payload[start+len(raw)-1:]),
	}
}

// match returns the text of an event, escaped as in a JSON string, without the quotes. It
// returns false if the event differs from the template in more than its text.
func (t *eventTemplate) match(payload []byte) ([]byte, bool) {
	if len(t.prefix) == 0 || len(payload) < len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	text := payload[len(t.prefix) : len(payload)-len(t.suffix)]
	if !bytes.HasPrefix(payload, t.prefix) || !bytes.HasSuffix(payload, t.suffix) || !isStringContent(text) {
		return nil, false
	}
	return text, true
}

// isStringContent reports whether b can be the content of a JSON string: it contains no
// unescaped quote and does not end with an unescaped backslash.
func isStringContent(b []byte) bool {
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

// kvOrigin returns the id of the current attempt's stream at its engine and the version of the weights
// that made all of its events and so its KV cache. It returns "" if there is no such stream or version.
func (d *deliveredStream) kvOrigin() (stream string, version int64) {
	if d.engineStreamID == "" || d.mixedVersions {
		return "", 0
	}
	return d.engineStreamID, d.version
}

// prepareAttempt prepares for the next attempt and returns its request body, which
// contains a continuation if tokens have been delivered. kv is the handle of an imported
// KV cache, or empty.
func (d *deliveredStream) prepareAttempt(body []byte, kv string) ([]byte, error) {
	d.resumedTokens = d.tokens
	d.resumed = d.id != ""
	d.afterFinish = d.finished
	d.engineStreamID, d.version, d.mixedVersions = "", 0, false
	if kv != "" && d.kvSource != nil {
		d.version = d.kvSource.version // the engine may have loaded others since it was chosen
	}
	if d.tokens == 0 {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	text, err := d.text()
	if err != nil {
		return nil, err
	}
	continuation, err := json.Marshal(engine.Continuation{Text: text, Tokens: d.tokens, KV: kv})
	if err != nil {
		return nil, fmt.Errorf("continuation: %w", err)
	}
	fields["amaranth_continue"] = continuation
	return json.Marshal(fields)
}

// rewriteEvent rewrites an event of a later engine as one of the first engine's stream:
// it sets the stream's id and creation time, and the usage of the complete response. It
// returns nil for an event that must not be written to the caller.
func (d *deliveredStream) rewriteEvent(payload []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	var ev streamEvent
	if err := json.Unmarshal(payload, &fields); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	if err := json.Unmarshal(payload, &ev); err != nil {
		return nil, fmt.Errorf("engine event: %w", err)
	}
	d.engineStreamID = ev.ID
	if d.afterFinish && len(ev.Choices) > 0 {
		return nil, nil
	}
	id, err := json.Marshal(d.id)
	if err != nil {
		return nil, fmt.Errorf("id of the stream: %w", err)
	}
	fields["id"] = id
	if len(d.created) > 0 {
		fields["created"] = d.created
	}
	if ev.Usage != nil {
		if fields["usage"], err = json.Marshal(d.totalUsage(*ev.Usage)); err != nil {
			return nil, fmt.Errorf("usage of the stream: %w", err)
		}
	}
	return json.Marshal(fields)
}

// totalUsage returns the usage with the tokens that earlier engines generated. After the
// finish reason only these count.
func (d *deliveredStream) totalUsage(u engine.Usage) engine.Usage {
	u.CompletionTokens += d.resumedTokens
	if d.afterFinish {
		u.CompletionTokens = d.resumedTokens
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}
