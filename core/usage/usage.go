// Package usage counts what client accounts use and decides what each billing
// window holds.
//
// A source, which is one incarnation of one instance, counts cumulatively since
// it started and tells how much of that fell into recent slots of its clock. A
// repeated or overtaken report therefore changes nothing. A seal bills what the
// holder of the lease knows up to the end of the window, less what earlier seals
// billed of the same source. Use that was reported late is in no earlier seal and
// so goes to the next window.
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

// Count is the use of one subject.
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

// sub returns c less d, never below zero.
func (c Count) sub(d Count) Count {
	return Count{
		Requests:        max(c.Requests-d.Requests, 0),
		PromptTokens:    max(c.PromptTokens-d.PromptTokens, 0),
		GeneratedTokens: max(c.GeneratedTokens-d.GeneratedTokens, 0),
	}
}

// Counts are the counts of several subjects.
type Counts map[Subject]Count

// CountsOf returns the counts that figures hold.
func CountsOf(figures []record.UsageFigure) Counts {
	out := make(Counts, len(figures))
	for _, f := range figures {
		out.add(Subject{f.Account, f.Service}, Count{f.Requests, f.PromptTokens, f.GeneratedTokens})
	}
	return out
}

func (c Counts) add(s Subject, d Count) {
	sum := c[s]
	sum.add(d)
	c[s] = sum
}

func (c Counts) addAll(d Counts) {
	for s, n := range d {
		c.add(s, n)
	}
}

// subtract returns c less d, never below zero, without subjects that are zero.
func (c Counts) subtract(d Counts) Counts {
	out := Counts{}
	for s, n := range c {
		if left := n.sub(d[s]); left != (Count{}) {
			out[s] = left
		}
	}
	return out
}

// Figures returns the counts as sorted figures.
func (c Counts) Figures() []record.UsageFigure {
	out := make([]record.UsageFigure, 0, len(c))
	for s, n := range c {
		out = append(out, record.UsageFigure{
			Account: s.Account, Service: s.Service,
			Requests: n.Requests, PromptTokens: n.PromptTokens, GeneratedTokens: n.GeneratedTokens,
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

// WindowStart returns the start, in Unix milliseconds, of the window that holds at.
func WindowStart(at time.Time, window time.Duration) int64 {
	return alignToWindow(at.UnixMilli(), window)
}

func alignToWindow(ms int64, window time.Duration) int64 {
	length := max(window.Milliseconds(), 1)
	return ms - ms%length
}

// WindowUsage is the part of a source's use that fell into one window of its clock.
type WindowUsage struct {
	Start   int64                `cbor:"1,keyasint"` // Unix milliseconds
	Figures []record.UsageFigure `cbor:"2,keyasint"`
}

// Report is a source's cumulative counts.
type Report struct {
	Source   string               `cbor:"1,keyasint"` // instance and incarnation
	Revision uint64               `cbor:"2,keyasint"` // grows with every count
	Total    []record.UsageFigure `cbor:"3,keyasint"` // since the source started
	Recent   []WindowUsage        `cbor:"4,keyasint"` // parts of Total that need not be in a seal yet
}

// usedBefore returns what the source used in slots that start before end.
func (r *Report) usedBefore(end int64) Counts {
	later := Counts{}
	for _, slot := range r.Recent {
		if slot.Start >= end {
			later.addAll(CountsOf(slot.Figures))
		}
	}
	return CountsOf(r.Total).subtract(later)
}

// Counter counts one source's use.
type Counter struct {
	source   string
	revision uint64
	total    Counts
	recent   map[int64]Counts // by slot
}

// NewCounter returns a counter of the source, an instance and incarnation.
func NewCounter(source string) *Counter {
	return &Counter{source: source, total: Counts{}, recent: map[int64]Counts{}}
}

// Add counts use in the slot that starts at start.
func (c *Counter) Add(start int64, s Subject, n Count) {
	c.revision++
	c.total.add(s, n)
	if c.recent[start] == nil {
		c.recent[start] = Counts{}
	}
	c.recent[start].add(s, n)
}

// Compact forgets the slots before end, which a seal has passed. Their use stays
// in the total.
func (c *Counter) Compact(end int64) {
	for start := range c.recent {
		if start < end {
			delete(c.recent, start)
		}
	}
}

// Report returns the counts as of now.
func (c *Counter) Report() Report {
	r := Report{Source: c.source, Revision: c.revision, Total: c.total.Figures()}
	for start, counts := range c.recent {
		r.Recent = append(r.Recent, WindowUsage{Start: start, Figures: counts.Figures()})
	}
	sort.Slice(r.Recent, func(i, j int) bool { return r.Recent[i].Start < r.Recent[j].Start })
	return r
}

// Revision returns the number of the latest count.
func (c *Counter) Revision() uint64 { return c.revision }
