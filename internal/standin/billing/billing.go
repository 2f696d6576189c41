// Package billing is a stand-in for the platform's usage interface. It keeps every
// report, also repeated ones, so that tests can detect a window that was reported
// again with different usage counts. Fault switches cause an outage and drop
// responses.
package billing

import (
	"net/http"
	"sync"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Sink receives and keeps usage reports.
type Sink struct {
	mu            sync.Mutex
	reports       []platform.UsageReport
	down          bool
	dropResponses int
}

// New returns an empty sink.
func New() *Sink { return &Sink{} }

// SetDown starts or ends an outage.
func (s *Sink) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// DropResponses drops the responses to the next n reports. The reports take effect.
func (s *Sink) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// Reports returns every report received, oldest first. Reports that arrive during
// an outage are not received.
func (s *Sink) Reports() []platform.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.UsageReport(nil), s.reports...)
}

// Handler serves the usage interface.
func (s *Sink) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", s.handle)
	return mux
}

func (s *Sink) handle(w http.ResponseWriter, r *http.Request) {
	var report platform.UsageReport
	if !standin.ReadJSON(w, r, &report) {
		return
	}
	up, drop := s.record(report)
	if !up {
		http.Error(w, "usage interface is down", http.StatusServiceUnavailable)
		return
	}
	if drop {
		standin.AbortConnection(w)
	}
	w.WriteHeader(http.StatusNoContent)
}

// record keeps the report, unless there is an outage. drop reports whether the response
// is to be dropped.
func (s *Sink) record(report platform.UsageReport) (up, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, false
	}
	s.reports = append(s.reports, report)
	if s.dropResponses > 0 {
		s.dropResponses--
		return true, true
	}
	return true, false
}
