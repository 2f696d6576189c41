package instance

import (
	"net/http"
	"strconv"
	"sync/atomic"
)

// The paths that load balancers probe, on the listeners for callers, operators and
// trainers.
const (
	healthPath = "/healthz" // status 200 while the process runs
	readyPath  = "/readyz"  // status 200 while new requests are accepted, otherwise 503
)

// drainRetryAfterSeconds is the Retry-After of a response from an instance that no longer
// accepts requests.
const drainRetryAfterSeconds = 1

// gate wraps a listener's HTTP handler: it counts the requests in flight, refuses new ones
// once it is closed, and serves the probes.
type gate struct {
	ready    func() bool
	inFlight atomic.Int64
	closed   atomic.Bool // set by a drain: new requests are refused
}

// wrap returns a handler that passes requests through the gate to h. Probes are not
// counted and never refused.
func (g *gate) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && (r.URL.Path == healthPath || r.URL.Path == readyPath) {
			g.probe(w, r.URL.Path)
			return
		}
		// Incremented before closed is checked, so that a drain waits for every admitted
		// request.
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		if g.closed.Load() {
			refuseDraining(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (g *gate) probe(w http.ResponseWriter, path string) {
	if path == readyPath && !g.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
}

// refuseDraining responds to a request that arrived after the gate was closed: it was not
// run and may be sent again.
func refuseDraining(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(drainRetryAfterSeconds))
	w.Header().Set("X-Amaranth-Outcome", "not run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"error":{"message":"the instance is stopping","type":"server_error","code":"instance_stopping","outcome":"not run"}}`)) // the caller may have disconnected
}
