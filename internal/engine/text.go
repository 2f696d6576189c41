package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Text is the text of a prompt or of a message's content, used to estimate tokens and
// to match prompt prefixes. The API allows a string, a list of strings or token ids,
// and a list of typed parts. Typed parts without text, such as images, contribute
// nothing.
type Text string

// textPart is a typed part of a list; only its text is read.
type textPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var str string
	if json.Unmarshal(data, &str) == nil {
		*t = Text(str)
		return nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("text is %.20s, want a string or a list", data)
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(partText(part))
	}
	*t = Text(b.String())
	return nil
}

// partText returns the text of a string or of a typed part. Any other part, such as a
// token id, is returned as its JSON and a space, so that it counts as a word.
func partText(part json.RawMessage) string {
	var text string
	if json.Unmarshal(part, &text) == nil {
		return text
	}
	var typed textPart
	if json.Unmarshal(part, &typed) == nil {
		return typed.Text
	}
	return string(part) + " "
}
