package hostplatform

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Cloud is the usage and scaling interface.
type Cloud struct {
	mu           sync.Mutex
	highestFence int64
	holders      map[int64]string // by fencing number
	windows      map[int64]map[string]int64
	violations   []string
}

// NewCloud returns an interface that has accepted nothing.
func NewCloud() *Cloud {
	return &Cloud{holders: map[int64]string{}, windows: map[int64]map[string]int64{}}
}

// Violations lists what callers did that must never happen.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RequestCounts returns the accepted requests by account.
func (c *Cloud) RequestCounts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int64{}
	for _, counts := range c.windows {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	if r.URL.Path != "/usage" {
		http.NotFound(w, r)
		return
	}
	if !standin.ReadJSON(w, r, &report) {
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil {
		http.Error(w, "fence", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := r.Header.Get("Duty-Holder")
	if known := c.holders[fence]; known != "" && known != holder {
		c.violations = append(c.violations, fmt.Sprintf("%s and %s both used the fencing number %d", known, holder, fence))
	}
	c.holders[fence] = holder
	if fence < c.highestFence {
		http.Error(w, "fenced", http.StatusConflict)
		return
	}
	c.highestFence = fence
	if known, repeated := c.windows[report.Window]; repeated && !maps.Equal(known, report.Counts) {
		c.violations = append(c.violations, fmt.Sprintf("window %d was reported with %v and %v", report.Window, known, report.Counts))
	}
	c.windows[report.Window] = report.Counts
}
