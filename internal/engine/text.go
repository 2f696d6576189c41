package engine

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Text is a prompt or a message's content. The API allows a string, a list of
// strings or tokens, and a list of typed parts; what is not text counts nothing.
type Text string

// textPart is one part of a list.
type textPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var whole string
	if json.Unmarshal(data, &whole) == nil {
		*t = Text(whole)
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

// partText returns the text of a list's part, or a word for each token.
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
