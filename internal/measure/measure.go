// Package measure keeps five measures of how well a deployment works: idle time of
// trainers and staleness of their samples; outcomes and response times of the requests of
// each client account; spend on targets relative to the work done; late and incorrect
// usage reports; and the share of work done by cheap targets. Cheap targets are spot
// capacity: they can be reclaimed with their whole data centre at short notice.
//
// Each instance records what it observes itself, as a Report and as Prometheus metrics.
// Merge combines the reports of all instances. Metric labels are names from the
// configuration, which bounds the number of series. The methods of a nil *Measures do
// nothing.
package measure

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// Range of the histograms of response times. Times outside it are clamped to it.
	minLatencyMillis = 1
	maxLatencyMillis = int64(time.Hour / time.Millisecond)
	histogramDigits  = 2 // significant decimal digits
	// If two calls of RecordSpend are further apart, the instance did not hold the lease in
	// between, and the interval adds no spend.
	maxSpendInterval = 5 * time.Second
)

// Outcome is the result of a caller's request.
type Outcome string

// Outcomes of a caller's request.
const (
	Served  Outcome = "served"
	Failed  Outcome = "failed"  // after the account's limits admitted it
	Refused Outcome = "refused" // by the account's limits
)

// Class is what a target's work is done for: callers' requests or trainers' samples.
type Class string

// Classes of work.
const (
	Caller Class = "caller"
	Sample Class = "sample"
)

// Measures holds one instance's measures since its start. It is safe for concurrent
// use.
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

// account holds the measures of one client account while they are recorded.
type account struct {
	Account
	latencies *hdrhistogram.Histogram // of served requests, milliseconds
}

type dataCentreKey struct {
	name  string
	cheap bool
}

// New returns the measures of an instance, without any recorded values.
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

// RecordRequest records the outcome of a client account's request and, if it was
// served, its duration from start to end. A request without an account is ignored.
func (m *Measures) RecordRequest(name string, o Outcome, duration time.Duration) {
	if m == nil || name == "" {
		return
	}
	m.addCount(fmt.Sprintf(`amaranth_requests_total{account=%q,outcome=%q}`, name, string(o)), 1)
	if o == Served {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`amaranth_request_seconds{account=%q}`, name)).Update(duration.Seconds())
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
		// RecordValue fails for values outside the histogram's range, so they are clamped.
		_ = a.latencies.RecordValue(min(max(duration.Milliseconds(), minLatencyMillis), maxLatencyMillis))
	case Failed:
		a.Failed++
	case Refused:
		a.Refused++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMillis, maxLatencyMillis, histogramDigits)
}

// trainer returns a trainer's measures. The caller holds m.mu.
func (m *Measures) trainer(name string) *Trainer {
	t := m.trainers[name]
	if t == nil {
		t = &Trainer{Name: name}
		m.trainers[name] = t
	}
	return t
}

// RecordTrainerWait adds the time that a trainer's call for the next batch took.
func (m *Measures) RecordTrainerWait(name string, waited time.Duration) {
	if m == nil {
		return
	}
	m.addFloat(fmt.Sprintf(`amaranth_trainer_idle_seconds_total{trainer=%q}`, name), waited.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trainer(name).IdleSeconds += waited.Seconds()
}

// RecordBatch records a batch that was delivered to a trainer, with the staleness of
// each sample in weight versions. Batch numbers of a trainer increase, so a batch that
// this instance delivers again is not counted again. If another instance delivers it
// again, that instance counts it, too.
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

// dataCentre returns the measures of a data centre's cheap targets or of its other
// targets. The caller holds m.mu.
func (m *Measures) dataCentre(name string, cheap bool) *DataCentre {
	key := dataCentreKey{name, cheap}
	d := m.dataCentres[key]
	if d == nil {
		d = &DataCentre{Name: name, Cheap: cheap}
		m.dataCentres[key] = d
	}
	return d
}

// RecordWork adds work that a target did: tokens of an engine, or calls of a plain
// service.
func (m *Measures) RecordWork(dataCentre string, cheap bool, c Class, amount float64) {
	if m == nil || amount <= 0 {
		return
	}
	m.addFloat(fmt.Sprintf(`amaranth_work_total{data_centre=%q,cheap="%t",class=%q}`, dataCentre, cheap, string(c)), amount)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.dataCentre(dataCentre, cheap)
	if c == Sample {
		d.SampleWork += amount
		return
	}
	d.CallerWork += amount
}

// TargetCost is the current cost of one data centre's cheap targets, or of its other
// targets.
type TargetCost struct {
	DataCentre string
	Cheap      bool
	Targets    int
	PerHour    float64 // currency units, all targets together
}

// RecordSpend adds the cost of all targets since the previous call; now is a reading
// of the instance's clock. Only the holder of the deployment lease calls it. The
// first call adds nothing, nor does a call more than maxSpendInterval after the previous
// one.
func (m *Measures) RecordSpend(now time.Duration, costs []TargetCost) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.lastSpendAt
	if m.lastSpendAt == 0 || elapsed > maxSpendInterval {
		elapsed = 0
	}
	m.lastSpendAt = now
	for _, c := range costs {
		cost := c.PerHour * elapsed.Hours()
		d := m.dataCentre(c.DataCentre, c.Cheap)
		d.Spend += cost
		d.TargetHours += float64(c.Targets) * elapsed.Hours()
		m.addFloat(fmt.Sprintf(`amaranth_spend_total{data_centre=%q,cheap="%t"}`, c.DataCentre, c.Cheap), cost)
	}
}

// RecordHeldStarts adds the number of target starts that the cost limit prevented in one
// planning pass.
func (m *Measures) RecordHeldStarts(starts int) {
	if m != nil && starts > 0 {
		m.addCount(`amaranth_starts_held_total`, starts)
	}
}

// RecordUsageReport records a usage report that the platform accepted. The delay counts
// from the earliest time at which the window could be sealed, which fixes its billed
// counts. A report with a delay above the tolerance is overdue. hasEarlierUsage states
// whether the report contains usage of earlier windows.
func (m *Measures) RecordUsageReport(delay, tolerance time.Duration, hasEarlierUsage bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageReports.Reports++
	m.addCount(`amaranth_usage_reports_total`, 1)
	m.set.GetOrCreateHistogram(`amaranth_usage_report_delay_seconds`).Update(max(delay, 0).Seconds())
	m.usageReports.MaxDelaySeconds = max(m.usageReports.MaxDelaySeconds, delay.Seconds())
	if delay > tolerance {
		m.usageReports.Overdue++
		m.addCount(`amaranth_usage_reports_late_total`, 1)
	}
	if hasEarlierUsage {
		m.usageReports.Adjusting++
		m.addCount(`amaranth_usage_reports_adjusting_total`, 1)
	}
}

// RecordIncorrectReport counts a usage report that the platform rejected for its
// content.
func (m *Measures) RecordIncorrectReport() {
	if m == nil {
		return
	}
	m.addCount(`amaranth_usage_reports_incorrect_total`, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageReports.Incorrect++
}
