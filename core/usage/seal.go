package usage

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// retireAfterWindows windows without use a source that is not live is forgotten.
const retireAfterWindows = 10

// BilledState is what seals have billed so far, as the log tells it.
type BilledState struct {
	LastSeal record.Offset           // zero: none
	End      int64                   // end of the latest sealed window, Unix milliseconds
	Sources  map[string]BilledSource // by source
	Retired  map[string]int64        // sources that are billed no more
}

// BilledSource is what seals have billed of one source.
type BilledSource struct {
	Figures []record.UsageFigure // cumulative
	End     int64                // of the window that last billed it
}

// WindowConfig is the configuration of windows.
type WindowConfig struct {
	Window time.Duration
	Grace  time.Duration // wait for late reports before a window is sealed
}

// Aggregator holds the latest report of every source.
type Aggregator struct {
	reports map[string]Report
}

// NewAggregator returns an empty book.
func NewAggregator() *Aggregator { return &Aggregator{reports: map[string]Report{}} }

// Add keeps the report unless a newer one of the source is known. It reports
// whether it was kept.
func (b *Aggregator) Add(r Report) bool {
	if old, known := b.reports[r.Source]; known && old.Revision >= r.Revision {
		return false
	}
	b.reports[r.Source] = r
	return true
}

// Reports returns the reports of the sources for which keep is true, by source.
func (b *Aggregator) Reports(keep func(source string) bool) []Report {
	var out []Report
	for _, source := range b.sources() {
		if keep(source) {
			out = append(out, b.reports[source])
		}
	}
	return out
}

// RemoveRetired drops retired sources.
func (b *Aggregator) RemoveRetired(retired map[string]int64) {
	for source := range b.reports {
		if _, gone := retired[source]; gone {
			delete(b.reports, source)
		}
	}
}

func (b *Aggregator) sources() []string {
	out := make([]string, 0, len(b.reports))
	for source := range b.reports {
		out = append(out, source)
	}
	slices.Sort(out)
	return out
}

// NextSeal returns the seal of the oldest window that has use, ended at least
// the grace before now, and does not overlap what is sealed. A window without use
// is not sealed. live tells the sources that may still report.
func (b *Aggregator) NextSeal(s BilledState, now time.Time, t WindowConfig, live func(source string) bool) (record.UsageSeal, bool) {
	limit := alignToWindow(now.Add(-t.Grace).UnixMilli(), t.Window)
	start, found := b.firstUnbilled(s, limit)
	if !found {
		return record.UsageSeal{}, false
	}
	seal := record.UsageSeal{Previous: s.LastSeal, Window: max(alignToWindow(start, t.Window), s.End)}
	seal.End = alignToWindow(seal.Window, t.Window) + t.Window.Milliseconds()
	if seal.End > limit {
		return record.UsageSeal{}, false
	}
	b.fill(&seal, s)
	seal.Retired = b.retired(s, seal.Window-retireAfterWindows*t.Window.Milliseconds(), live)
	return seal, len(seal.Figures) > 0
}

// firstUnbilled returns the start of the oldest slot before limit that holds use which
// is not billed. Use older than the slots that a source still tells counts into
// the first window after the latest sealed one.
func (b *Aggregator) firstUnbilled(s BilledState, limit int64) (start int64, found bool) {
	for _, source := range b.sources() {
		at, ok := b.firstUnbilledOf(s, source, limit)
		if ok && (!found || at < start) {
			start, found = at, true
		}
	}
	return start, found
}

func (b *Aggregator) firstUnbilledOf(s BilledState, source string, limit int64) (int64, bool) {
	if _, gone := s.Retired[source]; gone {
		return 0, false
	}
	r := b.reports[source]
	settled := CountsOf(s.Sources[source].Figures)
	ends := []int64{s.End}
	for _, slot := range r.Recent {
		ends = append(ends, slot.Start)
	}
	slices.Sort(ends)
	for _, at := range ends {
		if at < s.End || at >= limit {
			continue
		}
		if len(r.usedBefore(at+1).subtract(settled)) > 0 {
			return at, true
		}
	}
	return 0, false
}

// fill sets the figures of the seal and what it bills of each source.
func (b *Aggregator) fill(seal *record.UsageSeal, s BilledState) {
	sum, late := Counts{}, Counts{}
	for _, source := range b.sources() {
		if _, gone := s.Retired[source]; gone {
			continue
		}
		r := b.reports[source]
		settled := CountsOf(s.Sources[source].Figures)
		known := r.usedBefore(seal.End)
		used := known.subtract(settled)
		if len(used) == 0 {
			continue
		}
		sum.addAll(used)
		late.addAll(r.usedBefore(seal.Window).subtract(settled))
		billed := Counts{}
		billed.addAll(settled)
		billed.addAll(used)
		seal.Sources = append(seal.Sources, record.UsageSource{Source: source, Figures: billed.Figures()})
	}
	seal.Figures = sum.Figures()
	if len(late) > 0 {
		seal.Late = late.Figures()
	}
}

// retired returns the sources that are not live and were last billed before the
// given end. Their use is billed whole.
func (b *Aggregator) retired(s BilledState, before int64, live func(string) bool) []string {
	var out []string
	for source, settled := range s.Sources {
		if live(source) || settled.End >= before {
			continue
		}
		if r, known := b.reports[source]; known && len(CountsOf(r.Total).subtract(CountsOf(settled.Figures))) > 0 {
			continue
		}
		out = append(out, source)
	}
	slices.Sort(out)
	return out
}
