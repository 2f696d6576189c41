package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/usage"
)

// billingModel drives sources, the aggregators of several lease holders and the fold
// of the log. Reports are lost and delayed, seals are appended late and twice, clocks
// differ and the window length changes.
type billingModel struct {
	t           *rapid.T
	now         time.Duration
	window      time.Duration
	sources     []*usage.Counter
	reports     []usage.Report // sent; each may be delivered later, repeatedly or never
	aggregators []*usage.Aggregator
	state       *fold.State
	pending     []record.UsageSeal // appended, not applied yet; each may be applied late, repeatedly or never
	counted     int64
	nextID      byte
}

const (
	leaseName       = "deployment"
	aggregatorCount = 3
	maxSkewSeconds  = 90
	maxStepSeconds  = 200
)

func newBillingModel(t *rapid.T) *billingModel {
	b := &billingModel{t: t, window: time.Minute, state: fold.New(), now: time.Hour}
	for i := range 3 {
		b.sources = append(b.sources, usage.NewCounter(fmt.Sprintf("s%d@1", i)))
	}
	for range aggregatorCount {
		b.aggregators = append(b.aggregators, usage.NewAggregator())
	}
	b.apply(0, record.Lease{Name: leaseName, Holder: "holder"})
	return b
}

func (b *billingModel) apply(supersedes record.Offset, body record.Body) fold.Verdict {
	b.nextID++
	data, err := record.Encode(uuid.UUID{b.nextID, byte(b.state.Applied), byte(b.state.Applied >> 8)}, "holder", supersedes, body)
	if err != nil {
		b.t.Fatal(err)
	}
	res, err := b.state.Apply(b.state.Applied+1, data)
	if err != nil {
		b.t.Fatal(err)
	}
	return res.Verdict
}

func (b *billingModel) billedState() usage.BilledState {
	out := usage.BilledState{LastSeal: b.state.Billing.LastSeal, SealedUntil: b.state.Billing.SealedUntil, Sources: map[string]usage.BilledSource{}}
	for source, s := range b.state.Billing.Sources {
		out.Sources[source] = usage.BilledSource{Figures: s.Figures, LastBilledUntil: s.LastBilled}
	}
	return out
}

func (b *billingModel) countUse() {
	source := rapid.IntRange(0, len(b.sources)-1).Draw(b.t, "source")
	skew := rapid.IntRange(-maxSkewSeconds, maxSkewSeconds).Draw(b.t, "skew")
	n := rapid.Int64Range(1, 9).Draw(b.t, "requests")
	sourceTime := unixTime(b.now + time.Duration(skew)*time.Second)
	b.sources[source].Compact(b.state.Billing.SealedUntil)
	b.sources[source].Add(usage.WindowStart(sourceTime, b.window), shop, usage.Count{Requests: n})
	b.counted += n
	b.reports = append(b.reports, b.sources[source].Report())
}

func (b *billingModel) deliverReport() {
	if len(b.reports) == 0 {
		return
	}
	r := b.reports[rapid.IntRange(0, len(b.reports)-1).Draw(b.t, "report")]
	b.aggregators[rapid.IntRange(0, aggregatorCount-1).Draw(b.t, "book")].Add(r)
}

func (b *billingModel) appendSeal() {
	aggregator := b.aggregators[rapid.IntRange(0, aggregatorCount-1).Draw(b.t, "holder")]
	seal, due := aggregator.NextSeal(b.billedState(), unixTime(b.now), usage.WindowConfig{Window: b.window, Grace: 10 * time.Second}, allLive)
	if !due {
		return
	}
	seal.Lease = leaseName
	b.pending = append(b.pending, seal)
}

// applyPendingSeal applies a pending seal, which may have been applied before.
func (b *billingModel) applyPendingSeal() {
	if len(b.pending) == 0 {
		return
	}
	seal := b.pending[rapid.IntRange(0, len(b.pending)-1).Draw(b.t, "seal")]
	end := b.state.Billing.SealedUntil
	if b.apply(b.state.Leases[leaseName].Term, seal) == fold.Accepted && seal.Window < end {
		b.t.Fatalf("window %d starts before the end %d of the sealed windows", seal.Window, end)
	}
}

func (b *billingModel) billed() int64 {
	sum := int64(0)
	for _, w := range b.state.Windows {
		for _, f := range w.Figures {
			sum += f.Requests
		}
	}
	return sum
}

// billAll delivers the report of every source and applies seals until none is due.
func (b *billingModel) billAll() {
	b.now += 24 * time.Hour
	for _, source := range b.sources {
		b.aggregators[0].Add(source.Report())
	}
	for {
		seal, due := b.aggregators[0].NextSeal(b.billedState(), unixTime(b.now), usage.WindowConfig{Window: b.window}, allLive)
		if !due {
			return
		}
		seal.Lease = leaseName
		if v := b.apply(b.state.Leases[leaseName].Term, seal); v != fold.Accepted {
			b.t.Fatalf("seal of window %d has verdict %s, want accepted", seal.Window, v)
		}
	}
}

func TestEveryUseIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBillingModel(t)
		steps := []func(){
			b.countUse, b.countUse, b.deliverReport, b.deliverReport, b.appendSeal, b.applyPendingSeal,
			func() { b.now += time.Duration(rapid.IntRange(1, maxStepSeconds).Draw(t, "seconds")) * time.Second },
			func() { b.window = time.Duration(rapid.IntRange(20, 150).Draw(t, "window")) * time.Second },
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			if b.billed() > b.counted {
				t.Fatalf("billed %d of %d requests", b.billed(), b.counted)
			}
		}
		b.billAll()
		if b.billed() != b.counted {
			t.Fatalf("billed %d of %d requests", b.billed(), b.counted)
		}
	})
}
