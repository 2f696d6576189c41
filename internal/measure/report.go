package measure

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Account holds the outcomes of one client account's requests. Response times are those
// of served requests.
type Account struct {
	Name             string `json:"name"`
	Served           int64  `json:"served"`
	Failed           int64  `json:"failed"`
	Refused          int64  `json:"refused"`
	P50Millis        int64  `json:"p50Millis"`
	P99Millis        int64  `json:"p99Millis"`
	LatencyHistogram []byte `json:"times,omitempty"` // HdrHistogram of milliseconds, V2 compressed
}

// Trainer holds the measures of one trainer. Staleness is in weight versions.
type Trainer struct {
	Name         string  `json:"name"`
	Batches      int64   `json:"batches"`
	Samples      int64   `json:"samples"`
	IdleSeconds  float64 `json:"idleSeconds"` // time spent waiting for batches
	MaxStaleness int64   `json:"maxStaleness"`
	StalenessSum int64   `json:"stalenessSum"` // over all samples
	lastBatch    int64   // highest batch number that this instance has counted
}

// MeanStaleness returns the mean over all samples, in weight versions.
func (t *Trainer) MeanStaleness() float64 {
	if t.Samples == 0 {
		return 0
	}
	return float64(t.StalenessSum) / float64(t.Samples)
}

// DataCentre holds the cost and the work of one data centre's cheap targets, or of its
// other targets.
type DataCentre struct {
	Name        string  `json:"name"`
	Cheap       bool    `json:"cheap"`
	TargetHours float64 `json:"targetHours"`
	Spend       float64 `json:"spend"`      // currency units
	CallerWork  float64 `json:"callerWork"` // tokens and plain calls
	SampleWork  float64 `json:"sampleWork"` // tokens
}

// UsageReportStats counts usage reports by the platform's response.
type UsageReportStats struct {
	Reports         int64   `json:"reports"`   // accepted
	Overdue         int64   `json:"late"`      // accepted after the tolerated delay
	Incorrect       int64   `json:"incorrect"` // rejected for their content
	Adjusting       int64   `json:"adjusting"` // accepted, and contain usage of earlier windows
	MaxDelaySeconds float64 `json:"maxDelaySeconds"`
}

// Report holds the measures of one instance, or of several after Merge.
type Report struct {
	Instances    []string         `json:"instances"`
	Accounts     []Account        `json:"accounts"`
	Trainers     []Trainer        `json:"trainers"`
	DataCentres  []DataCentre     `json:"dataCentres"`
	UsageReports UsageReportStats `json:"bills"`
}

// Report returns the current measures.
func (m *Measures) Report() (Report, error) {
	if m == nil {
		return Report{}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{Instances: []string{m.instance}, UsageReports: m.usageReports}
	for _, a := range m.accounts {
		out, err := a.export()
		if err != nil {
			return r, err
		}
		r.Accounts = append(r.Accounts, out)
	}
	for _, t := range m.trainers {
		r.Trainers = append(r.Trainers, *t)
	}
	for _, d := range m.dataCentres {
		r.DataCentres = append(r.DataCentres, *d)
	}
	r.sort()
	return r, nil
}

// export returns the account with its encoded histogram and its percentiles.
func (a *account) export() (Account, error) {
	out := a.Account
	data, err := a.latencies.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return out, fmt.Errorf("times of account %q: %w", a.Name, err)
	}
	out.LatencyHistogram = data
	out.setQuantiles(a.latencies)
	return out, nil
}

func (a *Account) setQuantiles(h *hdrhistogram.Histogram) {
	a.P50Millis, a.P99Millis = h.ValueAtQuantile(50), h.ValueAtQuantile(99)
}

func (r *Report) sort() {
	slices.Sort(r.Instances)
	slices.SortFunc(r.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(r.Trainers, func(a, b Trainer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(r.DataCentres, func(a, b DataCentre) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(fmt.Sprint(a.Cheap), fmt.Sprint(b.Cheap)))
	})
}

// Merge combines the reports of several instances into one: it adds counts and times,
// takes the largest of the maxima, and computes percentiles from the merged histograms. It
// fails if a histogram cannot be decoded.
func Merge(reports []Report) (Report, error) {
	var out Report
	accounts := map[string]*Account{}
	histograms := map[string]*hdrhistogram.Histogram{}
	trainers := map[string]*Trainer{}
	dataCentres := map[dataCentreKey]*DataCentre{}
	for i := range reports {
		r := &reports[i]
		out.Instances = append(out.Instances, r.Instances...)
		out.UsageReports.add(r.UsageReports)
		for _, a := range r.Accounts {
			if err := mergeAccount(accounts, histograms, a); err != nil {
				return out, err
			}
		}
		for _, t := range r.Trainers {
			mergeTrainer(trainers, t)
		}
		for _, d := range r.DataCentres {
			mergeDataCentre(dataCentres, d)
		}
	}
	for name, a := range accounts {
		a.setQuantiles(histograms[name])
		out.Accounts = append(out.Accounts, *a)
	}
	for _, t := range trainers {
		out.Trainers = append(out.Trainers, *t)
	}
	for _, d := range dataCentres {
		out.DataCentres = append(out.DataCentres, *d)
	}
	out.sort()
	return out, nil
}

func (s *UsageReportStats) add(o UsageReportStats) {
	s.Reports += o.Reports
	s.Overdue += o.Overdue
	s.Incorrect += o.Incorrect
	s.Adjusting += o.Adjusting
	s.MaxDelaySeconds = max(s.MaxDelaySeconds, o.MaxDelaySeconds)
}

func mergeAccount(accounts map[string]*Account, histograms map[string]*hdrhistogram.Histogram, a Account) error {
	h := newHistogram()
	if len(a.LatencyHistogram) > 0 {
		decoded, err := hdrhistogram.Decode(a.LatencyHistogram)
		if err != nil {
			return fmt.Errorf("times of account %q: %w", a.Name, err)
		}
		h = decoded
	}
	if accounts[a.Name] == nil {
		accounts[a.Name], histograms[a.Name] = &Account{Name: a.Name}, newHistogram()
	}
	sum := accounts[a.Name]
	sum.Served += a.Served
	sum.Failed += a.Failed
	sum.Refused += a.Refused
	histograms[a.Name].Merge(h)
	return nil
}

func mergeTrainer(trainers map[string]*Trainer, t Trainer) {
	if trainers[t.Name] == nil {
		trainers[t.Name] = &Trainer{Name: t.Name}
	}
	sum := trainers[t.Name]
	sum.Batches += t.Batches
	sum.Samples += t.Samples
	sum.IdleSeconds += t.IdleSeconds
	sum.StalenessSum += t.StalenessSum
	sum.MaxStaleness = max(sum.MaxStaleness, t.MaxStaleness)
}

func mergeDataCentre(dataCentres map[dataCentreKey]*DataCentre, d DataCentre) {
	key := dataCentreKey{d.Name, d.Cheap}
	if dataCentres[key] == nil {
		dataCentres[key] = &DataCentre{Name: d.Name, Cheap: d.Cheap}
	}
	sum := dataCentres[key]
	sum.TargetHours += d.TargetHours
	sum.Spend += d.Spend
	sum.CallerWork += d.CallerWork
	sum.SampleWork += d.SampleWork
}

// Summary holds the five measures of a deployment in a few numbers each.
type Summary struct {
	IdleSeconds            float64 `json:"idleSeconds"` // of all trainers
	MaxStaleness           int64   `json:"maxStaleness"`
	WorstAccount           string  `json:"worstAccount"` // account with the largest 99th percentile; empty if there is none
	WorstP99Millis         int64   `json:"worstP99Millis"`
	WorstFailureShare      float64 `json:"worstFailed"`  // largest share of an account's requests that failed or were refused
	Spend                  float64 `json:"spend"`        // currency units
	SpendPerMillion        float64 `json:"spendPer1M"`   // per million tokens and plain calls
	LateOrIncorrectReports int64   `json:"lateReports"`  // usage reports
	CheapShare             float64 `json:"cheapShare"`   // of all work
	CheapSampleShare       float64 `json:"cheapSamples"` // of samples' work
}

const million = 1e6 // tokens and plain calls that SpendPerMillion refers to

// Summary computes the five measures from the report.
func (r *Report) Summary() Summary {
	s := Summary{LateOrIncorrectReports: r.UsageReports.Overdue + r.UsageReports.Incorrect}
	for i := range r.Trainers {
		s.IdleSeconds += r.Trainers[i].IdleSeconds
		s.MaxStaleness = max(s.MaxStaleness, r.Trainers[i].MaxStaleness)
	}
	for _, a := range r.Accounts {
		if s.WorstAccount == "" || a.P99Millis > s.WorstP99Millis {
			s.WorstAccount, s.WorstP99Millis = a.Name, a.P99Millis
		}
		s.WorstFailureShare = max(s.WorstFailureShare, ratio(float64(a.Failed+a.Refused), float64(a.Served+a.Failed+a.Refused)))
	}
	work, cheap, samples, cheapSamples := 0.0, 0.0, 0.0, 0.0
	for _, d := range r.DataCentres {
		s.Spend += d.Spend
		work += d.CallerWork + d.SampleWork
		samples += d.SampleWork
		if d.Cheap {
			cheap += d.CallerWork + d.SampleWork
			cheapSamples += d.SampleWork
		}
	}
	s.SpendPerMillion = ratio(s.Spend*million, work)
	s.CheapShare, s.CheapSampleShare = ratio(cheap, work), ratio(cheapSamples, samples)
	return s
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
