package fold_test

import (
	"testing"

	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// FuzzApply applies arbitrary bytes as the first record. Unless Apply returns an
// error, the record must advance the state by one and get a verdict, and the state
// must still encode.
func FuzzApply(f *testing.F) {
	for _, body := range []record.Body{
		record.Config{YAML: []byte(configYAML)},
		record.KeyGrant{KeyID: "k", Account: "shop"},
		record.Lease{Name: "deployment", Holder: "a"},
		record.OrderIntent{OrderID: "o", Lease: "deployment"},
		record.UsageSeal{Lease: "deployment", Window: 60},
		record.TargetDrain{Target: "t"},
	} {
		data, err := record.Encode(uuid.UUID{1}, "a", 0, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("noise"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := fold.New()
		res, err := s.Apply(1, data)
		if err != nil {
			return // ErrUnsupportedFormat: the record needs a newer build
		}
		if s.Applied != 1 || res.Verdict == 0 {
			t.Fatalf("applied %d with verdict %v", s.Applied, res.Verdict)
		}
		if _, err := s.Encode(); err != nil {
			t.Fatalf("the state does not encode: %v", err)
		}
	})
}
