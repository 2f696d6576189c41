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
	mu     sync.Mutex
	own    *usage.Counter
	book   *usage.Book // others' reports
	source string
	window time.Duration
}

// New returns a meter that counts as source, an instance and incarnation.
func New(source string, window time.Duration) *Meter {
	return &Meter{own: usage.NewCounter(source), book: usage.NewBook(), source: source, window: window}
}

// Follow takes the window length in force and what seals have billed.
func (m *Meter) Follow(window time.Duration, billed fold.Billing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.window = window
	m.own.Compact(billed.End)
	m.book.Forget(billed.Retired)
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

// Orphans returns the reports that this instance keeps of sources that are not
// live.
func (m *Meter) Orphans(live func(source string) bool) []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Reports(func(source string) bool { return !live(source) })
}

// Take keeps peers' reports.
func (m *Meter) Take(reports []usage.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if r.Source != m.source {
			m.book.Take(r)
		}
	}
}

// NextSeal returns the seal of the oldest window that is due at now; see
// usage.Book.NextSeal.
func (m *Meter) NextSeal(billed fold.Billing, now time.Time, t usage.Timing, live func(string) bool) (record.UsageSeal, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Take(m.own.Report())
	return m.book.NextSeal(settled(billed), now, t, live)
}

func settled(b fold.Billing) usage.Settled {
	out := usage.Settled{LastSeal: b.LastSeal, End: b.End, Sources: make(map[string]usage.SettledSource, len(b.Sources)), Retired: b.Retired}
	for source, s := range b.Sources {
		out.Sources[source] = usage.SettledSource{Figures: s.Figures, End: s.End}
	}
	return out
}
