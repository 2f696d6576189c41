package platform

import (
	"context"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// UsageReport contains the usage counts that are billed for one window (billing period).
type UsageReport struct {
	Deployment string               `json:"deployment"`
	Window     int64                `json:"window"` // start, Unix milliseconds
	Figures    []record.UsageFigure `json:"figures"`
	Late       []record.UsageFigure `json:"late,omitempty"` // part of Figures that was used before the window
	Reporter   string               `json:"reporter"`       // instance and incarnation
	Fencing    int64                `json:"fencing"`        // log offset at which the lease was acquired
}

// Usage is the client of the usage interface.
type Usage struct{ client }

// NewUsage returns a client of the usage interface at base, an HTTP URL.
func NewUsage(base string) *Usage { return &Usage{newClient(base)} }

// ReportIf reports the usage of one window. check, which may be nil, is run as in
// Orders.SendIf. A window may be reported again with the same usage counts. The platform
// keeps every report that it receives.
func (u *Usage) ReportIf(ctx context.Context, r UsageReport, check Check) error {
	return u.callIf(ctx, http.MethodPost, "/usage", r, nil, check)
}
