package platform

import (
	"context"
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// UsageReport is the bill of one window.
type UsageReport struct {
	Deployment string               `json:"deployment"`
	Window     int64                `json:"window"` // start, Unix milliseconds
	Figures    []record.UsageFigure `json:"figures"`
	Late       []record.UsageFigure `json:"late,omitempty"` // part of Figures used before the window
	Reporter   string               `json:"reporter"`       // instance and incarnation
	Fencing    int64                `json:"fencing"`
}

// Usage is the client of the usage interface.
type Usage struct{ client }

// NewUsage returns a client of the usage interface at base, an HTTP URL.
func NewUsage(base string) *Usage { return &Usage{newClient(base)} }

// ReportIf sends one window, with a check on the open connection that may be nil;
// see Orders.SendIf. The interface accepts a window again with the same figures
// and keeps every report that it received.
func (u *Usage) ReportIf(ctx context.Context, r UsageReport, check Check) error {
	return u.callIf(ctx, http.MethodPost, "/usage", r, nil, check)
}
