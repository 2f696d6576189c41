package platform

import (
	"context"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// UsageReport contains the usage that is billed for one window, a billing period.
type UsageReport struct {
	Deployment string               `json:"deployment"`
	Window     int64                `json:"window"` // start, Unix milliseconds
	Figures    []record.UsageFigure `json:"figures"`
	Late       []record.UsageFigure `json:"late,omitempty"` // part of Figures from earlier windows that arrived late
	Reporter   string               `json:"reporter"`       // instance and incarnation
	Fencing    int64                `json:"fencing"`
}

// Usage is the client of the usage interface.
type Usage struct{ client }

// NewUsage returns a client of the usage interface at base, an HTTP URL.
func NewUsage(base string) *Usage { return &Usage{newClient(base)} }

// ReportIf reports one window, with a check on the open connection, which may be nil;
// see Orders.SendIf. A window may be reported again with the same figures. The interface
// keeps every report that it receives.
func (u *Usage) ReportIf(ctx context.Context, r UsageReport, check Check) error {
	return u.callIf(ctx, http.MethodPost, "/usage", r, nil, check)
}
