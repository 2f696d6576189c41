package fold

import (
	"fmt"
	"maps"
	"time"

	"github.com/amaranthfold/amaranthfold/core/record"
)

// retiredSourceTTLMillis is how long a retired source, one that is not billed any more,
// is kept: in milliseconds from the end of the window that retired it to the end of the
// latest sealed window. For that long, late duplicate reports of the source are
// recognised and not billed again.
const retiredSourceTTLMillis = int64(24 * time.Hour / time.Millisecond)

// Billing holds what seals have billed so far. A source is one incarnation of one
// instance.
type Billing struct {
	LastSeal    record.Offset           `cbor:"1,keyasint"` // offset of the latest seal; zero: none
	SealedUntil int64                   `cbor:"2,keyasint"` // end of the latest sealed window, Unix milliseconds
	Sources     map[string]BilledSource `cbor:"3,keyasint"` // by source
	Retired     map[string]int64        `cbor:"4,keyasint"` // by source: end of the window that retired it, Unix milliseconds
}

// BilledSource holds what seals have billed of one source.
type BilledSource struct {
	Figures    []record.UsageFigure `cbor:"1,keyasint"` // cumulative, by account and service
	LastBilled int64                `cbor:"2,keyasint"` // end of the window that last billed it, Unix milliseconds
}

func newBilling() Billing {
	return Billing{Sources: map[string]BilledSource{}, Retired: map[string]int64{}}
}

// Clone returns a copy that shares no map with b.
func (b Billing) Clone() Billing {
	b.Sources, b.Retired = maps.Clone(b.Sources), maps.Clone(b.Retired)
	return b
}

// foldUsageSeal keeps the invariants that sealed windows do not overlap and that the
// author of a seal had applied the seal before it.
func (s *State) foldUsageSeal(offset record.Offset, env record.Envelope, b record.UsageSeal) (Verdict, error) {
	if err := s.checkLeaseholder(b.Lease, env.Author, env.Supersedes); err != nil {
		return Conflict, err
	}
	if b.Window <= s.WindowLowWatermark {
		return Conflict, fmt.Errorf("window %d is settled: windows up to %d are forgotten", b.Window, s.WindowLowWatermark)
	}
	if w, sealed := s.Windows[b.Window]; sealed {
		return Conflict, fmt.Errorf("window %d was sealed at offset %d", b.Window, w.Sealed)
	}
	if b.Previous != s.Billing.LastSeal || b.Window < s.Billing.SealedUntil {
		return Conflict, fmt.Errorf("seal of window %d follows offset %d, the latest is %d and ends at %d", b.Window, b.Previous, s.Billing.LastSeal, s.Billing.SealedUntil)
	}
	end := max(b.End, b.Window+1)
	s.Windows[b.Window] = Window{Start: b.Window, Figures: b.Figures, Sealed: offset, End: end, Late: b.Late}
	s.Billing.applySeal(offset, end, b)
	return Accepted, nil
}

// applySeal records what the seal bills, removes the sources that it retires from
// Sources, and prunes Retired.
func (b *Billing) applySeal(offset record.Offset, end int64, seal record.UsageSeal) {
	b.LastSeal, b.SealedUntil = offset, end
	for _, source := range seal.Sources {
		b.Sources[source.Source] = BilledSource{Figures: source.Figures, LastBilled: end}
	}
	for _, source := range seal.Retired {
		delete(b.Sources, source)
		b.Retired[source] = end
	}
	maps.DeleteFunc(b.Retired, func(_ string, retiredAt int64) bool { return retiredAt < end-retiredSourceTTLMillis })
}
