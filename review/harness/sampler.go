package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampler is a stand-in for a sampler: one with models streams the events of items and takes
// orders to load a version, one without answers plain requests.
type sampler struct {
	id, service, zone string
	slots             int
	eventInterval     time.Duration
	loadTime          time.Duration // of an order
	prefill           time.Duration // from the start of an answer to its first event, besides eventInterval
	garbled           *garbled      // which answers to items state no length and end with their connection; nil: none
	born              int64         // start, Unix milliseconds
	record            *record

	mu       sync.Mutex
	versions map[string]int64 // by model
	loading  string           // model whose version changes; empty: none
	sequence int64            // of accepted orders
	fence    int64            // highest one seen
	beat     int64            // heartbeats sent
	running  int
	streams  map[string]int64     // last event of the streams in progress, by request
	ended    map[string]time.Time // last end of a run, by request
	finished map[string]bool      // requests whose last event was sent
	server   *http.Server
	address  string
	crashed  bool
	draining bool
	leavesAt time.Time         // when it is reclaimed; zero: it gave no notice
	spot     bool              // it may be reclaimed
	changed  bool              // the next heartbeat is due at once
	raw      map[net.Conn]bool // connections of answers without a length
}

func newSampler(id, service, zone string, slots int, models ...string) *sampler {
	s := &sampler{
		id: id, service: service, zone: zone, slots: slots, eventInterval: 40 * time.Millisecond, loadTime: versionLoadTime,
		versions: map[string]int64{}, streams: map[string]int64{}, ended: map[string]time.Time{}, finished: map[string]bool{},
		raw: map[net.Conn]bool{},
	}
	for _, m := range models {
		s.versions[m] = 1
	}
	return s
}

// start listens on a loopback address.
func (s *sampler) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.server = &http.Server{Handler: s}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with crash
	return nil
}

// crash ends the sampler: its connections break and its address refuses further ones.
func (s *sampler) crash() {
	s.mu.Lock()
	s.crashed = true
	server := s.server
	s.mu.Unlock()
	_ = server.Close() // nothing is to be saved
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.raw {
		_ = c.Close() // as the end of the process does
	}
}

// reclaim makes the sampler report that it drains and leaves after the notice. It goes on serving.
func (s *sampler) reclaim(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.leavesAt, s.changed = true, time.Now().Add(notice), true
}

// entry returns the entry in the store, nil if the sampler sends no heartbeats.
func (s *sampler) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil
	}
	s.beat++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "cold-remaining-ms": 0, "sequence": s.beat, "born": s.born,
	}
	if s.spot {
		e["spot"] = true
	}
	if !s.leavesAt.IsZero() {
		e["leaves_ms"] = max(1, time.Until(s.leavesAt).Milliseconds())
	}
	if len(s.versions) > 0 {
		e["stage"], e["models"] = "hybrid", s.modelList()
	}
	return e
}

// modelList is called with mu held.
func (s *sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range s.versions {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// garbled chooses the answers without a length, one in garbledEvery of all answers to items of the
// samplers that share it.
type garbled struct {
	mu            sync.Mutex
	answers, made int
	began         chan *sampler // receives the sampler of each, as the answer begins
}

const garbledEvery = 50

// next counts an answer of the sampler and reports whether it states no length.
func (g *garbled) next(s *sampler) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers++
	if g.answers < garbledEvery*(g.made+1) {
		return false
	}
	g.made++
	select {
	case g.began <- s:
	default: // an earlier one is being handled
	}
	return true
}

// state returns the version of a model, and the largest number of events that a stream in
// progress has sent.
func (s *sampler) state(model string) (version, events int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.streams {
		events = max(events, n)
	}
	return s.versions[model], events
}

// ServeHTTP implements http.Handler.
func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/report":
		s.report(w)
	case r.URL.Path == "/order":
		s.order(w, body)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case r.Header.Get("Token-Usage") == "":
		s.begin(id)
		s.end(id)
		w.Header().Set("Server-Stamp", "stamp."+id)
		_, _ = w.Write(body) // a caller that has disconnected needs no answer
	default:
		s.stream(w, r, id)
	}
}

func (s *sampler) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, contentType, body := jsonAnswer(http.StatusOK, map[string]any{
		"stage": "hybrid", "models": s.modelList(), "busy": s.loading != "", "sequence": s.sequence, "queued-count": 0,
		"running-count": s.running, "kv-used": 0, "kv-total": 40000, "handles": 0, "born": s.born,
	})
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // as above
}

func (s *sampler) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.printf("order to %s: version %d of %s, holder %s, fence %d", s.id, o.Version, o.Model, o.Holder, o.Fence)
	s.record.duty("order/"+s.id, o.Holder, o.Fence)
	s.fence = max(s.fence, o.Fence)
	switch {
	case s.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	case s.loading != "", o.Expected != nil && *o.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
	case s.versions[o.Model] == 0:
		w.WriteHeader(http.StatusBadRequest)
	default:
		s.sequence++
		s.loading = o.Model
		time.AfterFunc(s.loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.versions[o.Model], s.loading = o.Version, ""
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// begin records that the sampler begins to work on a request.
func (s *sampler) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[id] = 0
	s.running++
}

func (s *sampler) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
	s.ended[id] = time.Now()
	s.running--
}

// eventData returns the data of an event of an item.
func eventData(id string, number int64) string { return fmt.Sprintf("%s.%d", id, number) }

// outputOf returns the whole output of an item.
func outputOf(id string, events int64) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventData(id, int64(i)+1)
	}
	return strings.Join(lines, "\n")
}

// stream sends the events of an item after Last-Event-Id. The second number of Token-Usage is the
// number of events.
func (s *sampler) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, text, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		from = 0 // it is missing: from the start
	}
	model := r.Header.Get("Model")
	s.mu.Lock()
	refused, version := s.running >= s.slots || s.loading == model, s.versions[model]
	s.mu.Unlock()
	if refused {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.begin(id)
	defer s.end(id)
	s.record.printf("run at %s: item %s from event %d, version %d", s.id, id, from, version)
	w.Header().Set("Server-Stamp", "stamp."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", fmt.Sprint(version))
	flush := http.NewResponseController(w).Flush
	var out io.Writer = w
	if s.garbled.next(s) {
		connection, err := s.sendRawHeader(w)
		if err != nil {
			return
		}
		defer s.closeRaw(connection)
		out, flush = connection, func() error { return nil }
	}
	if flush() != nil {
		return
	}
	time.Sleep(s.prefill)
	s.sendEvents(r.Context(), out, flush, id, model, version, from, total)
}

// sendRawHeader sends the header of an answer that states no length, and returns its connection.
func (s *sampler) sendRawHeader(w http.ResponseWriter) (net.Conn, error) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.raw[connection] = true
	s.mu.Unlock()
	w.Header().Set("Connection", "close")
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	if err := w.Header().Write(&head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	_, err = connection.Write(head.Bytes())
	return connection, err
}

func (s *sampler) closeRaw(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.raw, connection)
	_ = connection.Close() // all of the answer is sent, or the sampler has crashed
}

func (s *sampler) sendEvents(ctx context.Context, w io.Writer, flush func() error, id, model string, version, from, total int64) {
	for n := from + 1; n <= total; n++ {
		select {
		case <-ctx.Done():
			return // the caller has disconnected
		case <-time.After(s.eventInterval):
		}
		s.mu.Lock()
		current := s.versions[model]
		s.streams[id] = n - from
		s.mu.Unlock()
		if current != version {
			version = current
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		if err != nil || flush() != nil {
			return
		}
	}
	s.mu.Lock()
	s.finished[id] = true
	s.mu.Unlock()
}
