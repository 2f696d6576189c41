// Package events writes what an instance does: one log line of key=value pairs
// per event, and the same events in a bounded ring for the time line.
//
// Events carry stamps of a hybrid logical clock that travels with messages and
// log records, so that a merge of all instances' events orders causes before
// effects.
package events

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/amaranthfold/amaranthfold/core/hlc"
)

// ringSize is how many events an instance keeps for the time line.
const ringSize = 8192

// Event is one thing that happened on one instance.
type Event struct {
	Timestamp hlc.Timestamp     `json:"stamp"` // orders events over all instances
	Seq       uint64            `json:"seq"`   // orders events on this instance, from 1
	Instance  string            `json:"instance"`
	Name      string            `json:"event"`
	Fields    map[string]string `json:"fields,omitempty"`
}

// Field is one key and value of an event.
type Field struct{ Key, Value string }

// F builds a field.
func F(key, value string) Field { return Field{key, value} }

// entry is an event in the ring, without a map of its own.
type entry struct {
	stamp  hlc.Timestamp
	seq    uint64
	name   string
	fields []Field
}

// Recorder keeps and logs events. It is safe for concurrent use.
type Recorder struct {
	instance string
	logger   *log.Logger
	wall     func() time.Time

	mu       sync.Mutex
	clock    hlc.Clock
	ring     []entry // ring[seq % ringSize]
	seq      uint64
	disabled bool
}

// New returns a recorder that logs to w, or only records if w is nil. wall
// reads the time of day.
func New(instance string, w io.Writer, wall func() time.Time) *Recorder {
	r := &Recorder{instance: instance, wall: wall, ring: make([]entry, ringSize)}
	if w != nil {
		r.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{
			Writer: w, Formatter: formatLine,
		}}
	}
	return r
}

// SetDisabled stops recording and logging or resumes it, for measurements of the cost.
func (r *Recorder) SetDisabled(off bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = off
}

// Timestamp returns the time for an outgoing message.
func (r *Recorder) Timestamp() hlc.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(r.wall())
}

// Observe notes the stamp of an incoming message.
func (r *Recorder) Observe(s hlc.Timestamp) {
	if s == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(r.wall(), s)
}

// Record notes an event.
func (r *Recorder) Record(name string, fields ...Field) {
	if !r.store(name, fields) || r.logger == nil {
		return
	}
	e := r.logger.Info().Str("event", name).Str("instance", r.instance)
	for _, f := range fields {
		e = e.Str(f.Key, f.Value)
	}
	e.Msg("")
}

func (r *Recorder) store(name string, fields []Field) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disabled {
		return false
	}
	r.seq++
	r.ring[r.seq%ringSize] = entry{r.clock.Next(r.wall()), r.seq, name, fields}
	return true
}

// Page is a run of events. Lost counts events after the requested sequence
// number that the ring no longer holds.
type Page struct {
	Instance string  `json:"instance"`
	Lost     uint64  `json:"lost"`
	Last     uint64  `json:"last"` // sequence number to ask from next
	Events   []Event `json:"events"`
}

// Since returns the kept events with a sequence number above seq.
func (r *Recorder) Since(seq uint64) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := seq + 1
	if r.seq >= ringSize {
		first = max(first, r.seq-ringSize+1)
	}
	page := Page{Instance: r.instance, Last: r.seq, Lost: first - seq - 1, Events: []Event{}}
	for at := first; at <= r.seq; at++ {
		page.Events = append(page.Events, r.toEvent(r.ring[at%ringSize]))
	}
	return page
}

func (r *Recorder) toEvent(e entry) Event {
	out := Event{Timestamp: e.stamp, Seq: e.seq, Instance: r.instance, Name: e.name, Fields: make(map[string]string, len(e.fields))}
	for _, f := range e.fields {
		out.Fields[f.Key] = f.Value
	}
	return out
}
