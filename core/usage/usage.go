// Package usage counts the use of client accounts and computes the seal of each
// billing window. A seal is the log record that fixes the billed counts of a window.
//
// A source is one incarnation of one instance. Its reports are cumulative since it
// started and list the use in recent windows of its clock, so a repeated or
// outdated report changes nothing. The lease holder collects the reports. A seal bills
// all use up to the end of its window that these reports contain, less what earlier
// seals billed of the same source. Use that was reported late is in no earlier seal and
// is billed in the next window, so all reported use is billed exactly once.
//
// The package performs no I/O. The caller delivers the reports, appends the seals to
// the log and passes in the billed state and the time.
package usage

import (
	"sort"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// Subject is the account and service that use is counted for.
type Subject struct {
	Account string
	Service string
}

// Count is the use of one subject. Figures are the form of counts in log records and
// reports.
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

// sub returns c minus d, with zero in place of negative numbers.
func (c Count) sub(d Count) Count {
	return Count{
		Requests:        max(c.Requests-d.Requests, 0),
		PromptTokens:    max(c.PromptTokens-d.PromptTokens, 0),
		GeneratedTokens: max(c.GeneratedTokens-d.GeneratedTokens, 0),
	}
}

// Counts holds the use of several subjects.
type Counts map[Subject]Count

// CountsOf converts figures, adding those of the same subject.
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

// subtract returns c minus d, with zero in place of negative numbers. Subjects without a
// remainder are omitted.
func (c Counts) subtract(d Counts) Counts {
	out := Counts{}
	for s, n := range c {
		if left := n.sub(d[s]); left != (Count{}) {
			out[s] = left
		}
	}
	return out
}

// Figures returns the counts as figures, sorted by account and service.
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

// WindowStart returns the start, in Unix milliseconds, of the window that contains t.
func WindowStart(t time.Time, window time.Duration) int64 {
	return alignToWindow(t.UnixMilli(), window)
}

func alignToWindow(ms int64, window time.Duration) int64 {
	length := max(window.Milliseconds(), 1)
	return ms - ms%length
}

// WindowUsage is a source's use in one window of its clock.
type WindowUsage struct {
	Start   int64                `cbor:"1,keyasint"` // Unix milliseconds
	Figures []record.UsageFigure `cbor:"2,keyasint"`
}

// Report holds a source's cumulative counts and its use in recent windows.
type Report struct {
	Source   string               `cbor:"1,keyasint"` // instance and incarnation
	Revision uint64               `cbor:"2,keyasint"` // increases with each call of Counter.Add
	Total    []record.UsageFigure `cbor:"3,keyasint"` // since the source started
	Recent   []WindowUsage        `cbor:"4,keyasint"` // parts of Total in windows that may not have been billed
}

// usedBefore returns the source's use in windows that start before end. Use that
// Recent doesn't list is older than the listed windows and is always included.
func (r *Report) usedBefore(end int64) Counts {
	later := Counts{}
	for _, window := range r.Recent {
		if window.Start >= end {
			later.addAll(CountsOf(window.Figures))
		}
	}
	return CountsOf(r.Total).subtract(later)
}

// Counter counts the use of one source.
type Counter struct {
	source   string
	revision uint64
	total    Counts
	recent   map[int64]Counts // by start of the window, Unix milliseconds
}

// NewCounter returns a counter without use. The source identifies an instance and its
// incarnation.
func NewCounter(source string) *Counter {
	return &Counter{source: source, total: Counts{}, recent: map[int64]Counts{}}
}

// Add counts use in the window that starts at start, in Unix milliseconds.
func (c *Counter) Add(start int64, s Subject, n Count) {
	c.revision++
	c.total.add(s, n)
	if c.recent[start] == nil {
		c.recent[start] = Counts{}
	}
	c.recent[start].add(s, n)
}

// Compact discards the windows that start before end, the end of the latest sealed
// window. Their use stays in the total.
func (c *Counter) Compact(end int64) {
	for start := range c.recent {
		if start < end {
			delete(c.recent, start)
		}
	}
}

// Report returns the present counts, with the recent windows in order of start.
func (c *Counter) Report() Report {
	r := Report{Source: c.source, Revision: c.revision, Total: c.total.Figures()}
	for start, counts := range c.recent {
		r.Recent = append(r.Recent, WindowUsage{Start: start, Figures: counts.Figures()})
	}
	sort.Slice(r.Recent, func(i, j int) bool { return r.Recent[i].Start < r.Recent[j].Start })
	return r
}

// Revision returns the number of calls of Add so far.
func (c *Counter) Revision() uint64 { return c.revision }
