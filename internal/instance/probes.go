package instance

import (
	"net/http"
	"strconv"
	"sync/atomic"
)

// The paths that balancers probe, on the listeners for callers and operators.
const (
	healthPath = "/healthz" // 200 while the process runs
	readyPath  = "/readyz"  // 200 while new requests are wanted
)

// drainRetryAfter is the pause, in seconds, that a caller is told who comes to
// an instance that has stopped taking requests.
const drainRetryAfter = 1

// gate counts the requests in flight of a listener and answers probes.
type gate struct {
	ready    func() bool
	inFlight atomic.Int64
	closed   atomic.Bool // new requests are refused
}

// wrap puts the gate before h.
func (g *gate) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && (r.URL.Path == healthPath || r.URL.Path == readyPath) {
			g.probe(w, r.URL.Path)
			return
		}
		// The count goes up before the look at closed: a request that passes is
		// one that a drain waits for.
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
	_, _ = w.Write([]byte("ok\n")) // the prober may be gone
}

// refuseDraining answers a request that came too late. Nothing has run.
func refuseDraining(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(drainRetryAfter))
	w.Header().Set("X-Amaranth-Outcome", "not run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"error":{"message":"the instance is stopping","type":"server_error","code":"instance_stopping","outcome":"not run"}}`)) // the caller may be gone
}
