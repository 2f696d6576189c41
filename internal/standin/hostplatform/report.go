package hostplatform

import "net/http"

// SetBeforeReport sets a function that is called with each request for a report before the state
// is read that it states.
func (e *Engine) SetBeforeReport(f func(w http.ResponseWriter)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beforeReport = f
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	before := e.beforeReport
	e.mu.Unlock()
	if before != nil {
		before(w)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"busy": false, "sequence": e.sequence, "models": e.modelList(), "born": e.startedAt,
	})
}
