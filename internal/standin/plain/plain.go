// Package plain is a stand-in for a target of a plain service with non-idempotent
// calls. It echoes every request and counts the runs of each request id, so that
// tests can detect a request that ran twice. Fault switches delay requests and drop
// responses.
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// RequestIDHeader is the name of the header with the request id that the caller chose.
const RequestIDHeader = "X-Request-Id"

// Service is one target of a plain service.
type Service struct {
	mu            sync.Mutex
	runCounts     map[string]int // by request id
	headers       []http.Header
	queries       []string
	dropResponses int
	delay         time.Duration
	inFlight      int
}

// New returns a service that has run no request.
func New() *Service { return &Service{runCounts: map[string]int{}} }

// Response is the body of every response.
type Response struct {
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Echo      string `json:"echo"`
	Run       int    `json:"run"` // number of runs of this request id here, this one included
}

// DropResponses drops the responses to the next n requests. The requests run.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// SetDelay sets the time from a request to its response.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// RunCounts returns a copy of the run counts by request id.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runCounts))
	for id, n := range s.runCounts {
		out[id] = n
	}
	return out
}

// ReceivedRequests returns the headers and the raw queries of all requests, oldest
// first.
func (s *Service) ReceivedRequests() ([]http.Header, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...), append([]string(nil), s.queries...)
}

// InFlight returns the number of requests in flight.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(s.handle)
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request body is unreadable", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(RequestIDHeader)
	run, drop, delay := s.begin(id, r)
	defer s.end()
	time.Sleep(delay)
	if drop {
		standin.AbortConnection(w)
	}
	standin.WriteJSON(w, Response{RequestID: id, Path: r.URL.Path, Echo: string(body), Run: run})
}

// begin records a request. It returns the number of runs of its id, this one included,
// and the faults that apply to it.
func (s *Service) begin(id string, r *http.Request) (run int, drop bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[id]++
	s.inFlight++
	s.headers = append(s.headers, r.Header.Clone())
	s.queries = append(s.queries, r.URL.RawQuery)
	if s.dropResponses > 0 {
		s.dropResponses--
		drop = true
	}
	return s.runCounts[id], drop, s.delay
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
