package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Bounds of the settings.
const (
	configBound = 2 * time.Second // config-ms
	settleBound = time.Second     // settle-ms
)

// engineEvents is the number of events of a usual output, engineStep the time between two events.
const (
	engineEvents = 19
	engineStep   = 40 * time.Millisecond
)

// batchRoute returns a route of batch submissions to the service "sorter".
func batchRoute(public bool) map[string]any {
	return map[string]any{
		"name": "r-sort", "host": host, "path-prefix": batchPrefix, "kind": "rollout", "timeout-ms": 10000,
		"target-latency-ms": 400, "priority": 1, "service": "sorter", "max-attempts": 3, "retention-s": 40.0, "result-due-ms": 7500,
		"single-version": false, "public": public, "sticky": true, "resumable": true,
	}
}

// item is an item of a batch submission.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// submission is a batch submission.
type submission struct {
	id    string
	items []item
}

func newSubmission(groups, perGroup int) *submission {
	s := &submission{id: newID()}
	for g := range groups {
		for range perGroup {
			s.items = append(s.items, item{
				ID: newID(), Path: batchPrefix + "3/91c4", Body: bytes.Repeat([]byte("b"), 600), Tokens: 400, Group: fmt.Sprintf("g%s%d", s.id[:4], g),
				Headers: map[string]string{"Model": "m0", "Token-Usage": "271,129", "Prompt-Prefix": "9c2e41:255,5d07b8:16"},
			})
		}
	}
	return s
}

// call makes a call about a batch submission on a new connection.
func (e *env) call(in *instance, method, path, id string, body []byte, limit time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Credential", apiKey)
	if id != "" {
		req.Header.Set("Request-Id", id)
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		e.rec.printf("%s %s at %s: %v", method, path, in.name, err)
		return 0, nil
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(res.Body)
	e.rec.printf("%s %s at %s: %d, %d bytes, %v: %.80q", method, path, in.name, res.StatusCode, len(answer), err, answer)
	return res.StatusCode, answer
}

// submit submits the batch submission at an instance.
func (e *env) submit(in *instance, s *submission) (status int) {
	body, err := json.Marshal(map[string]any{"step": 0, "model": "m0", "min-version": 1, "group-count": 2, "items": s.items})
	if err != nil {
		return 0
	}
	status, _ = e.call(in, http.MethodPost, batchPrefix+s.id[:6], s.id, body, 5*time.Second)
	return status
}

// result is a result of a batch submission.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// page is the answer to a read of results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads the results from a position on.
func (e *env) read(in *instance, s *submission, after int) (status int, p page) {
	status, body := e.call(in, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", s.id, after), "", nil, 3*time.Second)
	if status == http.StatusOK && json.Unmarshal(body, &p) != nil {
		return 0, p
	}
	return status, p
}

// startBatch starts three targets of each service and three instances, with the routes.
func (e *env) startBatch(routes ...map[string]any) error {
	work := func() time.Duration { return 25 * time.Millisecond }
	for _, zone := range zones {
		engine, err := e.newEngine(zone, 12, engineStep)
		if err != nil {
			return err
		}
		e.engines = append(e.engines, engine)
		if _, err := e.newPlainTarget("desk", zone, 6, 6, work); err != nil {
			return err
		}
	}
	e.putConfig(1, routes...)
	for _, zone := range zones {
		if _, err := e.newInstance(zone, e.storeAt); err != nil {
			return err
		}
	}
	return e.awaitReady(20 * time.Second)
}
