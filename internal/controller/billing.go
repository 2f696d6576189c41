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

// BillerOptions are what a Biller works with.
type BillerOptions struct {
	Loop     *control.Loop
	Clock    clock.Clock
	Usage    *platform.Usage
	Meter    *metering.Meter
	Events   *events.Recorder
	Measures *measure.Measures // nil: none
}

// Biller seals and reports usage windows while its instance is in charge.
type Biller struct {
	BillerOptions
	heldTerm heldTerm
}

// NewBiller returns a biller.
func NewBiller(o BillerOptions) *Biller { return &Biller{BillerOptions: o} }

// Run makes a pass at every interval until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	return clock.Every(ctx, reconcileInterval, func() { b.reconcile(ctx) })
}

// reconcile seals the oldest window that is due, then reports sealed windows in order
// until one fails.
func (b *Biller) reconcile(ctx context.Context) {
	s := b.Loop.Snapshot()
	if s.Config == nil {
		return
	}
	guard, held := b.Loop.Held(control.DeploymentLease, 0)
	since := b.heldTerm.heldSince(b.Clock.Now(), guard.Fencing, held)
	if !held {
		return
	}
	// Counts that a former holder had been sent come again within the grace.
	if b.Clock.Now()-since >= s.Config.Usage.Grace {
		b.seal(ctx, s, guard)
	}
	for _, window := range unreportedWindows(s.Windows) {
		if !b.report(ctx, s, window) {
			return
		}
	}
}

// unreportedWindows returns the sealed windows that were not noted as reported, oldest first.
func unreportedWindows(windows map[int64]fold.Window) []fold.Window {
	var out []fold.Window
	for _, start := range slices.Sorted(maps.Keys(windows)) {
		if w := windows[start]; !w.Reported {
			out = append(out, w)
		}
	}
	return out
}

func (b *Biller) seal(ctx context.Context, s *control.Snapshot, guard control.HeldLease) {
	timing := usage.WindowConfig{Window: s.Config.Usage.Window, Grace: s.Config.Usage.Grace}
	seal, due := b.Meter.NextSeal(s.Billing, b.Clock.Wall(), timing, metering.ListedSources(s))
	if !due {
		return
	}
	seal.Lease = control.DeploymentLease
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	window := events.F("window", fmt.Sprint(seal.Window))
	if _, err := b.Loop.Append(ctx, guard.Fencing, seal); err != nil {
		b.Events.Record("usage seal failed", window, events.F("error", err.Error()))
		return
	}
	b.Events.Record("usage sealed", window, events.F("late", fmt.Sprint(len(seal.Late) > 0)))
}

// report sends the sealed figures and reports whether the platform took them.
// The lease is checked on the open connection with the whole flight time left.
func (b *Biller) report(ctx context.Context, s *control.Snapshot, w fold.Window) bool {
	flight := s.Config.Control.OrderFlight
	guard, held := b.Loop.Held(control.DeploymentLease, flight)
	if !held {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, min(flight, guard.ExpiresAt-b.Clock.Now()))
	defer cancel()
	report := platform.UsageReport{
		Deployment: s.Config.Deployment, Window: w.Start, Figures: w.Figures, Late: w.Late,
		Reporter: b.Loop.Holder(), Fencing: int64(guard.Fencing),
	}
	window := events.F("window", fmt.Sprint(w.Start))
	if err := b.Usage.ReportIf(callCtx, report, leaseCheck(b.Loop, guard.Fencing, flight)); err != nil {
		b.Events.Record("usage report failed", window, events.F("error", err.Error()))
		if errors.Is(err, platform.ErrRejected) {
			b.Measures.RecordIncorrectReport()
		}
		return false
	}
	b.Events.Record("usage reported", window)
	after := b.Clock.Wall().Sub(time.UnixMilli(w.End).Add(s.Config.Usage.Grace))
	b.Measures.RecordUsageReport(after, s.Config.Usage.Window, len(w.Late) > 0)
	appendCtx, cancelAppend := context.WithTimeout(ctx, appendTimeout)
	defer cancelAppend()
	if _, err := b.Loop.Append(appendCtx, 0, record.UsageSent{Window: w.Start}); err != nil {
		b.Events.Record("usage note failed", window, events.F("error", err.Error()))
	}
	return true
}

// errLeaseNotHeld ends a call that the lease no longer covers.
var errLeaseNotHeld = errors.New("lease is not held long enough")

// leaseCheck checks that the lease is held under the same fencing number with
// the flight time left.
func leaseCheck(l *control.Loop, fencing record.Offset, flight time.Duration) platform.Check {
	return func() error {
		guard, held := l.Held(control.DeploymentLease, flight)
		if !held || guard.Fencing != fencing {
			return fmt.Errorf("lease %q, fencing number %d: %w", control.DeploymentLease, fencing, errLeaseNotHeld)
		}
		return nil
	}
}

// heldTerm remembers since when a term has been held.
type heldTerm struct {
	fencing  record.Offset
	heldFrom time.Duration
	held     bool
}

// heldSince returns when the current term was first seen as held.
func (c *heldTerm) heldSince(now time.Duration, fencing record.Offset, held bool) time.Duration {
	if !held || !c.held || c.fencing != fencing {
		c.heldFrom = now
	}
	c.fencing, c.held = fencing, held
	return c.heldFrom
}
