package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Guards against a cause that is charged to the wrong connection: operators tell from the counts
// what destroys connections.
func TestConnectionsAreCountedByTheLossThatTheyReplace(t *testing.T) {
	n := New(Config{
		Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}, LogOutput: io.Discard,
		DialTarget: (&net.Dialer{}).DialContext,
	})
	block := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch r.URL.Path {
		case "/close":
			w.Header().Set("Connection", "close")
		case "/block":
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-block:
			}
		}
	}))
	defer target.Close()
	requests := 0
	get := func(path string) *http.Response {
		t.Helper()
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		requests++
		req.Header.Set("Request-Id", strconv.Itoa(requests)) // two without one would not share a connection
		res, err := n.TargetClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	finish := func(res *http.Response) {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	awaitOpen := func(want int) { // a loss is noted by the goroutine of its connection
		t.Helper()
		for deadline := time.Now().Add(time.Minute); n.OpenConnections(target.Listener.Addr().String()) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d connections are open, want %d", n.OpenConnections(target.Listener.Addr().String()), want)
			}
		}
	}
	finish(get("/"))          // first
	canceled := get("/block") // on the connection of the first
	beside := get("/block")   // more at once
	_ = canceled.Body.Close() // closes its connection: the body is unread
	awaitOpen(1)
	finish(get("/"))      // replaces the canceled one
	finish(get("/close")) // on the same, which the target closes
	awaitOpen(1)
	finish(get("/")) // replaces that
	close(block)
	finish(beside)
	var text strings.Builder
	n.Metrics.Set.WritePrometheus(&text)
	for _, want := range []string{`{cause="first"} 1`, `{cause="more at once"} 1`, `{cause="canceled"} 1`, `{cause="closed by target"} 1`} {
		if !strings.Contains(text.String(), "amaranth_hosted_target_connections_total"+want) {
			t.Errorf("the metrics lack %s:\n%s", want, text.String())
		}
	}
}

// jumpingClock is the system's clock, set ahead.
type jumpingClock struct {
	clock.System
	ahead atomic.Int64 // nanoseconds
}

func (c *jumpingClock) Now() time.Duration { return c.System.Now() + time.Duration(c.ahead.Load()) }

// coldStartNode returns a node that knows the target "a" at the address, of a service with a cold
// start, as warm.
func coldStartNode(t *testing.T, jumping *jumpingClock, address string) *Node {
	n := New(Config{Settings: platform.Settings{Store: platform.StoreSettings{Partitions: 1}}, LogOutput: io.Discard, Clock: jumping})
	go func() { _ = n.StateLoop.run(t.Context()) }()
	state := n.StateLoop
	state.Do(t.Context(), func() {
		state.catalog = &catalog.Catalog{Services: map[string]catalog.Service{"s": {ColdPerSecond: 4}}}
		state.targets.SetColdStarts(coldStarts(state.catalog), n.RegistryDelay())
		state.targets.Put(jumping.Now(), directory.Target{ID: "a", Service: "s", Address: address, Ready: true, ColdStated: true})
	})
	jumping.ahead.Add(int64(n.RegistryDelay()))
	state.update(t.Context(), func() {})
	return n
}

// Guards against a burst to a target that is back after some seconds: the doubt lasted from the
// first request without an answer.
func TestDoubtLastsFromTheLatestRequestWithoutAnswer(t *testing.T) {
	jumping := &jumpingClock{}
	n := coldStartNode(t, jumping, "10.0.0.1:1")
	for range 2 {
		target, _ := n.CurrentView().Target("a")
		n.NoteNoAnswer(t.Context(), target)
		jumping.ahead.Add(int64(n.RegistryDelay()) * 3 / 4)
	}
	n.StateLoop.update(t.Context(), func() {})
	if target, _ := n.CurrentView().Target("a"); !target.Cold {
		t.Error("the target counts as warm")
	}
}

// Guards against a burst to a target that has crashed and started again between two requests of an
// instance that cannot read the registry.
func TestTargetThatClosesConnectionsInUseMayBeCold(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		cold bool
	}{{0, true}, {2 * idleBeforeClose, false}} {
		jumping := &jumpingClock{}
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		address := server.Listener.Addr().String()
		n := coldStartNode(t, jumping, address)
		changed := n.StateLoop.NextChange()
		res, err := n.TargetClient.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		jumping.ahead.Add(int64(c.idle))
		server.CloseClientConnections()
		for deadline := time.Now().Add(time.Minute); n.OpenConnections(address) > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if c.cold {
			select {
			case <-changed:
			case <-time.After(10 * time.Second):
			}
		}
		if target, _ := n.CurrentView().Target("a"); target.Cold != c.cold {
			t.Errorf("closed after %s without use: cold is %t, want %t", c.idle, target.Cold, c.cold)
		}
	}
}
