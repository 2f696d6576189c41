// Package hostplatform is a stand-in for the platform that hosted instances run
// on: its log with keyed (compacted) topics, its usage interface, engines and plain
// targets. All state is in memory. Fault switches make the store unavailable or
// unresponsive or slow, drop the responses to appends, delay appends and trim topics;
// streams of engines can be interrupted or stalled. Calls that break the
// platform's rules are recorded as violations; tests check that there are none.
package hostplatform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of the store. Unavailable, Unresponsive and Slow affect every call, the
// others calls to /log-append only.
type Fault uint8

// The faults.
const (
	Healthy                Fault = iota
	Unavailable                  // responds 503 and does nothing
	Unresponsive                 // does not respond and does nothing
	DropAppendResponses          // appends, then aborts the connection instead of responding
	DropNextAppendResponse       // like DropAppendResponses, for the next append only
	DelayAppends                 // aborts the connection and appends after appendDelay
	SlowAppends                  // executes the appends to a partition one after the other, each for slowAppend
	Slow                         // executes every call after slowDelay
	SilentAppends                // appends, then does not respond
	LateAppends                  // executes appends after the lateDelays, in turn
)

const (
	// slowAppend is 60 times the usual 4 ms.
	slowAppend = 240 * time.Millisecond
	// maxAppendWait is how long an append to a partition may have to wait; others are refused.
	maxAppendWait = 2 * time.Second
)

// appendDelay is the delay of an append under DelayAppends. It is long enough that the
// client retries the append before the first attempt takes effect.
const appendDelay = 300 * time.Millisecond

// slowDelay is 40 times what a healthy store takes for a call.
const slowDelay = 160 * time.Millisecond

// lateDelays differ, so that the appends of clients overtake each other, and the repeat of an
// append its first attempt.
var lateDelays = []time.Duration{0, 1200 * time.Millisecond, 3 * time.Second, 2 * time.Second}

// Store is the log. Its partitions are created on first use. A topic whose name
// starts with "keyed." is keyed: the store also keeps the latest value of each key.
type Store struct {
	mu          sync.Mutex
	partitions  map[string]*partition
	changed     chan struct{} // closed and replaced on every append and trim
	fault       Fault
	recordLimit int             // bytes
	down        map[string]bool // unavailable partitions, as "topic/part"
	appends     int             // see Appends
	reads       map[string]int  // by topic
	faultEnded  chan struct{}   // closed when the Unresponsive fault ends
	late        int             // appends under LateAppends
}

// partition holds its records, of which the first retained one is at offset first, the
// idempotent producers by id and, in a keyed topic, the latest value of each key.
type partition struct {
	slow      sync.Mutex // held by the append that is executed under SlowAppends
	waiting   int        // appends that wait for it
	first     int64
	records   [][]byte
	producers map[string]*producer
	latest    map[string]latestValue
}

// producer is the state of an idempotent producer: its epoch, the sequence of its next
// append, and the replies to its latest appends by sequence.
type producer struct {
	epoch, nextSequence int64
	replies             map[int64]reply
}

// reply is the response to an append: the offset of its first record and the offset
// after its last one.
type reply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

type latestValue struct {
	value  []byte
	offset int64
}

// maxKeptReplies is the number of a producer's latest appends whose replies are kept,
// so that an append with a duplicate sequence gets the original reply.
const maxKeptReplies = 5

// NewStore returns an empty log.
func NewStore() *Store {
	return &Store{partitions: map[string]*partition{}, down: map[string]bool{}, reads: map[string]int{}, changed: make(chan struct{}), faultEnded: make(chan struct{})}
}

// SetRecordLimit makes the store refuse records of more bytes; zero: none.
func (s *Store) SetRecordLimit(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLimit = bytes
}

// SetFault replaces the fault of the store.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == Unresponsive && f != Unresponsive {
		close(s.faultEnded)
		s.faultEnded = make(chan struct{})
	}
	s.fault = f
}

// SetPartitionDown starts or ends an outage of one partition: every call gets 503.
func (s *Store) SetPartitionDown(topic string, part int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[topic+"/"+strconv.Itoa(part)] = down
}

// Appends returns the number of appends that have taken effect, those of Put included.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Reads returns the number of reads of a topic.
func (s *Store) Reads(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[topic]
}

// TrimTopic removes all records of a topic. The latest value of each key is retained.
func (s *Store) TrimTopic(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.partitions {
		if strings.HasPrefix(name, topic+"/") {
			p.first += int64(len(p.records))
			p.records = nil
		}
	}
	s.notifyReaders()
}

// TrimBefore removes the records of a partition before the offset.
func (s *Store) TrimBefore(topic string, part int, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	p.records = p.records[offset-p.first:]
	p.first = offset
	s.notifyReaders()
}

// Ends returns the end offset of each partition of a topic.
func (s *Store) Ends(topic string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := map[string]int64{}
	for name, p := range s.partitions {
		if strings.HasPrefix(name, topic+"/") {
			ends[name] = p.first + int64(len(p.records))
		}
	}
	return ends
}

// TrimTo removes the records before the offsets, which Ends has returned.
func (s *Store) TrimTo(ends map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, end := range ends {
		if p := s.partitions[name]; end > p.first {
			p.records = p.records[end-p.first:]
			p.first = end
		}
	}
	s.notifyReaders()
}

// Records returns the records of a partition.
func (s *Store) Records(topic string, part int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.partition(topic, part).records)
}

// Put sets a key of a keyed topic, as the operator and the targets do. A nil value
// deletes the key.
func (s *Store) Put(topic, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(fmt.Sprintf("encode %s of %s: %v", key, topic, err))
		}
	}
	s.PutBytes(topic, key, data)
}

// PutBytes is Put for a value that need not be JSON. The record holds the key's length in one
// byte, the key and the value.
func (s *Store) PutBytes(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), topic, [][]byte{append(record, value...)})
}

func (s *Store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}, latest: map[string]latestValue{}}
		s.partitions[name] = p
	}
	return p
}

// add appends the records to a partition. The caller holds s.mu.
func (s *Store) add(p *partition, topic string, records [][]byte) reply {
	at := p.first + int64(len(p.records))
	for i, r := range records {
		p.records = append(p.records, r)
		if strings.HasPrefix(topic, "keyed.") {
			n := int(r[0])
			p.latest[string(r[1:1+n])] = latestValue{r[1+n:], at + int64(i)}
		}
	}
	s.appends++
	s.notifyReaders()
	return reply{at, p.first + int64(len(p.records))}
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault, faultEnded := s.fault, s.faultEnded
	if s.down[r.URL.Query().Get("topic")+"/"+r.URL.Query().Get("part")] {
		fault = Unavailable
	}
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case Unresponsive:
		select {
		case <-faultEnded:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(slowDelay)
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, fault)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.readLatest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// read responds with the records from an offset. If there are none, it waits up to
// wait-ms for one. It responds with 410 if the offset has been trimmed.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	s.reads[q.Get("topic")]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), part)
		first, end := p.first, p.first+int64(len(p.records))
		var records [][]byte
		if from >= first && from < end {
			records = p.records[from-first:]
		}
		changed := s.changed
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(records) > 0 || waitMS == 0 {
			writeRecords(w, first, end, records, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, first, end int64, records [][]byte, maxBytes int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, r := range records {
		if i > 0 && len(out)+len(r) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out) // after a failure the client reads again
}

// readLatest responds with one page of the latest values of a keyed topic, sorted by
// key. Deleted keys are left out.
func (s *Store) readLatest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	const pageItems = 2 // small, so that clients have to read several pages
	s.mu.Lock()
	p := s.partition(r.URL.Query().Get("topic"), 0)
	var keys []string
	for key, latest := range p.latest {
		if q := r.URL.Query(); (!q.Has("after") || key > q.Get("after")) && len(latest.value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(p.latest[key].value), p.latest[key].offset})
	}
	end := p.first + int64(len(p.records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // after a failure the client gets a truncated body
}
