package usage

import (
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// retireAfterWindows is the number of windows without billed use after which a source
// that is not live is retired: it is not billed any more.
const retireAfterWindows = 10

// BilledState is what the seals in the log have billed so far.
type BilledState struct {
	LastSeal    record.Offset           // zero: none
	SealedUntil int64                   // end of the latest sealed window, Unix milliseconds
	Sources     map[string]BilledSource // by source
	// Retired contains the sources that are not billed any more, with the end of the window
	// that retired them, Unix milliseconds.
	Retired map[string]int64
}

// BilledSource is what seals have billed of one source.
type BilledSource struct {
	Figures         []record.UsageFigure // cumulative
	LastBilledUntil int64                // end of the window that last billed it, Unix milliseconds
}

// WindowConfig configures billing windows.
type WindowConfig struct {
	Window time.Duration
	Grace  time.Duration // allowed lateness of reports: least time from a window's end to its seal
}

// Aggregator holds the latest report of every source. It is not safe for concurrent
// use.
type Aggregator struct {
	reports map[string]Report
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{reports: map[string]Report{}} }

// Add stores the report unless the aggregator holds one of the same source with the
// same or a later revision. It reports whether the report was stored.
func (b *Aggregator) Add(r Report) bool {
	if old, exists := b.reports[r.Source]; exists && old.Revision >= r.Revision {
		return false
	}
	b.reports[r.Source] = r
	return true
}

// Reports returns the reports of the sources for which keep returns true, sorted by
// source.
func (b *Aggregator) Reports(keep func(source string) bool) []Report {
	var out []Report
	for _, source := range b.sources() {
		if keep(source) {
			out = append(out, b.reports[source])
		}
	}
	return out
}

// RemoveRetired deletes the reports of retired sources.
func (b *Aggregator) RemoveRetired(retired map[string]int64) {
	for source := range b.reports {
		if _, isRetired := retired[source]; isRetired {
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

// NextSeal returns the seal of the oldest window that has unbilled use, ended at least
// Grace before now and does not overlap a sealed window. If its start is in a sealed
// window, as after a change of the window length, it is shortened to start where that one
// ends. NextSeal returns false if there is none; a window without use is not sealed. live
// reports whether a source may still report.
func (b *Aggregator) NextSeal(s BilledState, now time.Time, cfg WindowConfig, live func(source string) bool) (record.UsageSeal, bool) {
	latestEnd := alignToWindow(now.Add(-cfg.Grace).UnixMilli(), cfg.Window)
	start, found := b.firstUnbilled(s, latestEnd)
	if !found {
		return record.UsageSeal{}, false
	}
	seal := record.UsageSeal{Previous: s.LastSeal, Window: max(alignToWindow(start, cfg.Window), s.SealedUntil)}
	seal.End = alignToWindow(seal.Window, cfg.Window) + cfg.Window.Milliseconds()
	if seal.End > latestEnd {
		return record.UsageSeal{}, false
	}
	b.fill(&seal, s)
	seal.Retired = b.sourcesToRetire(s, seal.Window-retireAfterWindows*cfg.Window.Milliseconds(), live)
	return seal, len(seal.Figures) > 0
}

// firstUnbilled returns the start of the oldest window with unbilled use that starts
// before latestEnd, the latest end of a window that may be sealed now. Use older than the
// windows that a source still lists was compacted into its total and is billed in the
// first unsealed window.
func (b *Aggregator) firstUnbilled(s BilledState, latestEnd int64) (start int64, found bool) {
	for _, source := range b.sources() {
		candidate, ok := b.firstUnbilledOf(s, source, latestEnd)
		if ok && (!found || candidate < start) {
			start, found = candidate, true
		}
	}
	return start, found
}

// firstUnbilledOf does the same for one source.
func (b *Aggregator) firstUnbilledOf(s BilledState, source string, latestEnd int64) (int64, bool) {
	if _, isRetired := s.Retired[source]; isRetired {
		return 0, false
	}
	r := b.reports[source]
	billed := CountsOf(s.Sources[source].Figures)
	starts := []int64{s.SealedUntil}
	for _, window := range r.Recent {
		starts = append(starts, window.Start)
	}
	slices.Sort(starts)
	for _, start := range starts {
		if start < s.SealedUntil || start >= latestEnd {
			continue
		}
		if len(r.usedBefore(start+1).subtract(billed)) > 0 {
			return start, true
		}
	}
	return 0, false
}

// fill sets the seal's figures, the late part of them, and the cumulative figures
// billed of each source.
func (b *Aggregator) fill(seal *record.UsageSeal, s BilledState) {
	sum, late := Counts{}, Counts{}
	for _, source := range b.sources() {
		if _, isRetired := s.Retired[source]; isRetired {
			continue
		}
		r := b.reports[source]
		billedBefore := CountsOf(s.Sources[source].Figures)
		cumulative := r.usedBefore(seal.End)
		used := cumulative.subtract(billedBefore)
		if len(used) == 0 {
			continue
		}
		sum.addAll(used)
		late.addAll(r.usedBefore(seal.Window).subtract(billedBefore))
		billed := Counts{}
		billed.addAll(billedBefore)
		billed.addAll(used)
		seal.Sources = append(seal.Sources, record.UsageSource{Source: source, Figures: billed.Figures()})
	}
	seal.Figures = sum.Figures()
	if len(late) > 0 {
		seal.Late = late.Figures()
	}
}

// sourcesToRetire returns the sources that are not live and were last billed in a window
// that ended before the given time in Unix milliseconds. A source with unbilled use is
// not retired.
func (b *Aggregator) sourcesToRetire(s BilledState, before int64, live func(string) bool) []string {
	var out []string
	for source, billed := range s.Sources {
		if live(source) || billed.LastBilledUntil >= before {
			continue
		}
		if r, exists := b.reports[source]; exists && len(CountsOf(r.Total).subtract(CountsOf(billed.Figures))) > 0 {
			continue
		}
		out = append(out, source)
	}
	slices.Sort(out)
	return out
}
