package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	jobInterval  = 700 * time.Millisecond
	callInterval = 60 * time.Millisecond
	readInterval = 150 * time.Millisecond
	callTimeout  = 9 * time.Second // above every wait that an instance may take
	tasksPerJob  = 6
	maxEvents    = 400
)

// load is the callers and the trainer of a run.
type load struct {
	env    *environment
	random *rand.Rand
	client *http.Client

	mu    sync.Mutex
	jobs  map[string]*jobState
	calls map[string]int // status by request id; zero: no answer
}

// jobState is what the trainer has seen of a job.
type jobState struct {
	events   map[string]int // by task
	accepted bool
	refused  int // attempts that were answered 503 or 429
	attempts int
	results  []string // ids by position
}

func newLoad(w *environment) *load {
	return &load{
		env: w, random: rand.New(rand.NewPCG(w.cfg.Seed, 2)), client: &http.Client{Timeout: callTimeout},
		jobs: map[string]*jobState{}, calls: map[string]int{},
	}
}

// run makes load until the run's length is over.
func (l *load) run(ctx context.Context) {
	var group sync.WaitGroup
	jobs := time.NewTicker(jobInterval)
	defer jobs.Stop()
	calls := time.NewTicker(callInterval)
	defer calls.Stop()
	over := time.After(l.env.cfg.Duration)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-over:
			group.Wait()
			return
		case <-jobs.C:
			id, events := fmt.Sprintf("job-%d", n), l.randomTasks(n)
			first := l.random.IntN(len(l.env.instances))
			group.Go(func() { l.submit(id, events, first) })
		case <-calls.C:
			id, once := fmt.Sprintf("call-%d", n), n%2 == 0
			at := l.random.IntN(len(l.env.instances))
			group.Go(func() { l.call(id, once, at) })
		}
	}
}

func (l *load) randomTasks(n int) map[string]int {
	events := map[string]int{}
	for i := range tasksPerJob {
		events[fmt.Sprintf("task-%d-%d", n, i)] = 1 + l.random.IntN(maxEvents)
	}
	return events
}

// send makes one call to an instance. A status of zero means that no whole answer came.
func (l *load) send(at int, method, path, id, key string, body []byte) (int, []byte) {
	p := l.env.instances[at%len(l.env.instances)]
	req, err := http.NewRequest(method, "http://"+p.front+path, bytes.NewReader(body))
	if err != nil {
		l.env.recordViolation("%v", err)
		return 0, nil
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", "8000")
	res, err := l.client.Do(req)
	if err != nil {
		return 0, nil // the instance is down, paused or cut
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil // cut short: no whole answer
	}
	return res.StatusCode, data
}

// call sends one request and checks its answer.
func (l *load) call(id string, once bool, at int) {
	path := "/confirm/x"
	if once {
		path = "/once/x"
	}
	status, body := l.send(at, http.MethodPost, path, id, l.env.key(), []byte(id))
	if status == http.StatusOK && !bytes.HasSuffix(body, []byte(":"+id)) {
		l.env.recordViolation("request %s got the answer %q", id, body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = status
}

// submit hands a job in, at another instance after each failure.
func (l *load) submit(id string, events map[string]int, first int) {
	j := &jobState{events: events}
	l.mu.Lock()
	l.jobs[id] = j
	l.mu.Unlock()
	body := hostplatform.Submission(1, events)
	for i := range 3 {
		status, _ := l.send(first+i, http.MethodPost, "/train/"+id, id, l.env.key(), body)
		l.mu.Lock()
		j.attempts++
		switch status {
		case http.StatusAccepted:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			j.refused++
		}
		l.mu.Unlock()
		if status == http.StatusAccepted {
			l.read(id, j, first)
			return
		}
		time.Sleep(readInterval)
	}
}

// read follows a job's results for a while, at changing instances.
func (l *load) read(id string, j *jobState, at int) {
	for range 20 {
		if l.readOnce(id, j, at) {
			return
		}
		at++
		time.Sleep(readInterval)
	}
}

// readOnce reads a job's results from the start and checks them against what was
// read before. It reports whether they are whole.
func (l *load) readOnce(id string, j *jobState, at int) bool {
	status, body := l.send(at, http.MethodGet, "/lots/"+id+"?after=0", "read", l.env.key(), nil)
	if status != http.StatusOK {
		return false
	}
	var page hostplatform.ResultsPage
	if err := json.Unmarshal(body, &page); err != nil {
		l.env.recordViolation("job %s: results %.80q: %v", id, body, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if page.Total != len(j.events) {
		l.env.recordViolation("job %s has %d tasks, not %d", id, page.Total, len(j.events))
	}
	for i, r := range page.Results {
		switch {
		case i < len(j.results) && j.results[i] != r.ID:
			l.env.recordViolation("job %s: position %d held %s, now %s", id, i, j.results[i], r.ID)
		case r.State != "completed" || r.Text != hostplatform.Text(r.ID, j.events[r.ID]):
			l.env.recordViolation("job %s: task %s is %s with %d bytes", id, r.ID, r.State, len(r.Text))
		}
		if i >= len(j.results) {
			j.results = append(j.results, r.ID)
		}
	}
	return len(j.results) == len(j.events)
}

// waitForJobs waits until every accepted job is whole.
func (l *load) waitForJobs(ctx context.Context) {
	deadline := time.Now().Add(l.env.cfg.SettleTimeout)
	for id, j := range l.jobs {
		for at := 0; j.accepted && ctx.Err() == nil && !l.readOnce(id, j, at); at++ {
			if time.Now().After(deadline) {
				l.env.recordViolation("job %s: %d of %d results are listed %s after the last fault", id, len(j.results), len(j.events), l.env.cfg.SettleTimeout)
				break
			}
			time.Sleep(readInterval)
		}
	}
}

// check looks for broken promises in what targets and the platform have seen.
func (w *environment) check(l *load) {
	runs, keys := map[string]int{}, map[string]bool{}
	for _, t := range w.targets {
		for _, r := range t.engine.Runs() {
			runs[r.ID]++
			keys[r.Account] = true
		}
		for _, b := range t.engine.Violations() {
			w.recordViolation("%s", b)
		}
	}
	for _, b := range w.cloud.Violations() {
		w.recordViolation("%s", b)
	}
	for account := range keys {
		if account != "acme" {
			w.recordViolation("a request ran for account %q", account)
		}
	}
	for id, status := range l.calls {
		var n int
		_, err := fmt.Sscanf(id, "call-%d", &n)
		once := err == nil && n%2 == 0
		if once && runs[id] > 1 {
			w.recordViolation("request %s may not be repeated and ran %d times", id, runs[id])
		}
		if once && status == http.StatusServiceUnavailable && runs[id] > 0 {
			w.recordViolation("request %s was answered not run, and ran", id)
		}
		w.report.Requests++
	}
	for id, j := range l.jobs {
		w.report.Jobs++
		w.report.Results += len(j.results)
		if j.refused < j.attempts {
			continue
		}
		for task := range j.events {
			if runs[task] > 0 {
				w.recordViolation("job %s was refused every time, and its task %s ran", id, task)
			}
		}
	}
}
