package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	jobInterval     = 700 * time.Millisecond
	requestInterval = 60 * time.Millisecond
	pollInterval    = 150 * time.Millisecond
	requestTimeout  = 9 * time.Second // longer than any wait within an instance
	tasksPerJob     = 6
	maxEvents       = 400 // of one task
)

// load acts as the callers and the trainer of a run: it sends plain requests and jobs to
// random instances and keeps the responses for check.
type load struct {
	env    *environment
	random *rand.Rand
	client *http.Client

	mu       sync.Mutex
	ticks    int // of the jobs
	jobs     map[string]*jobState
	statuses map[string]int // of plain requests, by id; zero: no complete response
}

// jobState is what the trainer has received for a job.
type jobState struct {
	events   map[string]int // number of events by task
	scored   bool           // the tasks have a score request
	accepted bool
	refused  int      // attempts with status 503 or 429
	attempts int      // to submit the job
	results  []string // task ids in the order in which the instances list the results
	texts    []string // of the results
}

func newLoad(e *environment) *load {
	return &load{
		env: e, random: rand.New(rand.NewPCG(e.cfg.Seed, 2)), client: &http.Client{Timeout: requestTimeout},
		jobs: map[string]*jobState{}, statuses: map[string]int{},
	}
}

// run sends jobs and plain requests for the duration of the run and returns when the last
// of them has ended, or at once when the context ends. A plain request with an even number
// is non-idempotent; check derives this from the number in its id.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	jobs := time.NewTicker(jobInterval)
	defer jobs.Stop()
	requests := time.NewTicker(requestInterval)
	defer requests.Stop()
	poison := time.NewTicker(poisonInterval)
	defer poison.Stop()
	streams := time.NewTicker(talkInterval)
	defer streams.Stop()
	strangers := time.NewTicker(strangerInterval)
	defer strangers.Stop()
	elapsed := time.After(l.env.cfg.Duration)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-elapsed:
			wg.Wait()
			return
		case <-jobs.C:
			for _, s := range l.nextSubmissions(n) {
				wg.Go(func() { l.submit(s) })
			}
		case <-poison.C:
			id, instance := fmt.Sprintf("poison-%d", n), l.random.IntN(len(l.env.instances))
			wg.Go(func() { l.sendPoison(id, instance) })
		case <-streams.C:
			id, instance := fmt.Sprintf("talk-%d", n), l.random.IntN(len(l.env.instances))
			wg.Go(func() { l.talk(id, instance) })
		case <-strangers.C:
			if l.env.upgrades() {
				continue
			}
			call, instance := n, l.random.IntN(len(l.env.instances))
			wg.Go(func() { l.callAsStranger(call, instance) })
		case <-requests.C:
			id, nonIdempotent := fmt.Sprintf("call-%d", n), n%2 == 0
			instance := l.random.IntN(len(l.env.instances))
			wg.Go(func() { l.sendPlain(id, nonIdempotent, instance) })
		}
	}
}

// send makes one request to an instance. Status zero means that no complete response
// arrived.
func (l *load) send(instance int, method, path, id, key string, body []byte) (int, []byte) {
	p := l.env.instances[instance%len(l.env.instances)]
	req, err := http.NewRequest(method, "http://"+p.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		l.env.recordViolation("%v", err)
		return 0, nil
	}
	req.Host = routeHost
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", "8000")
	res, err := l.client.Do(req)
	if err != nil {
		return 0, nil // the instance is down, paused or unreachable
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil // the response is truncated
	}
	return res.StatusCode, data
}

// sendPlain sends one plain request, whose body is its id. The targets echo the body, so
// a response with status 200 must end with the id.
func (l *load) sendPlain(id string, nonIdempotent bool, instance int) {
	path := "/confirm/x"
	if nonIdempotent {
		path = "/once/x"
	}
	status, body := l.send(instance, http.MethodPost, path, id, l.env.key(), []byte(id))
	if status == http.StatusOK && !bytes.HasSuffix(body, []byte(":"+id)) {
		l.env.recordViolation("request %s got the response %q", id, body)
	}
	l.env.checkInnocent(id, status, body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// submit sends a job, with up to three attempts at successive instances, and reads its
// results once it is accepted.
func (l *load) submit(s submission) {
	id, firstInstance := s.id, s.firstInstance
	j := &jobState{events: s.events, scored: l.env.cfg.Seed%2 == 0}
	l.mu.Lock()
	l.jobs[id] = j
	l.mu.Unlock()
	scorePath := ""
	if j.scored {
		scorePath = "/score/x"
	}
	body := hostplatform.ModelSubmission(s.model, 1, s.events, routeHost, scorePath)
	for i := range 3 {
		status, _ := l.send(firstInstance+i, http.MethodPost, "/train/"+id, id, l.env.key(), body)
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
			l.pollResults(id, j, firstInstance)
			return
		}
		time.Sleep(pollInterval)
	}
}

// pollResults reads a job's results up to 20 times, from the next instance each time, until
// they are complete.
func (l *load) pollResults(id string, j *jobState, instance int) {
	for range 20 {
		if l.readResults(id, j, instance) {
			return
		}
		instance++
		time.Sleep(pollInterval)
	}
}

// readResults reads a job's results from the start. It checks that each is correct and the same, at
// the position at which it was first read, and reports whether every task has a result.
func (l *load) readResults(id string, j *jobState, instance int) bool {
	status, body := l.send(instance, http.MethodGet, "/lots/"+id+"?after=0", "read", l.env.key(), nil)
	if status != http.StatusOK {
		return false
	}
	var page hostplatform.ResultsPage
	if err := json.Unmarshal(body, &page); err != nil {
		l.env.recordViolation("job %s: decode results %.80q: %v", id, body, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if page.Total != len(j.events) {
		l.env.recordViolation("job %s has %d tasks, want %d", id, page.Total, len(j.events))
	}
	for i, r := range page.Results {
		switch {
		case i < len(j.results) && j.results[i] != r.ID:
			l.env.recordViolation("job %s: the result at position %d was %s and is now %s", id, i, j.results[i], r.ID)
		case j.scored && r.Score != hostplatform.Signature("score-"+r.ID):
			l.env.recordViolation("job %s: task %s has the score %q", id, r.ID, r.Score)
		case r.State != "completed" || !isOutput(r.Text, r.ID, j.events[r.ID]):
			l.env.recordViolation("job %s: task %s is %s with an output of %d bytes", id, r.ID, r.State, len(r.Text))
		case i < len(j.texts) && j.texts[i] != r.Text:
			l.env.recordViolation("job %s: the text of task %s has changed since it was first read", id, r.ID)
		}
		if i < len(j.results) {
			continue
		}
		j.results, j.texts = append(j.results, r.ID), append(j.texts, r.Text)
		if err := checkRuns(r.ID, strings.Split(r.Text, "\n"), l.env.runOf); err != nil {
			l.env.recordViolation("job %s: task %s: %v", id, r.ID, err)
		}
	}
	return len(j.results) == len(j.events)
}

// isOutput reports whether text is the complete output of a task by one software version, apart
// from the marks of the runs.
func isOutput(text, id string, events int) bool {
	text = strings.Join(withoutMarks(strings.Split(text, "\n")), "\n")
	return slices.ContainsFunc(softwareVersions, func(v string) bool { return text == hostplatform.OutputOf(v, id, events) })
}

// waitForJobs waits until every accepted job is complete. A job that is not complete
// within the settle timeout counts as a violation. Its caller waits for run to return
// first, as it reads the jobs without the lock.
func (l *load) waitForJobs(ctx context.Context) {
	deadline := time.Now().Add(l.env.cfg.SettleTimeout)
	for id, j := range l.jobs {
		for instance := 0; j.accepted && ctx.Err() == nil && !l.readResults(id, j, instance); instance++ {
			if time.Now().After(deadline) {
				l.env.recordViolation("job %s: %d of %d results are listed %s after the last fault", id, len(j.results), len(j.events), l.env.cfg.SettleTimeout)
				break
			}
			time.Sleep(pollInterval)
		}
	}
}

// check compares the responses with what the targets and the platform have received,
// records every broken promise, and counts requests, jobs and results for the report.
//
// Status 503 always means that the request was not run, so a non-idempotent request that
// got it must not have run at a target. If all attempts to submit a job were refused, no
// target may have run any of its tasks.
func (e *environment) check(l *load) {
	e.checkLimits()
	e.checkEvacuations()
	e.checkReclamations()
	e.checkVersions()
	e.checkCold()
	runs, accounts, scoreAccounts := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, t := range e.targets {
		for _, r := range t.engine.Runs() {
			runs[r.ID]++
			if strings.HasPrefix(r.Path, "/score/") {
				scoreAccounts[r.Account] = true
				continue
			}
			accounts[r.Account] = true
		}
		for _, violation := range t.engine.Violations() {
			e.recordViolation("%s", violation)
		}
	}
	for _, violation := range e.cloud.Violations() {
		e.recordViolation("%s", violation)
	}
	e.checkStranger(runs)
	for account := range accounts {
		if account != "acme" {
			e.recordViolation("a request ran for account %q", account)
		}
	}
	for account := range scoreAccounts {
		if account != "" {
			e.recordViolation("a score request ran for account %q", account)
		}
	}
	for id, status := range l.statuses {
		var n int
		_, err := fmt.Sscanf(id, "call-%d", &n)
		nonIdempotent := err == nil && n%2 == 0
		if nonIdempotent && runs[id] > 1 {
			e.recordViolation("non-idempotent request %s ran %d times", id, runs[id])
		}
		if nonIdempotent && status == http.StatusServiceUnavailable && runs[id] > 0 {
			e.recordViolation("request %s got status 503 (not run) but ran", id)
		}
		e.report.Requests++
	}
	for id, j := range l.jobs {
		e.report.Jobs++
		e.report.Results += len(j.results)
		if j.refused < j.attempts {
			continue
		}
		for task := range j.events {
			if runs[task]+runs["score-"+task] > 0 {
				e.recordViolation("every attempt to submit job %s was refused, but its task %s ran", id, task)
			}
		}
	}
}
