package operator

import (
	"context"
	"net/http"

	"github.com/amaranthfold/amaranthfold/internal/measure"
)

// measures serves the instance's measures as JSON.
func (s *Server) measures(w http.ResponseWriter, _ *http.Request) {
	report, err := s.Measures.Report()
	if err != nil {
		writeError(w, http.StatusInternalServerError, "unknown", err)
		return
	}
	writeJSON(w, report)
}

// Measures returns the instance's measures.
func (c *Client) Measures(ctx context.Context) (measure.Report, error) {
	var out measure.Report
	err := c.call(ctx, http.MethodGet, "/operator/measures", nil, &out)
	return out, err
}
