// Package metering counts the usage of client accounts and exchanges the counts between
// instances. Request goroutines call Meter.Count; an Exchange sends this instance's
// report to its mirror in another data centre and to the holder of the deployment's
// lease, which seals billing windows: a seal is the log record that fixes the billed
// counts of a window. The arithmetic is in core/usage.
//
// Reports are cumulative and numbered by revision, so a repeated or reordered report
// changes nothing. Counts are kept in memory: those that neither the mirror nor the lease
// holder has received are lost with the instance.
package metering

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// Meter holds this instance's usage counts and the latest report of every other source.
// A source is one incarnation of one instance. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	counter *usage.Counter
	reports *usage.Aggregator // latest report of each source
	source  string
	window  time.Duration
}

// New returns a meter for the source, the name of this incarnation of the instance as in
// control.HolderName. ApplyBilling replaces the window length.
func New(source string, window time.Duration) *Meter {
	return &Meter{counter: usage.NewCounter(source), reports: usage.NewAggregator(), source: source, window: window}
}

// ApplyBilling sets the window length and applies the billing state of the log: the counts
// of windows that start before billing.SealedUntil are kept only in the total, and reports
// of retired sources are removed.
func (m *Meter) ApplyBilling(window time.Duration, billing fold.Billing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.window = window
	m.counter.Compact(billing.SealedUntil)
	m.reports.RemoveRetired(billing.Retired)
}

// Count adds c to the counts of s, in the window that contains the wall-clock time now.
func (m *Meter) Count(now time.Time, s usage.Subject, c usage.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Add(usage.WindowStart(now, m.window), s, c)
}

// Report returns the cumulative counts of this instance.
func (m *Meter) Report() usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.Report()
}

// UnreachableReports returns the stored reports of the sources that are not live.
func (m *Meter) UnreachableReports(live func(source string) bool) []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports.Reports(func(source string) bool { return !live(source) })
}

// AddReports stores reports of other sources. A report that is not newer than the stored
// one of its source is ignored, and so is one with this instance's source.
func (m *Meter) AddReports(reports []usage.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if r.Source != m.source {
			m.reports.Add(r)
		}
	}
}

// NextSeal returns the seal of the oldest window that is due at now, computed from this
// instance's counts and the stored reports; see usage.Aggregator.NextSeal.
func (m *Meter) NextSeal(billing fold.Billing, now time.Time, t usage.WindowConfig, live func(string) bool) (record.UsageSeal, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.Add(m.counter.Report())
	return m.reports.NextSeal(billedStateOf(billing), now, t, live)
}

// billedStateOf converts the billing state of the log to that of core/usage.
func billedStateOf(b fold.Billing) usage.BilledState {
	out := usage.BilledState{LastSeal: b.LastSeal, SealedUntil: b.SealedUntil, Sources: make(map[string]usage.BilledSource, len(b.Sources)), Retired: b.Retired}
	for source, s := range b.Sources {
		out.Sources[source] = usage.BilledSource{Figures: s.Figures, LastBilledUntil: s.LastBilled}
	}
	return out
}
