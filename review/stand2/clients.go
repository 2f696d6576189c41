package main

import (
	"bytes"
	"context"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	host        = "desk.example"
	plainPrefix = "/hold/"
	batchPrefix = "/sort/"
	tenant      = "nowu640"
	apiKey      = "3d3zji9n73hh2b9wu3fe"
)

var zones = []string{"kingston", "spanish-town", "portmore"}

// plainRoute returns a route of requests of a kind to the service "desk".
func plainRoute(kind string) map[string]any {
	return map[string]any{
		"name": "r-hold", "host": host, "path-prefix": plainPrefix, "kind": kind, "timeout-ms": 2000,
		"target-latency-ms": 150, "priority": 2, "service": "desk", "max-attempts": 5, "public": false,
	}
}

// putConfig writes a version of the config with the routes.
func (e *env) putConfig(version int, routes ...map[string]any) {
	e.rec.printf("config %d written", version)
	e.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false},
			{
				"name": "sorter", "health-path": "/health", "max-connections": 150, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kv-capacity": 43860, "models": []map[string]any{{"name": "m0"}}},
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}},
	})
}

// attempt is one attempt of a client, with its own id.
type attempt struct {
	id       string
	instance string
	sentAt   time.Time
	endedAt  time.Time
	status   int // zero: no answer
}

// loadConfig states the load of some clients, each of which sends one request after the other.
type loadConfig struct {
	clients int
	path    string
	budget  time.Duration
	retries int
	body    int // bytes
	// idempotent requests are sent again after any failure.
	idempotent bool
}

// load is what the clients have sent.
type load struct {
	env    *env
	config loadConfig
	cancel context.CancelFunc
	ended  sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

func (e *env) startLoad(c loadConfig) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{env: e, config: c, cancel: cancel}
	for i := range c.clients {
		l.ended.Go(func() { l.client(ctx, i) })
	}
	return l
}

// stop ends the clients after their requests and returns the attempts.
func (l *load) stop() []attempt {
	l.cancel()
	l.ended.Wait()
	return l.attempts
}

// client sends requests to the instance of its choice on a kept connection, and retries on a new one
// at another instance.
func (l *load) client(ctx context.Context, n int) {
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		in := l.env.instances[n%len(l.env.instances)]
		deadline := time.Now().Add(l.config.budget)
		status, after := l.send(kept, in, deadline)
		for try := 1; try <= l.config.retries && l.mayRetry(status) && time.Now().Add(after).Before(deadline); try++ {
			time.Sleep(after)
			in = l.env.instances[(n+try)%len(l.env.instances)]
			once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			status, after = l.send(once, in, deadline)
		}
		time.Sleep(time.Duration(mrand.IntN(20)) * time.Millisecond)
	}
}

// mayRetry reports whether a client sends a request again: one that may not be repeated only after a
// promise.
func (l *load) mayRetry(status int) bool {
	return promisesNotRun(status) || l.config.idempotent && (status == 0 || status >= http.StatusInternalServerError)
}

// send makes one attempt and returns its status and Retry-After.
func (l *load) send(client *http.Client, in *instance, deadline time.Time) (status int, after time.Duration) {
	id, sentAt, left := newID(), time.Now(), time.Until(deadline)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.front+l.config.path+"2f", bytes.NewReader(make([]byte, l.config.body)))
	if err != nil {
		return 0, 0
	}
	req.GetBody = nil // the client library must not send it again
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Credential", apiKey)
	l.env.rec.printf("client sends %s to %s", id, in.name)
	res, err := client.Do(req)
	if err == nil {
		status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if seconds, parseErr := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); parseErr == nil {
			after = min(time.Duration(seconds*float64(time.Second)), left/3)
		}
	}
	if err != nil {
		status = 0
	}
	l.env.rec.printf("client has for %s: %d %v", id, status, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, attempt{id, in.name, sentAt, time.Now(), status})
	return status, after
}

// promisesNotRun reports whether a status means that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
