// Package measure keeps the measures that a deployment is judged by: trainers'
// idle time and staleness, how each client account fares, target spend against
// service delivered, late and incorrect usage reports, and the share of work that
// runs on cheap targets.
//
// Labels are names from the configuration, so that the number of series is
// bounded by it. A nil *Measures takes everything and keeps nothing.
package measure

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// The range of request times that histograms keep, in milliseconds.
const (
	minLatencyMillis = 1
	maxLatencyMillis = int64(time.Hour / time.Millisecond)
	histogramDigits  = 2 // significant figures
	maxSpendInterval = 5 * time.Second
)

// Outcome is how a caller's request ended.
type Outcome string

// The outcomes.
const (
	Served  Outcome = "served"
	Failed  Outcome = "failed"  // after it was taken in
	Refused Outcome = "refused" // by the account's limits
)

// Class tells whom work is done for.
type Class string

// The classes of work.
const (
	Caller Class = "caller"
	Sample Class = "sample"
)

// Measures are one instance's measures. It is safe for concurrent use.
type Measures struct {
	instance string
	set      *metrics.Set

	mu           sync.Mutex
	accounts     map[string]*account
	trainers     map[string]*Trainer
	dataCentres  map[dataCentreKey]*DataCentre
	usageReports UsageReportStats
	lastSpendAt  time.Duration
}

type account struct {
	Account
	latencies *hdrhistogram.Histogram // milliseconds
}

type dataCentreKey struct {
	name  string
	cheap bool
}

// New returns the empty measures of an instance.
func New(instance string) *Measures {
	return &Measures{
		instance: instance, set: metrics.NewSet(),
		accounts: map[string]*account{}, trainers: map[string]*Trainer{}, dataCentres: map[dataCentreKey]*DataCentre{},
	}
}

// WritePrometheus writes the measures in the Prometheus text format.
func (m *Measures) WritePrometheus(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

func (m *Measures) addCount(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

func (m *Measures) addFloat(name string, v float64) { m.set.GetOrCreateFloatCounter(name).Add(v) }

// RecordRequest notes the end of a client account's request and its whole time.
func (m *Measures) RecordRequest(name string, o Outcome, took time.Duration) {
	if m == nil || name == "" {
		return
	}
	m.addCount(fmt.Sprintf(`amaranth_requests_total{account=%q,outcome=%q}`, name, string(o)), 1)
	if o == Served {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`amaranth_request_seconds{account=%q}`, name)).Update(took.Seconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[name]
	if a == nil {
		a = &account{Account: Account{Name: name}, latencies: newHistogram()}
		m.accounts[name] = a
	}
	switch o {
	case Served:
		a.Served++
		// Out of range only above an hour, which the bound below excludes.
		_ = a.latencies.RecordValue(min(max(took.Milliseconds(), minLatencyMillis), maxLatencyMillis))
	case Failed:
		a.Failed++
	case Refused:
		a.Refused++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMillis, maxLatencyMillis, histogramDigits)
}

// trainer returns a trainer's measures. The caller holds the lock.
func (m *Measures) trainer(name string) *Trainer {
	t := m.trainers[name]
	if t == nil {
		t = &Trainer{Name: name}
		m.trainers[name] = t
	}
	return t
}

// RecordTrainerWait notes how long a trainer waited in one call for a batch.
func (m *Measures) RecordTrainerWait(name string, waited time.Duration) {
	if m == nil {
		return
	}
	m.addFloat(fmt.Sprintf(`amaranth_trainer_idle_seconds_total{trainer=%q}`, name), waited.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trainer(name).IdleSeconds += waited.Seconds()
}

// RecordBatch notes a batch that was handed to a trainer, with the staleness of each
// sample in weight versions. A batch that is handed over again counts once.
func (m *Measures) RecordBatch(name string, batch int64, staleness []int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.trainer(name)
	if batch <= t.lastBatch {
		return
	}
	t.lastBatch = batch
	t.Batches++
	m.addCount(fmt.Sprintf(`amaranth_batches_total{trainer=%q}`, name), 1)
	m.addCount(fmt.Sprintf(`amaranth_samples_total{trainer=%q}`, name), len(staleness))
	for _, s := range staleness {
		t.Samples++
		t.StalenessSum += s
		t.MaxStaleness = max(t.MaxStaleness, s)
		m.set.GetOrCreateHistogram(fmt.Sprintf(`amaranth_sample_staleness{trainer=%q}`, name)).Update(float64(s))
	}
}

// dataCentre returns a data centre's measures. The caller holds the lock.
func (m *Measures) dataCentre(name string, cheap bool) *DataCentre {
	key := dataCentreKey{name, cheap}
	d := m.dataCentres[key]
	if d == nil {
		d = &DataCentre{Name: name, Cheap: cheap}
		m.dataCentres[key] = d
	}
	return d
}

// RecordWork notes what a target did: tokens, or calls of a plain service.
func (m *Measures) RecordWork(place string, cheap bool, c Class, amount float64) {
	if m == nil || amount <= 0 {
		return
	}
	m.addFloat(fmt.Sprintf(`amaranth_work_total{data_centre=%q,cheap="%t",class=%q}`, place, cheap, string(c)), amount)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.dataCentre(place, cheap)
	if c == Sample {
		d.SampleWork += amount
		return
	}
	d.CallerWork += amount
}

// TargetCost is what the targets of one data centre cost.
type TargetCost struct {
	DataCentre string
	Cheap      bool
	Targets    int
	PerHour    float64 // currency units, of all of them
}

// RecordSpend notes at a reading of the instance's clock what all targets cost. Only
// the instance in charge calls it; the time since its previous call is charged.
func (m *Measures) RecordSpend(now time.Duration, prices []TargetCost) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now - m.lastSpendAt
	if m.lastSpendAt == 0 || passed > maxSpendInterval {
		passed = 0
	}
	m.lastSpendAt = now
	for _, p := range prices {
		units := p.PerHour * passed.Hours()
		d := m.dataCentre(p.DataCentre, p.Cheap)
		d.Spend += units
		d.TargetHours += float64(p.Targets) * passed.Hours()
		m.addFloat(fmt.Sprintf(`amaranth_spend_total{data_centre=%q,cheap="%t"}`, p.DataCentre, p.Cheap), units)
	}
}

// RecordHeldStarts notes starts that the cost limit prevented in one pass.
func (m *Measures) RecordHeldStarts(starts int) {
	if m != nil && starts > 0 {
		m.addCount(`amaranth_starts_held_total`, starts)
	}
}

// RecordUsageReport notes a usage report that the platform took, and how long after the
// window could first be sealed. A report later than tolerated counts as late.
func (m *Measures) RecordUsageReport(after, tolerated time.Duration, adjusts bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageReports.Reports++
	m.addCount(`amaranth_usage_reports_total`, 1)
	m.set.GetOrCreateHistogram(`amaranth_usage_report_delay_seconds`).Update(max(after, 0).Seconds())
	m.usageReports.MaxDelaySeconds = max(m.usageReports.MaxDelaySeconds, after.Seconds())
	if after > tolerated {
		m.usageReports.Overdue++
		m.addCount(`amaranth_usage_reports_late_total`, 1)
	}
	if adjusts {
		m.usageReports.Adjusting++
		m.addCount(`amaranth_usage_reports_adjusting_total`, 1)
	}
}

// RecordIncorrectReport notes a usage report that the platform refused for what it says.
func (m *Measures) RecordIncorrectReport() {
	if m == nil {
		return
	}
	m.addCount(`amaranth_usage_reports_incorrect_total`, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageReports.Incorrect++
}
