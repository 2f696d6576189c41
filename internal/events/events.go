// Package events records what an instance does: one log line of key=value pairs per
// event, and the same events in a bounded ring for the timeline.
//
// Each event has a timestamp of the instance's hybrid logical clock. If the caller puts
// Timestamp into each message and log record that it sends, and passes the timestamp of
// each one that it receives to Observe, the events of all instances, sorted by timestamp,
// have causes before effects. Events that the ring has overwritten are counted as lost.
package events

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/amaranthfold/amaranthfold/core/hlc"
)

// ringSize is the number of events that an instance keeps for the timeline.
const ringSize = 8192

// Event is a recorded event, as Since returns it.
type Event struct {
	Timestamp hlc.Timestamp     `json:"stamp"` // orders the events of all instances
	Seq       uint64            `json:"seq"`   // orders the events of this instance, from 1
	Instance  string            `json:"instance"`
	Name      string            `json:"event"`
	Fields    map[string]string `json:"fields,omitempty"`
}

// Field is one key and value of an event.
type Field struct{ Key, Value string }

// F returns the field with this key and value.
func F(key, value string) Field { return Field{key, value} }

// entry is an event in the ring. It holds its fields as a slice; Since makes the map.
type entry struct {
	timestamp hlc.Timestamp
	seq       uint64
	name      string
	fields    []Field
}

// Recorder keeps the latest events in a ring and logs them. It is safe for concurrent
// use.
type Recorder struct {
	instance  string
	logger    *log.Logger
	wallClock func() time.Time

	mu       sync.Mutex
	clock    hlc.Clock
	ring     []entry // the event with number seq is at seq % ringSize
	seq      uint64  // number of the latest event
	disabled bool
}

// New returns a recorder that keeps events and, unless w is nil, logs them to w.
// wallClock returns the current time.
func New(instance string, w io.Writer, wallClock func() time.Time) *Recorder {
	r := &Recorder{instance: instance, wallClock: wallClock, ring: make([]entry, ringSize)}
	if w != nil {
		r.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.ConsoleWriter{
			Writer: w, Formatter: formatLine,
		}}
	}
	return r
}

// SetDisabled stops or resumes recording and logging, so that their cost can be measured.
func (r *Recorder) SetDisabled(disabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = disabled
}

// Timestamp advances the clock and returns the timestamp for an outgoing message.
func (r *Recorder) Timestamp() hlc.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(r.wallClock())
}

// Observe advances the clock past the timestamp of an incoming message; zero is ignored.
func (r *Recorder) Observe(s hlc.Timestamp) {
	if s == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(r.wallClock(), s)
}

// Record adds an event to the ring and logs it.
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

// store adds an event to the ring and reports whether recording is enabled.
func (r *Recorder) store(name string, fields []Field) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disabled {
		return false
	}
	r.seq++
	r.ring[r.seq%ringSize] = entry{r.clock.Next(r.wallClock()), r.seq, name, fields}
	return true
}

// Page holds the events of one instance above a requested sequence number.
type Page struct {
	Instance string  `json:"instance"`
	Lost     uint64  `json:"lost"` // events above it that the ring has overwritten
	Last     uint64  `json:"last"` // sequence number to pass to the next Since
	Events   []Event `json:"events"`
}

// Since returns the events with a sequence number above seq that are in the ring.
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
	out := Event{Timestamp: e.timestamp, Seq: e.seq, Instance: r.instance, Name: e.name, Fields: make(map[string]string, len(e.fields))}
	for _, f := range e.fields {
		out.Fields[f.Key] = f.Value
	}
	return out
}
