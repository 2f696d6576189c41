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
	minMillis  = 1
	maxMillis  = int64(time.Hour / time.Millisecond)
	precision  = 2 // significant figures
	maxSpendDt = 5 * time.Second
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

	mu          sync.Mutex
	accounts    map[string]*account
	trainers    map[string]*Trainer
	dataCentres map[dataCentre]*DataCentre
	bills       Bills
	spentAt     time.Duration
}

type account struct {
	Account
	times *hdrhistogram.Histogram // milliseconds
}

type dataCentre struct {
	name  string
	cheap bool
}

// New returns the empty measures of an instance.
func New(instance string) *Measures {
	return &Measures{
		instance: instance, set: metrics.NewSet(),
		accounts: map[string]*account{}, trainers: map[string]*Trainer{}, dataCentres: map[dataCentre]*DataCentre{},
	}
}

// WritePrometheus writes the measures in the Prometheus text format.
func (m *Measures) WritePrometheus(w io.Writer) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
}

func (m *Measures) count(name string, n int) { m.set.GetOrCreateCounter(name).Add(n) }

func (m *Measures) sum(name string, v float64) { m.set.GetOrCreateFloatCounter(name).Add(v) }

// Request notes the end of a client account's request and its whole time.
func (m *Measures) Request(name string, o Outcome, took time.Duration) {
	if m == nil || name == "" {
		return
	}
	m.count(fmt.Sprintf(`amaranth_requests_total{account=%q,outcome=%q}`, name, string(o)), 1)
	if o == Served {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`amaranth_request_seconds{account=%q}`, name)).Update(took.Seconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[name]
	if a == nil {
		a = &account{Account: Account{Name: name}, times: newHistogram()}
		m.accounts[name] = a
	}
	switch o {
	case Served:
		a.Served++
		// Out of range only above an hour, which the bound below excludes.
		_ = a.times.RecordValue(min(max(took.Milliseconds(), minMillis), maxMillis))
	case Failed:
		a.Failed++
	case Refused:
		a.Refused++
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMillis, maxMillis, precision) }

// trainer returns a trainer's measures. The caller holds the lock.
func (m *Measures) trainer(name string) *Trainer {
	t := m.trainers[name]
	if t == nil {
		t = &Trainer{Name: name}
		m.trainers[name] = t
	}
	return t
}

// TrainerWaited notes how long a trainer waited in one call for a batch.
func (m *Measures) TrainerWaited(name string, waited time.Duration) {
	if m == nil {
		return
	}
	m.sum(fmt.Sprintf(`amaranth_trainer_idle_seconds_total{trainer=%q}`, name), waited.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trainer(name).IdleSeconds += waited.Seconds()
}

// Delivered notes a batch that was handed to a trainer, with the staleness of each
// sample in weight versions. A batch that is handed over again counts once.
func (m *Measures) Delivered(name string, batch int64, staleness []int64) {
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
	m.count(fmt.Sprintf(`amaranth_batches_total{trainer=%q}`, name), 1)
	m.count(fmt.Sprintf(`amaranth_samples_total{trainer=%q}`, name), len(staleness))
	for _, s := range staleness {
		t.Samples++
		t.StalenessSum += s
		t.MaxStaleness = max(t.MaxStaleness, s)
		m.set.GetOrCreateHistogram(fmt.Sprintf(`amaranth_sample_staleness{trainer=%q}`, name)).Update(float64(s))
	}
}

// place returns a data centre's measures. The caller holds the lock.
func (m *Measures) place(name string, cheap bool) *DataCentre {
	key := dataCentre{name, cheap}
	d := m.dataCentres[key]
	if d == nil {
		d = &DataCentre{Name: name, Cheap: cheap}
		m.dataCentres[key] = d
	}
	return d
}

// Work notes what a target did: tokens, or calls of a plain service.
func (m *Measures) Work(place string, cheap bool, c Class, amount float64) {
	if m == nil || amount <= 0 {
		return
	}
	m.sum(fmt.Sprintf(`amaranth_work_total{data_centre=%q,cheap="%t",class=%q}`, place, cheap, string(c)), amount)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.place(place, cheap)
	if c == Sample {
		d.SampleWork += amount
		return
	}
	d.CallerWork += amount
}

// Price is what the targets of one data centre cost.
type Price struct {
	DataCentre string
	Cheap      bool
	Targets    int
	PerHour    float64 // currency units, of all of them
}

// Spend notes at a reading of the instance's clock what all targets cost. Only
// the instance in charge calls it; the time since its previous call is charged.
func (m *Measures) Spend(now time.Duration, prices []Price) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now - m.spentAt
	if m.spentAt == 0 || passed > maxSpendDt {
		passed = 0
	}
	m.spentAt = now
	for _, p := range prices {
		units := p.PerHour * passed.Hours()
		d := m.place(p.DataCentre, p.Cheap)
		d.Spend += units
		d.TargetHours += float64(p.Targets) * passed.Hours()
		m.sum(fmt.Sprintf(`amaranth_spend_total{data_centre=%q,cheap="%t"}`, p.DataCentre, p.Cheap), units)
	}
}

// Held notes starts that the cost limit prevented in one pass.
func (m *Measures) Held(starts int) {
	if m != nil && starts > 0 {
		m.count(`amaranth_starts_held_total`, starts)
	}
}

// Reported notes a usage report that the platform took, and how long after the
// window could first be sealed. A report later than tolerated counts as late.
func (m *Measures) Reported(after, tolerated time.Duration, adjusts bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bills.Reports++
	m.count(`amaranth_usage_reports_total`, 1)
	m.set.GetOrCreateHistogram(`amaranth_usage_report_delay_seconds`).Update(max(after, 0).Seconds())
	m.bills.MaxDelaySeconds = max(m.bills.MaxDelaySeconds, after.Seconds())
	if after > tolerated {
		m.bills.Late++
		m.count(`amaranth_usage_reports_late_total`, 1)
	}
	if adjusts {
		m.bills.Adjusting++
		m.count(`amaranth_usage_reports_adjusting_total`, 1)
	}
}

// Incorrect notes a usage report that the platform refused for what it says.
func (m *Measures) Incorrect() {
	if m == nil {
		return
	}
	m.count(`amaranth_usage_reports_incorrect_total`, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bills.Incorrect++
}
