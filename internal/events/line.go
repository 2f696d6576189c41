package events

import (
	"io"
	"strconv"

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
