// Package metering counts use on the traffic goroutines and exchanges counts
// with peers. The arithmetic is core/usage.
package metering

import (
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// Meter is the process's usage book. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	book   *usage.Book
	source string
	window time.Duration
}

// New returns a meter that counts as source, an instance and incarnation.
func New(source string, window time.Duration) *Meter {
	return &Meter{book: usage.NewBook(), source: source, window: window}
}

// SetWindow changes the window that later counts go to.
func (m *Meter) SetWindow(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.window = d
}

// Count adds use at the time of day now.
func (m *Meter) Count(now time.Time, s usage.Subject, c usage.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Add(m.source, usage.WindowStart(now, m.window), s, c)
}

// Reports returns this source's cumulative counts.
func (m *Meter) Reports() []usage.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.Reports(m.source)
}

// Merge takes over a peer's counts.
func (m *Meter) Merge(reports []usage.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		m.book.Merge(r)
	}
}

// Due returns the oldest window that ended at least grace before now.
func (m *Meter) Due(now time.Time, grace time.Duration) (window int64, figures []record.UsageFigure, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.book.Windows() {
		if now.Sub(time.UnixMilli(w).Add(m.window)) >= grace {
			return w, m.book.Total(w), true
		}
	}
	return 0, nil, false
}

// Drop forgets a sealed window.
func (m *Meter) Drop(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Drop(window)
}
