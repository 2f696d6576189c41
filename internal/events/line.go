package events

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// formatLine writes a log entry as one line of key=value pairs. The library's
// own logfmt formatter adds the message without a key.
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

// Line is one logged event.
type Line struct {
	Time     time.Time
	Event    string
	Instance string
	Fields   map[string]string // all of them, the event and the instance too
	Text     string            // the line as it was written
}

// ParseLine reads a line that formatLine wrote. Whatever stands before it, such as
// the stamp of a collector, is skipped.
func ParseLine(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, fmt.Errorf("line has no time: %.80q", text)
	}
	text = strings.TrimRight(text[start:], "\r\n")
	stamp, rest, _ := strings.Cut(strings.TrimPrefix(text, "time="), " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
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
