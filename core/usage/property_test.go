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

// bills drives sources, several holders' books and the fold of the log. Reports
// are lost and delayed, seals are appended late and twice, clocks differ and the
// window's length changes.
type bills struct {
	t       *rapid.T
	now     time.Duration
	window  time.Duration
	sources []*usage.Counter
	reports []usage.Report // sent and perhaps delivered later
	books   []*usage.Aggregator
	state   *fold.State
	pending []record.UsageSeal // appended and not in effect yet
	counted int64
	nextID  byte
}

const (
	lease       = "deployment"
	books       = 3
	maxSkew     = 90
	stepSeconds = 200
)

func newBills(t *rapid.T) *bills {
	b := &bills{t: t, window: time.Minute, state: fold.New(), now: time.Hour}
	for i := range 3 {
		b.sources = append(b.sources, usage.NewCounter(fmt.Sprintf("s%d@1", i)))
	}
	for range books {
		b.books = append(b.books, usage.NewAggregator())
	}
	b.apply(0, record.Lease{Name: lease, Holder: "holder"})
	return b
}

func (b *bills) apply(supersedes record.Offset, body record.Body) fold.Verdict {
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

func (b *bills) settled() usage.BilledState {
	out := usage.BilledState{LastSeal: b.state.Billing.LastSeal, End: b.state.Billing.SealedUntil, Sources: map[string]usage.BilledSource{}}
	for source, s := range b.state.Billing.Sources {
		out.Sources[source] = usage.BilledSource{Figures: s.Figures, End: s.LastBilled}
	}
	return out
}

func (b *bills) count() {
	source := rapid.IntRange(0, len(b.sources)-1).Draw(b.t, "source")
	skew := rapid.IntRange(-maxSkew, maxSkew).Draw(b.t, "skew")
	n := rapid.Int64Range(1, 9).Draw(b.t, "requests")
	clock := at(b.now + time.Duration(skew)*time.Second)
	b.sources[source].Compact(b.state.Billing.SealedUntil)
	b.sources[source].Add(usage.WindowStart(clock, b.window), shop, usage.Count{Requests: n})
	b.counted += n
	b.reports = append(b.reports, b.sources[source].Report())
}

func (b *bills) deliver() {
	if len(b.reports) == 0 {
		return
	}
	r := b.reports[rapid.IntRange(0, len(b.reports)-1).Draw(b.t, "report")]
	b.books[rapid.IntRange(0, books-1).Draw(b.t, "book")].Add(r)
}

func (b *bills) seal() {
	book := b.books[rapid.IntRange(0, books-1).Draw(b.t, "holder")]
	seal, due := book.NextSeal(b.settled(), at(b.now), usage.WindowConfig{Window: b.window, Grace: 10 * time.Second}, everybody)
	if !due {
		return
	}
	seal.Lease = lease
	b.pending = append(b.pending, seal)
}

// land puts an appended seal into effect, perhaps again.
func (b *bills) land() {
	if len(b.pending) == 0 {
		return
	}
	seal := b.pending[rapid.IntRange(0, len(b.pending)-1).Draw(b.t, "seal")]
	end := b.state.Billing.SealedUntil
	if b.apply(b.state.Leases[lease].Term, seal) == fold.Accepted && seal.Window < end {
		b.t.Fatalf("window %d starts before the sealed end %d", seal.Window, end)
	}
}

func (b *bills) billed() int64 {
	sum := int64(0)
	for _, w := range b.state.Windows {
		for _, f := range w.Figures {
			sum += f.Requests
		}
	}
	return sum
}

// finish delivers every source's counts and seals until nothing is due.
func (b *bills) finish() {
	b.now += 24 * time.Hour
	for _, source := range b.sources {
		b.books[0].Add(source.Report())
	}
	for {
		seal, due := b.books[0].NextSeal(b.settled(), at(b.now), usage.WindowConfig{Window: b.window}, everybody)
		if !due {
			return
		}
		seal.Lease = lease
		if v := b.apply(b.state.Leases[lease].Term, seal); v != fold.Accepted {
			b.t.Fatalf("seal of window %d is %s", seal.Window, v)
		}
	}
}

func TestEveryUseIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBills(t)
		steps := []func(){
			b.count, b.count, b.deliver, b.deliver, b.seal, b.land,
			func() { b.now += time.Duration(rapid.IntRange(1, stepSeconds).Draw(t, "seconds")) * time.Second },
			func() { b.window = time.Duration(rapid.IntRange(20, 150).Draw(t, "window")) * time.Second },
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			if b.billed() > b.counted {
				t.Fatalf("billed %d of %d requests", b.billed(), b.counted)
			}
		}
		b.finish()
		if b.billed() != b.counted {
			t.Fatalf("billed %d of %d requests", b.billed(), b.counted)
		}
	})
}
