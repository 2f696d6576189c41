package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/metering"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

// BillerOptions configure a Biller.
type BillerOptions struct {
	Loop     *control.Loop
	Clock    clock.Clock
	Usage    *platform.Usage
	Meter    *metering.Meter
	Events   *events.Recorder
	Measures *measure.Measures // nil: no metrics
}

// Biller bills usage while its instance holds the deployment's lease: it seals usage
// windows, that is, fixes their billed counts in the log, and reports the sealed windows
// to the platform.
type Biller struct {
	BillerOptions
	heldTerm heldTerm
}

// NewBiller returns a biller that does nothing until Run is called.
func NewBiller(o BillerOptions) *Biller { return &Biller{BillerOptions: o} }

// Run reconciles at every interval until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { b.reconcile(ctx) })
}

// reconcile seals the oldest window that is due, then reports sealed windows, oldest
// first, until a report fails.
func (b *Biller) reconcile(ctx context.Context) {
	s := b.Loop.Snapshot()
	if s.Config == nil {
		return
	}
	lease, held := b.Loop.Held(control.DeploymentLease, 0)
	acquiredAt := b.heldTerm.observe(b.Clock.Now(), lease.Fencing, held)
	if !held {
		return
	}
	// After a lease holder has acquired the lease, the instances resend their unsealed
	// counts to it within one grace period. No window is sealed before.
	if b.Clock.Now()-acquiredAt >= s.Config.Usage.Grace {
		b.seal(ctx, s, lease)
	}
	for _, window := range unreportedWindows(s.Windows) {
		if !b.report(ctx, s, window) {
			return
		}
	}
}

// unreportedWindows returns the sealed windows that the log does not record as reported,
// oldest first.
func unreportedWindows(windows map[int64]fold.Window) []fold.Window {
	var out []fold.Window
	for _, start := range slices.Sorted(maps.Keys(windows)) {
		if w := windows[start]; !w.Reported {
			out = append(out, w)
		}
	}
	return out
}

// seal appends the seal of the oldest window that is due, if any.
func (b *Biller) seal(ctx context.Context, s *control.Snapshot, lease control.HeldLease) {
	timing := usage.WindowConfig{Window: s.Config.Usage.Window, Grace: s.Config.Usage.Grace}
	seal, due := b.Meter.NextSeal(s.Billing, b.Clock.Wall(), timing, metering.ListedSources(s))
	if !due {
		return
	}
	seal.Lease = control.DeploymentLease
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	window := events.F("window", fmt.Sprint(seal.Window))
	if _, err := b.Loop.Append(ctx, lease.Fencing, seal); err != nil {
		b.Events.Record("usage seal failed", window, events.F("error", err.Error()))
		return
	}
	b.Events.Record("usage sealed", window, events.F("late", fmt.Sprint(len(seal.Late) > 0)))
}

// report sends a sealed window's usage counts and returns whether the platform accepted
// them. Right before the counts are sent on the open connection, the lease must still be
// held for the flight time, the maximum duration of the call (control.orderFlight).
func (b *Biller) report(ctx context.Context, s *control.Snapshot, w fold.Window) bool {
	flight := s.Config.Control.OrderFlight
	lease, held := b.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, min(flight, lease.ExpiresAt-b.Clock.Now()))
	defer cancel()
	report := platform.UsageReport{
		Deployment: s.Config.Deployment, Window: w.Start, Figures: w.Figures, Late: w.Late,
		Reporter: b.Loop.Holder(), Fencing: int64(lease.Fencing),
	}
	window := events.F("window", fmt.Sprint(w.Start))
	if err := b.Usage.ReportIf(callCtx, report, leaseCheck(b.Loop, lease.Fencing, flight)); err != nil {
		b.Events.Record("usage report failed", window, events.F("error", err.Error()))
		if errors.Is(err, platform.ErrRejected) {
			b.Measures.RecordIncorrectReport()
		}
		return false
	}
	b.Events.Record("usage reported", window)
	delay := b.Clock.Wall().Sub(time.UnixMilli(w.End).Add(s.Config.Usage.Grace))
	b.Measures.RecordUsageReport(delay, s.Config.Usage.Window, len(w.Late) > 0)
	appendCtx, cancelAppend := context.WithTimeout(ctx, appendTimeout)
	defer cancelAppend()
	if _, err := b.Loop.Append(appendCtx, 0, record.UsageSent{Window: w.Start}); err != nil {
		b.Events.Record("usage note failed", window, events.F("error", err.Error()))
	}
	return true
}

// errLeaseNotHeld is returned if the lease is not held under the expected fencing number,
// or not for the maximum duration of a call.
var errLeaseNotHeld = errors.New("lease is not held long enough")

// leaseCheck returns a check that the deployment's lease is held under the fencing number
// for longer than the flight time.
func leaseCheck(l *control.Loop, fencing record.Offset, flight time.Duration) platform.Check {
	return func() error {
		lease, held := l.Held(control.DeploymentLease, flight)
		if !held || lease.Fencing != fencing {
			return fmt.Errorf("lease %q, fencing number %d: %w", control.DeploymentLease, fencing, errLeaseNotHeld)
		}
		return nil
	}
}

// heldTerm is the lease term under which this instance acts, and since when it does. A
// term is one acquisition of the lease, identified by its fencing number.
type heldTerm struct {
	fencing  record.Offset
	heldFrom time.Duration
	held     bool
}

// observe sets the term to the lease's state at now. It returns when the term was first
// observed as held, or now if the lease is not held.
func (t *heldTerm) observe(now time.Duration, fencing record.Offset, held bool) time.Duration {
	if !held || !t.held || t.fencing != fencing {
		t.heldFrom = now
	}
	t.fencing, t.held = fencing, held
	return t.heldFrom
}
