// Package usage counts what client accounts use. Counts are cumulative per
// instance incarnation and window, so that a repeated message changes nothing.
package usage

import (
	"sort"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Subject is what a figure is counted for.
type Subject struct {
	Account string
	Service string
}

// Count is the use of one subject in one window.
type Count struct {
	Requests        int64
	PromptTokens    int64
	GeneratedTokens int64
}

func (c *Count) add(d Count) {
	c.Requests += d.Requests
	c.PromptTokens += d.PromptTokens
	c.GeneratedTokens += d.GeneratedTokens
}

// WindowStart returns the start, in Unix milliseconds, of the window that holds at.
func WindowStart(at time.Time, window time.Duration) int64 {
	ms := at.UnixMilli()
	return ms - ms%window.Milliseconds()
}

// Report is one incarnation's cumulative counts of one window.
type Report struct {
	Source  string               `cbor:"1,keyasint"` // instance and incarnation
	Window  int64                `cbor:"2,keyasint"`
	Figures []record.UsageFigure `cbor:"3,keyasint"`
}

// Book holds the latest report of every source and window.
type Book struct {
	windows map[int64]map[string]map[Subject]Count
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{windows: map[int64]map[string]map[Subject]Count{}} }

// Add counts the use at its source.
func (b *Book) Add(source string, window int64, s Subject, c Count) {
	counts := b.counts(window, source)
	sum := counts[s]
	sum.add(c)
	counts[s] = sum
}

// Merge takes over another source's cumulative report. Counts never decrease.
func (b *Book) Merge(r Report) {
	counts := b.counts(r.Window, r.Source)
	for _, f := range r.Figures {
		s := Subject{f.Account, f.Service}
		old := counts[s]
		counts[s] = Count{
			Requests:        max(old.Requests, f.Requests),
			PromptTokens:    max(old.PromptTokens, f.PromptTokens),
			GeneratedTokens: max(old.GeneratedTokens, f.GeneratedTokens),
		}
	}
}

func (b *Book) counts(window int64, source string) map[Subject]Count {
	sources := b.windows[window]
	if sources == nil {
		sources = map[string]map[Subject]Count{}
		b.windows[window] = sources
	}
	if sources[source] == nil {
		sources[source] = map[Subject]Count{}
	}
	return sources[source]
}

// Reports returns the source's counts of every open window.
func (b *Book) Reports(source string) []Report {
	var out []Report
	for window, sources := range b.windows {
		if counts, ok := sources[source]; ok {
			out = append(out, Report{Source: source, Window: window, Figures: figures(counts)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Window < out[j].Window })
	return out
}

// Windows returns the starts of the open windows in order.
func (b *Book) Windows() []int64 {
	out := make([]int64, 0, len(b.windows))
	for w := range b.windows {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Total returns the window's figures over all sources, sorted.
func (b *Book) Total(window int64) []record.UsageFigure {
	sum := map[Subject]Count{}
	for _, counts := range b.windows[window] {
		for s, c := range counts {
			total := sum[s]
			total.add(c)
			sum[s] = total
		}
	}
	return figures(sum)
}

// Drop forgets a sealed window.
func (b *Book) Drop(window int64) { delete(b.windows, window) }

func figures(counts map[Subject]Count) []record.UsageFigure {
	out := make([]record.UsageFigure, 0, len(counts))
	for s, c := range counts {
		out = append(out, record.UsageFigure{
			Account: s.Account, Service: s.Service,
			Requests: c.Requests, PromptTokens: c.PromptTokens, GeneratedTokens: c.GeneratedTokens,
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Account != out[j].Account {
			return out[i].Account < out[j].Account
		}
		return out[i].Service < out[j].Service
	})
	return out
}
