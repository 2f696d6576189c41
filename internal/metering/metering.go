// Package metering counts use on the traffic goroutines and exchanges counts
// with the peers that need them. The arithmetic is core/usage.
package metering

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// Meter is the process's usage book. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	own     *usage.Counter
	reports *usage.Aggregator // others' reports
	source  string
	window  time.Duration
}

// New returns a meter that counts as source, an instance and incarnation.
func New(source string, window time.Duration) *Meter {
	return &Meter{own: usage.NewCounter(source), reports: usage.NewAggregator(), source: source, window: window}
}

// ApplyBilling takes the window length in force and what seals have billed.
func (m *Meter) ApplyBilling(window time.Duration, billed fold.Billing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.window = window
	m.own.Compact(billed.SealedUntil)
	m.reports.RemoveRetired(billed.Retired)
}

// Count adds use at the time of day now.
func (m *Meter) Count(now time.Time, s usage.Subject, c usage.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own.Add(usage.WindowStart(now, m.window), s, c)
}

// Report returns this source's cumulative counts.
func (m *Meter) Report() usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own.Report()
}

// UnreachableReports returns the reports that this instance keeps of sources that are not
// live.
func (m *Meter) UnreachableReports(live func(source string) bool) []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports.Reports(func(source string) bool { return !live(source) })
}

// AddReports keeps peers' reports.
func (m *Meter) AddReports(reports []usage.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if r.Source != m.source {
			m.reports.Add(r)
		}
	}
}

// NextSeal returns the seal of the oldest window that is due at now; see
// usage.Book.NextSeal.
func (m *Meter) NextSeal(billed fold.Billing, now time.Time, t usage.WindowConfig, live func(string) bool) (record.UsageSeal, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.Add(m.own.Report())
	return m.reports.NextSeal(billedStateOf(billed), now, t, live)
}

func billedStateOf(b fold.Billing) usage.BilledState {
	out := usage.BilledState{LastSeal: b.LastSeal, End: b.SealedUntil, Sources: make(map[string]usage.BilledSource, len(b.Sources)), Retired: b.Retired}
	for source, s := range b.Sources {
		out.Sources[source] = usage.BilledSource{Figures: s.Figures, End: s.LastBilled}
	}
	return out
}
