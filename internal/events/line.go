package events

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// formatLine writes a log entry as one line of key=value pairs. It replaces the
// library's logfmt formatter, which adds the message without a key.
func formatLine(w io.Writer, a *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = append(line, "time="...)
	line = append(line, a.Time...)
	line = append(line, " level="...)
	line = append(line, a.Level...)
	for _, kv := range a.KeyValues {
		line = append(line, ' ')
		line = append(line, kv.Key...)
		line = append(line, '=')
		line = strconv.AppendQuote(line, kv.Value)
	}
	line = append(line, '\n')
	return w.Write(line)
}

// Line is a parsed log line of one event.
type Line struct {
	Time     time.Time
	Event    string
	Instance string
	Fields   map[string]string // all fields, including event and instance
	Text     string            // the line from its time field on, without the line end
}

// ParseLine parses a line that formatLine wrote. It skips text before the time field, such
// as a log collector's prefix. It fails if the line has no valid time or if a field has no
// valid value.
func ParseLine(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, fmt.Errorf("line has no time: %.80q", text)
	}
	text = strings.TrimRight(text[start:], "\r\n")
	timestamp, rest, _ := strings.Cut(strings.TrimPrefix(text, "time="), " ")
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, fmt.Errorf("time of the line %.80q: %w", text, err)
	}
	l := Line{Time: at, Fields: map[string]string{}, Text: text}
	for rest != "" {
		key, value, found := strings.Cut(rest, "=")
		if !found {
			return Line{}, fmt.Errorf("line %.80q: no value of %q", text, key)
		}
		quoted, err := strconv.QuotedPrefix(value)
		if err != nil { // the level is not quoted
			quoted, _, _ = strings.Cut(value, " ")
			l.Fields[key] = quoted
		} else if l.Fields[key], err = strconv.Unquote(quoted); err != nil {
			return Line{}, fmt.Errorf("line %.80q: value of %q: %w", text, key, err)
		}
		rest = strings.TrimPrefix(value[len(quoted):], " ")
	}
	l.Event, l.Instance = l.Fields["event"], l.Fields["instance"]
	return l, nil
}
