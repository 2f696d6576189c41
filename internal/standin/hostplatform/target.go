package hostplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine runs tasks as streams of numbered events, and takes orders to load
// weights. It also answers requests of plain routes.
type Engine struct {
	ID    string
	Model string
	Slots int

	mu              sync.Mutex
	version         int64
	sequence        int64
	highestFence    int64
	holders         map[int64]string
	running         int
	runs            []Run
	abortAfter      int  // events after which the next streams break off; zero: never
	stalled         bool // streams stop making events, connections stay open
	statusByRequest map[string]int
	plainHandler    func(w http.ResponseWriter, r *http.Request) bool
	eventInterval   time.Duration
	violations      []string
}

// Run is one run that the engine began.
type Run struct {
	ID      string
	Account string
	From    int64 // last event that the caller had
	Path    string
	Body    string
}

// NewEngine returns an engine at weight version 1.
func NewEngine(id, model string, slots int) *Engine {
	return &Engine{
		ID: id, Model: model, Slots: slots, version: 1, eventInterval: 2 * time.Millisecond,
		statusByRequest: map[string]int{}, holders: map[int64]string{},
	}
}

// AbortAfterEvents makes streams break off after n events; zero ends it.
func (e *Engine) AbortAfterEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAfter = n
}

// SetStalled makes streams stop without a word.
func (e *Engine) SetStalled(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
}

// SetEventInterval changes the time between events.
func (e *Engine) SetEventInterval(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventInterval = d
}

// Fail makes runs of the id end with the status.
func (e *Engine) Fail(id string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statusByRequest[id] = status
}

// SetPlainHandler sets a handler of requests without a prompt; it reports whether it answered.
func (e *Engine) SetPlainHandler(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plainHandler = f
}

// Runs returns the runs that began.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the engine's weight version.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Violations lists what callers did that must never happen.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// RegistryEntry is the engine's registry entry.
func (e *Engine) RegistryEntry(service, address, zone, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": e.Slots, "state": state,
		"models":   []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}},
		"sequence": 100 + e.version, "born": 1,
	}
}

// Text returns the whole output of a task: n events from 1 on.
func Text(id string, n int) string {
	lines := make([]string, n)
	for i := range lines {
		lines[i] = eventData(id, int64(i+1))
	}
	return strings.Join(lines, "\n")
}

func eventData(id string, number int64) string { return fmt.Sprintf("%s-%d", id, number) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"busy": false, "sequence": e.sequence, "models": []map[string]any{{"name": e.Model, "version": e.version}},
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected int64  `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.holders[o.Fence]; known != "" && known != o.Holder {
		e.violations = append(e.violations, fmt.Sprintf("%s and %s both used the fencing number %d", known, o.Holder, o.Fence))
	}
	e.holders[o.Fence] = o.Holder
	switch {
	case o.Fence < e.highestFence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		e.highestFence = o.Fence
		e.sequence++
		e.version = o.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if got := r.Header.Get("Expect-Instance"); got != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	plain := e.plainHandler
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Token-Usage") == "" {
		e.recordRun(r, body)
		if plain != nil && plain(w, r) {
			return
		}
		w.Header().Set("Server-Stamp", "s")
		_, _ = w.Write(append([]byte(e.ID+":"), body...)) // the caller may have left
		return
	}
	if !e.acquireSlot() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.recordRun(r, body)
	e.mu.Lock()
	status := e.statusByRequest[id]
	e.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	e.stream(w, r, id)
}

func (e *Engine) acquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.Slots {
		return false
	}
	e.running++
	return true
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) recordRun(r *http.Request, body []byte) {
	from, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		from = 0 // absent: from the start
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{r.Header.Get("Request-Id"), r.Header.Get("Tenant"), from, r.URL.Path, string(body)})
	if r.Header.Get("Credential") != "" {
		e.violations = append(e.violations, "a key reached "+e.ID)
	}
}

// stream sends the events that Token-Usage asks for: its second number.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, after, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		http.Error(w, "tokens", http.StatusBadRequest)
		return
	}
	from, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		from = 0 // absent: from the start
	}
	version := e.Version()
	w.Header().Set("Server-Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	flusher := http.NewResponseController(w)
	for n := from + 1; n <= total; n++ {
		e.mu.Lock()
		cut, silent, now, pace := e.abortAfter, e.stalled, e.version, e.eventInterval
		e.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if now != version {
			version = now
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		if cut > 0 && n-from > int64(cut) {
			fmt.Fprintf(w, "id: %d\ndata: to", n) // torn inside an event
			_ = flusher.Flush()                   // the connection is cut anyway
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pace):
		}
	}
}
