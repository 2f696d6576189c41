package hostplatform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine runs tasks as streams of numbered events and executes orders to load
// weights. It also serves plain requests, those without a Token-Usage header.
type Engine struct {
	ID    string
	Slots int // streams that can run at once

	mu              sync.Mutex
	software        string           // version of the program, in the registry entry and in the events
	models          []string         // the first one is that of requests that name none
	versions        map[string]int64 // by model
	sequence        int64
	highestFencing  int64
	holders         map[int64]string
	running         int // streams
	runs            []Run
	abortAfter      int  // complete events after which a stream is aborted; zero: never
	stalled         bool // streams send no more events, connections stay open
	marksRuns       bool // see MarkRuns
	statusByRequest map[string]int
	orderStatus     int // see RefuseOrders
	plainHandler    func(w http.ResponseWriter, r *http.Request) bool
	earlyHandler    func(w http.ResponseWriter, r *http.Request) bool
	streamHandler   func(w http.ResponseWriter, r *http.Request) bool
	beforeReport    func(w http.ResponseWriter)
	eventInterval   time.Duration
	violations      []string
	startedAt       int64       // "born" of the registry entry and the report
	limit           float64     // requests a second that responses name as the limit; zero: none
	arrivals        []time.Time // of all requests
}

// Run is one request that the engine began to run: a stream for a task, or a plain
// request.
type Run struct {
	ID      string
	Account string
	From    int64 // last event that the caller has received; zero: none
	Path    string
	Body    string
}

// NewEngine returns an engine that serves the model at weight version 1.
func NewEngine(id, model string, slots int) *Engine {
	return &Engine{
		ID: id, Slots: slots, software: FirstSoftware, startedAt: 1, eventInterval: 2 * time.Millisecond,
		models: []string{model}, versions: map[string]int64{model: 1}, statusByRequest: map[string]int{}, holders: map[int64]string{},
	}
}

// AddModel makes the engine serve a further model, at weight version 1.
func (e *Engine) AddModel(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = append(e.models, name)
	e.versions[name] = 1
}

// AbortAfterEvents makes each stream abort its connection after n complete events and
// a part of the next one. Zero turns the fault off.
func (e *Engine) AbortAfterEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAfter = n
}

// SetStalled makes streams send no more events while their connections stay open.
// Streams that have stalled don't resume.
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

// SetResponseStatus makes the engine respond with the status to every request for a stream that has
// this request id. Zero turns the fault off.
func (e *Engine) SetResponseStatus(id string, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statusByRequest[id] = status
}

// RefuseOrders makes the engine respond with the status to every order and execute none. Zero turns
// the fault off.
func (e *Engine) RefuseOrders(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderStatus = status
}

// SetPlainHandler sets a handler for plain requests. It reports whether it has
// responded; if not, the engine does.
func (e *Engine) SetPlainHandler(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plainHandler = f
}

// SetEarlyHandler sets a handler that is called before the body of a request is read, and reports
// whether it has responded.
func (e *Engine) SetEarlyHandler(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.earlyHandler = f
}

// SetStreamHandler is SetPlainHandler for requests for a stream.
func (e *Engine) SetStreamHandler(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamHandler = f
}

// Restart changes the start time in the registry entry and the report.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt++
}

// Runs returns the requests that the engine began to run, oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Version returns the weight version of the engine's first model.
func (e *Engine) Version() int64 { return e.VersionOf(e.models[0]) }

// VersionOf returns the weight version of a model.
func (e *Engine) VersionOf(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// Violations returns descriptions of calls that must never happen: two lease holders
// with one fencing number, a request or an order for a model that the engine does not serve, or
// a caller's key that was forwarded to the engine.
func (e *Engine) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// RegistryEntry returns the engine's registry entry. Its sequence is derived from the
// weight versions, as it only has to increase.
func (e *Engine) RegistryEntry(service, address, dataCentre, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	models, sum := e.modelList(), int64(0)
	for _, version := range e.versions {
		sum += version
	}
	return map[string]any{
		"service": service, "address": address, "zone": dataCentre, "version": e.software, "slots": e.Slots, "state": state,
		"models":   models,
		"sequence": 100 + sum, "born": e.startedAt,
	}
}

// modelList returns the models with their weight versions. The caller holds the lock.
func (e *Engine) modelList() []map[string]any {
	var list []map[string]any
	for _, name := range e.models {
		list = append(list, map[string]any{"name": name, "version": e.versions[name], "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	if e.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(e.limit, 'f', -1, 64))
	}
	e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

// order executes an order to load weights: 412 for a stale fencing number, 409 for an
// unexpected order sequence.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model    string `json:"model"`
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
	if previous := e.holders[o.Fence]; previous != "" && previous != o.Holder {
		e.violations = append(e.violations, fmt.Sprintf("%s and %s both used the fencing number %d", previous, o.Holder, o.Fence))
	}
	e.holders[o.Fence] = o.Holder
	if e.versions[o.Model] == 0 {
		e.violations = append(e.violations, fmt.Sprintf("an order to engine %s is for model %q", e.ID, o.Model))
	}
	switch {
	case e.orderStatus != 0:
		w.WriteHeader(e.orderStatus)
	case o.Fence < e.highestFencing:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		e.highestFencing = o.Fence
		e.sequence++
		e.versions[o.Model] = o.Version
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
	e.mu.Lock()
	early := e.earlyHandler
	e.mu.Unlock()
	if early != nil && early(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	handler := e.plainHandler
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Token-Usage") == "" {
		e.recordRun(r, body)
		if handler != nil && handler(w, r) {
			return
		}
		w.Header().Set("Server-Stamp", Signature(id))
		_, _ = w.Write(append([]byte(e.ID+":"), body...)) // the caller may have disconnected
		return
	}
	if !e.acquireSlot() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	run := e.recordRun(r, body)
	e.mu.Lock()
	status, streamHandler := e.statusByRequest[id], e.streamHandler
	e.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if streamHandler != nil && streamHandler(w, r) {
		return
	}
	e.stream(w, r, id, run)
}

// Signature returns the signature of the response to a plain request.
func Signature(requestID string) string { return "signature of " + requestID }

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

// recordRun returns the name of the run.
func (e *Engine) recordRun(r *http.Request, body []byte) string {
	from, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		from = 0 // no header: from the start
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{r.Header.Get("Request-Id"), r.Header.Get("Tenant"), from, r.URL.Path, string(body)})
	if r.Header.Get("Credential") != "" {
		e.violations = append(e.violations, "caller's key was forwarded to engine "+e.ID)
	}
	return e.runName(len(e.runs) - 1)
}

// modelOf returns the model that the request names, or the first one.
func (e *Engine) modelOf(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := cmp.Or(r.Header.Get("Model"), e.models[0])
	if e.versions[model] == 0 {
		e.violations = append(e.violations, fmt.Sprintf("a request to engine %s is for model %q", e.ID, model))
	}
	return model
}

// stream sends the events after Last-Event-Id. The number of the last one is the second
// value of the Token-Usage header.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id, run string) {
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	total, err := strconv.ParseInt(tokens, 10, 64)
	if err != nil {
		http.Error(w, "tokens", http.StatusBadRequest)
		return
	}
	from, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		from = 0 // no header: from the start
	}
	model := e.modelOf(r)
	version := e.VersionOf(model)
	w.Header().Set("Server-Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	flusher := http.NewResponseController(w)
	for n := from + 1; n <= total; n++ {
		e.mu.Lock()
		abortAfter, stalled, current, interval, software := e.abortAfter, e.stalled, e.versions[model], e.eventInterval, e.software
		marksRuns := e.marksRuns
		e.mu.Unlock()
		if stalled {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if current != version {
			version = current
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		if abortAfter > 0 && n-from > int64(abortAfter) {
			fmt.Fprintf(w, "id: %d\ndata: to", n) // the connection is aborted inside this event
			_ = flusher.Flush()                   // the connection is aborted anyway
			panic(http.ErrAbortHandler)
		}
		data := eventData(software, id, n)
		if marksRuns {
			data += markSeparator + run
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
	}
}
