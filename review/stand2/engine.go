package main

import (
	"encoding/json"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineTarget is a model sampler: it runs the items of batch submissions as streams of numbered
// events.
type engineTarget struct {
	env     *env
	id      string
	zone    string
	address string
	slots   int
	step    time.Duration // between events
	gone    atomic.Bool   // its entry is not written any more
	// fail returns the status that a run of the item is answered with, zero for a stream.
	fail func(item string) int
	// size returns the number of events of the item's output and the bytes of each.
	size func(item string) (events, bytes int)

	mu       sync.Mutex
	version  map[string]int64 // by model
	loading  bool             // an order is in progress
	sequence int64
	running  int
	runs     []itemRun
	orders   []engineOrder
}

// itemRun is a run of an item.
type itemRun struct {
	item, tenant string
	at           time.Time
	status       int
}

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

func (e *env) newEngine(zone string, slots int, step time.Duration) (*engineTarget, error) {
	g := &engineTarget{
		env: e, id: "i-" + newID()[:8], zone: zone, slots: slots, step: step,
		version: map[string]int64{"m0": 1}, fail: func(string) int { return 0 }, size: func(string) (int, int) { return engineEvents, 0 },
	}
	address, err := e.serve(g)
	g.address = address
	go g.register()
	return g, err
}

func (g *engineTarget) register() {
	born := time.Now().UnixMilli()
	for sequence := 1; !g.gone.Load(); sequence++ {
		g.mu.Lock()
		models := g.models()
		g.mu.Unlock()
		g.env.store.Put("keyed.servers", g.id, map[string]any{
			"service": "sorter", "address": g.address, "zone": g.zone, "version": "v1", "slots": g.slots, "state": "ready",
			"cold-remaining-ms": 0, "stage": "hybrid", "models": models, "sequence": sequence, "born": born,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

func (g *engineTarget) models() []map[string]any {
	var out []map[string]any
	for name, v := range g.version {
		out = append(out, map[string]any{"name": name, "version": v, "adapters": []string{}})
	}
	return out
}

// ServeHTTP implements http.Handler.
func (g *engineTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != g.id {
		w.Header().Set("Instance-Id", g.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		g.report(w)
	case "/order":
		g.order(w, r)
	default:
		g.run(w, r, id)
	}
}

func (g *engineTarget) report(w http.ResponseWriter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "hybrid", "models": g.models(), "busy": g.loading, "sequence": g.sequence, "queued-count": 0,
		"running-count": g.running, "kv-used": 0, "kv-total": 43860, "handles": 0,
	})
}

func (g *engineTarget) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
	}
	data, _ := io.ReadAll(r.Body) // what is missing fails below
	g.mu.Lock()
	defer g.mu.Unlock()
	if json.Unmarshal(data, &o) != nil || g.version[o.Model] == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.orders = append(g.orders, engineOrder{g.id, o.Holder, o.Fence, o.Version, time.Now()})
	status := http.StatusAccepted
	switch {
	case g.loading, o.Expected != nil && *o.Expected != g.sequence:
		status = http.StatusConflict
	case g.version[o.Model] == o.Version:
		status = http.StatusOK
	default:
		g.sequence++
		g.loading = true
		time.AfterFunc(loadTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.loading, g.version[o.Model] = false, o.Version
		})
	}
	g.env.rec.printf("%s gets the order of %s with fence %d for version %d and answers %d", g.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

// run runs an item, from the event after Last-Event-Id on.
func (g *engineTarget) run(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	model := r.Header.Get("Model")
	g.mu.Lock()
	if g.running >= g.slots {
		g.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.running++
	version, status := g.version[model], g.fail(id)
	g.runs = append(g.runs, itemRun{id, r.Header.Get("Tenant"), time.Now(), status})
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
	}()
	g.env.rec.printf("%s runs item %s for tenant %q, status %d", g.id, id, r.Header.Get("Tenant"), status)
	w.Header().Set("Server-Stamp", g.id+"."+newID())
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero: from the first
	flusher := http.NewResponseController(w)
	events, bytes := g.size(id)
	for n := from + 1; n <= events; n++ {
		select {
		case <-time.After(g.step + time.Duration(mrand.Int64N(int64(g.step/4)+1))):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n, bytes))
		_ = flusher.Flush() // the context tells of the end
	}
}

// eventText is the data of an event of an item, of that many bytes at least.
func eventText(item string, n, bytes int) string {
	text := fmt.Sprintf("%s event %d", item, n)
	return text + strings.Repeat(" token", max(0, bytes-len(text)+5)/6)
}

// itemText is the whole output of an item.
func itemText(item string, events, bytes int) string {
	parts := make([]string, events)
	for n := range parts {
		parts[n] = eventText(item, n+1, bytes)
	}
	return strings.Join(parts, "\n")
}
