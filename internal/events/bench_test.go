package events_test

import (
	"io"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/events"
)

// BenchmarkRecord measures the recording of one event of a request, with three fields, in
// the ring alone, and in the ring and the log.
func BenchmarkRecord(b *testing.B) {
	for _, c := range []struct {
		name string
		out  io.Writer
	}{{"ring", nil}, {"ring and log", io.Discard}} {
		b.Run(c.name, func(b *testing.B) {
			r := events.New("entry-1", c.out, time.Now)
			b.ReportAllocs()
			for b.Loop() {
				r.Record("request sent", events.F("request", "6f1c2a9e"), events.F("account", "papine"), events.F("target", "sorter-models-kingston-1"))
			}
		})
	}
}
