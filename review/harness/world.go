package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond // of samplers
	storeAnswerTime   = 4 * time.Millisecond
	versionLoadTime   = 900 * time.Millisecond
	recordBytes       = 262144
	leaseTime         = 3 * time.Second
	usageWindowS      = 5
	settleTime        = time.Second // within which an accepted job is readable at all instances
	readyTimeout      = 20 * time.Second
	callerTimeout     = 12 * time.Second

	host       = "review.example"
	modelName  = "m"
	engineSvc  = "models"
	plainSvc   = "desk"
	tenantName = "tenant-1"
	apiKey     = "key-1"
)

// record is the file record.txt of a case, with what was sent, answered and run, and the calls of
// duties that the platform and the samplers have received.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	duties  []dutyCall
}

// dutyCall is a call of a holder about a subject of a duty.
type dutyCall struct {
	at              time.Time
	subject, holder string
	fence           int64
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *record) duty(subject, holder string, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duties = append(r.duties, dutyCall{time.Now(), subject, holder, fence})
}

func (r *record) dutyCalls() []dutyCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]dutyCall(nil), r.duties...)
}

// world is a small deployment: the platform, samplers and instances of the system.
type world struct {
	*record
	dir        string // of settings and logs
	trouble    bool
	retention  time.Duration // of the store
	statusS    int           // bound status-s
	fenced     bool          // bound require-fence
	store      *store
	samplers   []*sampler
	samplersMu sync.Mutex // guards samplers once the run has started
	instances  []*instance
	servers    []*http.Server
	cloud      string // address
	stopped    chan struct{}
	client     *http.Client
}

func newWorld(dir string, out io.Writer) *world {
	return &world{
		record: &record{out: out, started: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		retention: 300 * time.Second, statusS: 120, fenced: true, stopped: make(chan struct{}),
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// serve starts a stand-in on a loopback address and returns the address.
func (w *world) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ConnContext: withConnection}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with close
	return listener.Addr().String(), nil
}

// start starts the platform, the samplers and the instances with the names, publishes the first
// configuration, and waits until all instances are ready.
func (w *world) start(config map[string]any, samplers []*sampler, names ...string) error {
	w.store = newStore(w.retention)
	w.store.put("keyed.op", "config", config)
	address, err := w.serve(http.HandlerFunc(w.serveCloud))
	if err != nil {
		return err
	}
	w.cloud = address
	for _, s := range samplers {
		if err := w.addSampler(s); err != nil {
			return err
		}
	}
	for _, name := range names {
		in, err := w.newInstance(name)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range w.instances {
		if err := in.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	w.printf("all %d instances are ready", len(w.instances))
	return nil
}

// addSampler starts a sampler and its heartbeats.
func (w *world) addSampler(s *sampler) error {
	s.record = w.record
	if err := s.start(); err != nil {
		return err
	}
	w.samplersMu.Lock()
	w.samplers = append(w.samplers, s)
	w.samplersMu.Unlock()
	go w.sendHeartbeats(s)
	return nil
}

// sendHeartbeats writes the entry of a sampler at each heartbeat, and at once when a version has
// changed. Three heartbeats after a crash the entry is removed.
func (w *world) sendHeartbeats(s *sampler) {
	var sent time.Time
	var versions map[string]int64
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		crashed, left, changed := s.crashed, s.draining, s.changed || !maps.Equal(versions, s.versions)
		versions, s.changed = maps.Clone(s.versions), false
		s.mu.Unlock()
		switch {
		case crashed && (left || time.Since(sent) > 3*heartbeatInterval):
			w.store.put("keyed.servers", s.id, nil)
			return
		case !crashed && (changed || time.Since(sent) > heartbeatInterval):
			if e := s.entry(); e != nil {
				w.store.put("keyed.servers", s.id, e)
				sent = time.Now()
			}
		}
	}
}

// serveCloud accepts reports of usage.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if r.URL.Path != "/usage" || err != nil || json.NewDecoder(r.Body).Decode(&report) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Duty-Holder")
	w.printf("usage report: window %d, holder %s, fence %d, counts %v", report.Window, holder, fence, report.Counts)
	w.duty("usage", holder, fence)
	rw.WriteHeader(http.StatusOK)
}

// answer is the answer to a call. Status zero means that there was none.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends a call to an instance on a new connection.
func (w *world) call(in *instance, method, path string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+in.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the methods and paths are constants
	}
	req.Host = host
	req.Header.Set("Credential", apiKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := w.client.Do(req)
	if err != nil {
		w.printf("%s %s at %s: no answer: %v", method, path, in.name, err)
		return answer{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		w.printf("%s %s at %s: status %d, not whole: %v", method, path, in.name, res.StatusCode, err)
		return answer{}
	}
	return answer{res.StatusCode, res.Header, data}
}

// item is one item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
	Group   string            `json:"group"`
}

// items returns items of a batch submission, in groups of four.
func items(id, path string, count int, events int64) []item {
	out := make([]item, count)
	for i := range out {
		name := fmt.Sprintf("%s-%d", id, i)
		out[i] = item{
			ID: name, Path: path + name, Body: []byte("prompt of " + name), Tokens: 20 + events, Group: fmt.Sprintf("%s-g%d", id, i/4),
			Headers: map[string]string{
				"Model": modelName, "Token-Usage": fmt.Sprintf("20,%d", events), "Prompt-Prefix": fmt.Sprintf("%x:20", i/4+1),
			},
		}
	}
	return out
}

// submit sends a batch submission to an instance.
func (w *world) submit(in *instance, path, id string, step, minVersion int64, list []item) answer {
	body, err := json.Marshal(map[string]any{
		"step": step, "model": modelName, "min-version": minVersion, "group-count": (len(list) + 3) / 4, "items": list,
	})
	if err != nil {
		panic(err)
	}
	a := w.call(in, http.MethodPost, path+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000", "Content-Type": "application/json"}, body)
	w.printf("batch submission %s of %d items at %s: status %d", id, len(list), in.name, a.status)
	return a
}

// result is a result of a batch submission.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

type resultPage struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// readPage reads the results of a batch submission from a position on.
func (w *world) readPage(in *instance, id string, after int) (answer, resultPage) {
	a := w.call(in, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), map[string]string{"Wait-Ms": "500"}, nil)
	var page resultPage
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &page); err != nil {
			w.printf("results of %s at %s: %v", id, in.name, err)
			return answer{}, page
		}
	}
	return a, page
}

// readAll reads results, as a trainer does, until all are listed or the time is up.
func (w *world) readAll(id string, count int, limit time.Duration) []result {
	var out []result
	for n, end := 0, time.Now().Add(limit); len(out) < count && time.Now().Before(end); n++ {
		in := w.instances[n%len(w.instances)]
		a, page := w.readPage(in, id, len(out))
		for _, r := range page.Results {
			w.printf("result %d of %s: item %s %s, versions %v, %d bytes", len(out), id, r.ID, r.State, r.Versions, len(r.Text))
			out = append(out, r)
		}
		if a.status != http.StatusOK {
			w.printf("results of %s at %s: status %d", id, in.name, a.status)
		}
		if len(page.Results) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	return out
}

// close ends the instances and the stand-ins.
func (w *world) close() {
	close(w.stopped)
	for _, in := range w.instances {
		in.kill()
	}
	w.samplersMu.Lock()
	defer w.samplersMu.Unlock()
	for _, s := range w.samplers {
		s.crash()
	}
	for _, s := range w.servers {
		_ = s.Close() // the run is over
	}
}

var errCannotRun = errors.New("the case cannot run")

func (w *world) path(name string) string { return filepath.Join(w.dir, name) }
