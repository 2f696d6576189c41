package hostplatform

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Cloud serves the /usage and /scale calls of the platform's cloud interface. It accepts usage
// reports whose fencing number is not stale. After LeaveUnchecked it accepts them all.
type Cloud struct {
	mu             sync.Mutex
	unchecked      bool
	leaseTerm      time.Duration
	excused        func() bool
	lastCall       map[string]time.Time // by holder
	tookTurn       map[string]bool      // holders after whose last call another holder has called
	highestFencing int64
	holders        map[int64]string           // lease holders by fencing number
	reportedCounts map[int64]map[string]int64 // requests by window, then by account
	violations     []string
	orders         []ScaleOrder
	refusesOrders  map[string]bool // by data centre
	refusedWindow  int64           // see RefuseReports; zero: none
	refusedReports int
}

// ScaleOrder is an accepted order of targets.
type ScaleOrder struct {
	Service    string `json:"service"`
	DataCentre string `json:"zone"`
	Count      int    `json:"group-count"`
}

// RefuseOrders makes a data centre answer orders of targets that none are available.
func (c *Cloud) RefuseOrders(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusesOrders[dataCentre] = true
}

// RefuseReports makes the platform refuse all reports of the window after those that were reported
// as invalid.
func (c *Cloud) RefuseReports() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.reportedCounts {
		c.refusedWindow = max(c.refusedWindow, window+1)
	}
}

// Reports returns how many reports were refused by RefuseReports, and how many windows were reported.
func (c *Cloud) Reports() (refused, windows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedReports, len(c.reportedCounts)
}

// ScaleOrders returns the accepted orders of targets.
func (c *Cloud) ScaleOrders() []ScaleOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ScaleOrder(nil), c.orders...)
}

// scale serves an order of targets, without its effect.
func (c *Cloud) scale(w http.ResponseWriter, r *http.Request) {
	var o ScaleOrder
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusesOrders[o.DataCentre] {
		http.Error(w, "none available", http.StatusConflict)
		return
	}
	c.orders = append(c.orders, o)
}

// NewCloud returns a Cloud that has received no reports.
func NewCloud() *Cloud {
	return &Cloud{holders: map[int64]string{}, reportedCounts: map[int64]map[string]int64{}, lastCall: map[string]time.Time{}, tookTurn: map[string]bool{}, refusesOrders: map[string]bool{}}
}

// LeaveUnchecked makes the platform accept stale fencing numbers. A call with one is then a
// violation, and so are two holders that take turns within leaseTerm, unless excused reports
// that the call may have been on its way for longer.
func (c *Cloud) LeaveUnchecked(leaseTerm time.Duration, excused func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unchecked, c.leaseTerm, c.excused = true, leaseTerm, excused
}

// checkTurn records violations by a call that the platform does not check.
func (c *Cloud) checkTurn(holder string, fencing int64) {
	now := time.Now()
	if fencing < c.highestFencing && !c.excused() {
		c.violations = append(c.violations, fmt.Sprintf("%s called with the fencing number %d after %d", holder, fencing, c.highestFencing))
	}
	if since := now.Sub(c.lastCall[holder]); c.tookTurn[holder] && since < c.leaseTerm && !c.excused() {
		c.violations = append(c.violations, fmt.Sprintf("%s took turns with another holder within %s", holder, since))
	}
	for other := range c.lastCall {
		c.tookTurn[other] = c.tookTurn[other] || other != holder
	}
	c.lastCall[holder], c.tookTurn[holder] = now, false
}

// Violations returns descriptions of calls that must never happen: two lease holders
// with one fencing number, or a window reported again with different counts.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RequestCounts returns the number of reported requests by account, summed over all
// windows.
func (c *Cloud) RequestCounts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int64{}
	for _, counts := range c.reportedCounts {
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
	if r.URL.Path == "/scale" {
		c.scale(w, r)
		return
	}
	if r.URL.Path != "/usage" {
		http.NotFound(w, r)
		return
	}
	if !standin.ReadJSON(w, r, &report) {
		return
	}
	fencing, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil {
		http.Error(w, "fence", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := r.Header.Get("Duty-Holder")
	if previous := c.holders[fencing]; previous != "" && previous != holder {
		c.violations = append(c.violations, fmt.Sprintf("%s and %s both used the fencing number %d", previous, holder, fencing))
	}
	c.holders[fencing] = holder
	if c.unchecked {
		c.checkTurn(holder, fencing)
	} else if fencing < c.highestFencing {
		http.Error(w, "fenced", http.StatusConflict)
		return
	}
	c.highestFencing = max(c.highestFencing, fencing)
	if report.Window == c.refusedWindow {
		c.refusedReports++
		http.Error(w, "window", http.StatusBadRequest)
		return
	}
	if previous, repeated := c.reportedCounts[report.Window]; repeated && !maps.Equal(previous, report.Counts) {
		c.violations = append(c.violations, fmt.Sprintf("window %d was reported with %v and %v", report.Window, previous, report.Counts))
	}
	c.reportedCounts[report.Window] = report.Counts
}
