// Package events writes what an instance does: one log line of key=value pairs
// per event, and the same events in a bounded ring for the time line.
package events

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// ringSize is how many events an instance keeps for the time line.
const ringSize = 8192

// Event is one thing that happened on one instance.
type Event struct {
	At       time.Time         `json:"at"`
	Seq      uint64            `json:"seq"` // order on this instance
	Instance string            `json:"instance"`
	Name     string            `json:"event"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Recorder keeps and logs events. It is safe for concurrent use.
type Recorder struct {
	instance string
	logger   *log.Logger

	mu   sync.Mutex
	ring []Event
	seq  uint64
}

// New returns a recorder that logs to w, or only records if w is nil.
func New(instance string, w io.Writer) *Recorder {
	r := &Recorder{instance: instance}
	if w != nil {
		r.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{
			Writer:    w,
			Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter,
		}}
	}
	return r
}

// Field is one key and value of an event.
type Field struct{ Key, Value string }

// F builds a field.
func F(key, value string) Field { return Field{key, value} }

// Record notes an event.
func (r *Recorder) Record(name string, fields ...Field) {
	e := Event{At: time.Now(), Instance: r.instance, Name: name, Fields: make(map[string]string, len(fields))}
	for _, f := range fields {
		e.Fields[f.Key] = f.Value
	}
	r.keep(e)
	if r.logger == nil {
		return
	}
	entry := r.logger.Info().Str("event", name).Str("instance", r.instance)
	for _, f := range fields {
		entry = entry.Str(f.Key, f.Value)
	}
	entry.Msg("")
}

func (r *Recorder) keep(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Seq = r.seq
	r.ring = append(r.ring, e)
	if len(r.ring) > ringSize {
		r.ring = append([]Event(nil), r.ring[ringSize/2:]...)
	}
}

// Since returns the kept events with a sequence number above seq.
func (r *Recorder) Since(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.ring {
		if r.ring[i].Seq > seq {
			return append([]Event(nil), r.ring[i:]...)
		}
	}
	return nil
}
