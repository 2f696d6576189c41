// Package hostplatform is a stand-in of the platform that hosted instances run
// on: its log with keyed topics, its usage interface, engines and plain targets.
// Fault switches make it refuse, lose answers, fall silent or forget its history.
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

// Fault is what the store does with calls.
type Fault uint8

// The faults.
const (
	Healthy                Fault = iota
	Unavailable                  // 503: nothing is done
	Unresponsive                 // no answer, nothing is done
	DropAppendResponses          // done, and the connection is cut before the answer
	DropNextAppendResponse       // like Losing, for the next append only
	DelayAppends                 // the connection is cut, and the append is done later
)

// appendDelay is when a late append takes effect: after the client has repeated it.
const appendDelay = 300 * time.Millisecond

// Store is the log.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	fault      Fault
	down       map[string]bool // partitions that refuse every call, as "topic/part"
	appends    int
	release    chan struct{} // closed when silence ends
}

type partition struct {
	first     int64
	records   [][]byte
	producers map[string]*producer
	latest    map[string]latestValue
}

type producer struct {
	epoch, next int64
	replies     map[int64]reply
}

type reply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

type latestValue struct {
	value  []byte
	offset int64
}

// maxKeptReplies is how many of a producer's last appends may be repeated.
const maxKeptReplies = 5

// NewStore returns an empty log.
func NewStore() *Store {
	return &Store{partitions: map[string]*partition{}, down: map[string]bool{}, changed: make(chan struct{}), release: make(chan struct{})}
}

// SetFault changes what the store does from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == Unresponsive && f != Unresponsive {
		close(s.release)
		s.release = make(chan struct{})
	}
	s.fault = f
}

// SetPartitionDown makes a partition refuse every call, or serve again.
func (s *Store) SetPartitionDown(topic string, part int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[topic+"/"+strconv.Itoa(part)] = down
}

// Appends returns how many appends have taken effect.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// TrimTopic drops all records of a topic; the newest of each key stay.
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

// Records returns the records of a partition.
func (s *Store) Records(topic string, part int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.partition(topic, part).records)
}

// Put writes a key of a keyed topic, as the operator and the targets do. A nil
// value drops it.
func (s *Store) Put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(fmt.Sprintf("encode %s of %s: %v", key, topic, err))
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), topic, [][]byte{record})
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
	fault, release := s.fault, s.release
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
		case <-release:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
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

// FaultProxy is one machine's way to the store, with a fault of its own.
type FaultProxy struct {
	store   *Store
	mu      sync.Mutex
	fault   Fault
	release chan struct{}
}

// NewFaultProxy returns an open way to the store.
func NewFaultProxy(s *Store) *FaultProxy { return &FaultProxy{store: s, release: make(chan struct{})} }

// SetFault makes the way Refusing or Silent, or Healthy again.
func (d *FaultProxy) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == Unresponsive && f != Unresponsive {
		close(d.release)
		d.release = make(chan struct{})
	}
	d.fault = f
}

// ServeHTTP implements http.Handler.
func (d *FaultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	fault, release := d.fault, d.release
	d.mu.Unlock()
	switch fault {
	case Unavailable:
		http.Error(w, "down for this machine", http.StatusServiceUnavailable)
	case Unresponsive:
		select {
		case <-release:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		d.store.ServeHTTP(w, r)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	do := func() (int, any) { return s.appendOnce(r, splitRecords(body)) }
	if fault == DelayAppends {
		time.AfterFunc(appendDelay, func() { do() })
		panic(http.ErrAbortHandler)
	}
	status, answer := do()
	if fault == DropAppendResponses || fault == DropNextAppendResponse {
		if fault == DropNextAppendResponse {
			s.SetFault(Healthy)
		}
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func (s *Store) appendOnce(r *http.Request, records [][]byte) (int, any) {
	q := r.URL.Query()
	part, err := strconv.Atoi(q.Get("part"))
	if err != nil || q.Get("topic") == "" || strings.HasPrefix(q.Get("topic"), "keyed.op") {
		return http.StatusBadRequest, map[string]string{"error": "topic or part"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), part)
	if q.Get("producer") == "" {
		return http.StatusOK, s.add(p, q.Get("topic"), records)
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	by := p.producers[q.Get("producer")]
	if by == nil || epoch > by.epoch {
		by = &producer{epoch: epoch, next: sequence, replies: map[int64]reply{}}
		p.producers[q.Get("producer")] = by
	}
	if known, repeated := by.replies[sequence]; repeated {
		return http.StatusOK, known
	}
	if sequence != by.next {
		return http.StatusConflict, map[string]any{"why": "seq", "sequence": by.next}
	}
	by.next++
	out := s.add(p, q.Get("topic"), records)
	by.replies[sequence] = out
	delete(by.replies, sequence-maxKeptReplies)
	return http.StatusOK, out
}

func splitRecords(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		limit = 1024
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
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
			writeRecords(w, first, end, records, limit<<10)
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

func writeRecords(w io.Writer, first, end int64, records [][]byte, limit int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, r := range records {
		if i > 0 && len(out)+len(r) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out) // the client reads again
}

func (s *Store) readLatest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	const pageItems = 2 // small, so that clients meet several pages
	s.mu.Lock()
	p := s.partition(r.URL.Query().Get("topic"), 0)
	items := []item{}
	for key, n := range p.latest {
		if key > r.URL.Query().Get("after") && len(n.value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
		}
	}
	end := p.first + int64(len(p.records))
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has-more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client sees a short body
}
