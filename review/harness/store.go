package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's metadata store: a log of topics with partitions,
// numbered appends and keyed topics. Records of other topics expire after retention.
type store struct {
	retention  time.Duration
	maxRecord  int // bytes
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{} // closed and replaced at each append
	reads      map[*pendingRead]bool
	down       atomic.Bool // it answers 503 and does nothing
}

// partition holds the records from the offset first on.
type partition struct {
	first     int64
	records   [][]byte
	times     []time.Time
	producers map[string]*producer
	newest    map[string]keyedValue
}

type keyedValue struct {
	value  []byte
	offset int64
}

// producer numbers the appends of one writer.
type producer struct {
	epoch, next int64
	replies     map[int64]appendReply
}

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// keptReplies is the number of appends of a producer that may be repeated.
const keptReplies = 5

// pendingRead is a read of a caller that has not been answered.
type pendingRead struct {
	caller, topic string
	connection    *connection
}

// connection is a connection to a stand-in. Nothing is sent on a silent one any more.
type connection struct{ silent atomic.Bool }

type connectionKey struct{}

func withConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{})
}

func newStore(retention time.Duration) *store {
	return &store{
		retention: retention, maxRecord: recordBytes, partitions: map[string]*partition{}, changed: make(chan struct{}),
		reads: map[*pendingRead]bool{},
	}
}

// handlerFor returns the store as the instance with the name sees it.
func (s *store) handlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		status, contentType, body := s.serve(caller, c, r)
		if c.silent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write(body) // the caller repeats a call without a whole answer
	})
}

func (s *store) serve(caller string, c *connection, r *http.Request) (status int, contentType string, body []byte) {
	time.Sleep(storeAnswerTime)
	if s.down.Load() {
		return jsonAnswer(http.StatusServiceUnavailable, map[string]string{"error": "down"})
	}
	q := r.URL.Query()
	part, err := strconv.Atoi(q.Get("part"))
	if q.Get("topic") == "" || err != nil {
		return jsonAnswer(http.StatusBadRequest, map[string]string{"error": "topic or part"})
	}
	switch r.URL.Path {
	case "/log-append":
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return jsonAnswer(http.StatusBadRequest, map[string]string{"error": "body"})
		}
		return s.append(r, part, data)
	case "/log-read":
		return s.read(caller, c, r, part)
	case "/log-newest":
		return s.readNewest(q.Get("topic"), q.Get("after"))
	default:
		return jsonAnswer(http.StatusNotFound, map[string]string{"error": "no such call"})
	}
}

func jsonAnswer(status int, v any) (int, string, []byte) {
	data, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, "text/plain", []byte(err.Error())
	}
	return status, "application/json", data
}

// partition returns a partition and creates it if there is none. It is called with mu held.
func (s *store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.partitions[name]
	if p == nil {
		p = &partition{producers: map[string]*producer{}, newest: map[string]keyedValue{}}
		s.partitions[name] = p
	}
	if !strings.HasPrefix(topic, "keyed.") {
		for len(p.records) > 0 && time.Since(p.times[0]) > s.retention {
			p.records, p.times = p.records[1:], p.times[1:]
			p.first++
		}
	}
	return p
}

func (s *store) append(r *http.Request, part int, data []byte) (int, string, []byte) {
	q := r.URL.Query()
	topic := q.Get("topic")
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if n > s.maxRecord || len(data) < 4+n {
			return jsonAnswer(http.StatusRequestEntityTooLarge, map[string]string{"error": "record size"})
		}
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	switch {
	case topic == "keyed.op" || topic == "keyed.servers":
		return jsonAnswer(http.StatusForbidden, map[string]string{"error": "topic"})
	case q.Get("producer") == "":
		return jsonAnswer(http.StatusOK, s.add(p, topic, records))
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)       // zero if it is missing
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64) // zero if it is missing
	w := p.producers[q.Get("producer")]
	if w == nil || epoch > w.epoch {
		w = &producer{epoch: epoch, next: sequence, replies: map[int64]appendReply{}}
		p.producers[q.Get("producer")] = w
	}
	if earlier, repeated := w.replies[sequence]; repeated {
		return jsonAnswer(http.StatusOK, earlier)
	}
	if epoch < w.epoch {
		return jsonAnswer(http.StatusConflict, map[string]any{"why": "fenced"})
	}
	if sequence != w.next {
		return jsonAnswer(http.StatusConflict, map[string]any{"why": "seq", "sequence": w.next})
	}
	w.next++
	w.replies[sequence] = s.add(p, topic, records)
	delete(w.replies, sequence-keptReplies)
	return jsonAnswer(http.StatusOK, w.replies[sequence])
}

// add appends records to a partition. It is called with mu held.
func (s *store) add(p *partition, topic string, records [][]byte) appendReply {
	at := p.first + int64(len(p.records))
	for i, r := range records {
		p.records, p.times = append(p.records, r), append(p.times, time.Now())
		if strings.HasPrefix(topic, "keyed.") {
			n := int(r[0])
			p.newest[string(r[1:1+n])] = keyedValue{r[1+n:], at + int64(i)}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return appendReply{at, p.first + int64(len(p.records))}
}

// put writes a key of a keyed topic, as the operator and the samplers do. nil drops the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), topic, [][]byte{record})
}

func (s *store) read(caller string, c *connection, r *http.Request, part int) (int, string, []byte) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)      // zero if it is missing
	waitMS, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64) // zero if it is missing
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	pending := &pendingRead{caller, topic, c}
	s.mu.Lock()
	s.reads[pending] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.reads, pending)
		s.mu.Unlock()
	}()
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for over := waitMS == 0; ; {
		s.mu.Lock()
		p := s.partition(topic, part)
		first, end, changed := p.first, p.first+int64(len(p.records)), s.changed
		var records [][]byte
		if from >= first && from < end {
			records = slices.Clone(p.records[from-first:])
		}
		s.mu.Unlock()
		if from < first {
			return jsonAnswer(http.StatusGone, map[string]int64{"first": first})
		}
		if len(records) > 0 || over {
			return http.StatusOK, "application/octet-stream", encodeRead(first, end, records, maxKB<<10)
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			over = true
		}
	}
}

func encodeRead(first, end int64, records [][]byte, maxBytes int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for i, r := range records {
		if i > 0 && len(out)+len(r) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	return out
}

// pageItems is the largest number of keys in an answer to a read of the newest records.
const pageItems = 500

func (s *store) readNewest(topic, after string) (int, string, []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, 0)
	items := []item{}
	for key, v := range p.newest {
		if key > after && len(v.value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	return jsonAnswer(http.StatusOK, map[string]any{
		"items": items[:min(len(items), pageItems)], "has-more": more, "end": p.first + int64(len(p.records)),
	})
}

// silence makes the open connections silent on which the caller waits for records of the topic.
// It returns their number.
func (s *store) silence(caller, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for r := range s.reads {
		if r.caller == caller && r.topic == topic && !r.connection.silent.Swap(true) {
			n++
		}
	}
	return n
}

// firstOffset returns the oldest offset of a partition that is kept.
func (s *store) firstOffset(topic string, part int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(topic, part).first
}
