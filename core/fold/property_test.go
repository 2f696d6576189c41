package fold_test

import (
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/fold"
	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// drawBody draws a record's body. It has few names to draw from, so that records
// often concern the same object.
func drawBody(t *rapid.T) record.Body {
	name := rapid.SampledFrom([]string{"a", "b"})
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return record.Config{YAML: []byte(configYAML)}
	case 1:
		return record.KeyGrant{KeyID: name.Draw(t, "key"), Account: rapid.SampledFrom([]string{"shop", "nobody"}).Draw(t, "account")}
	case 2:
		return record.KeyWithdraw{KeyID: name.Draw(t, "key"), Account: "shop"}
	case 3:
		return record.Lease{Name: "deployment", Holder: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "holder")}
	case 4:
		return record.OrderIntent{OrderID: name.Draw(t, "order"), Lease: "deployment"}
	case 5:
		return record.OrderDone{OrderID: name.Draw(t, "order")}
	case 6:
		return record.UsageSeal{Lease: "deployment", Window: rapid.Int64Range(1, 5).Draw(t, "window")}
	default:
		return record.UsageSent{Window: rapid.Int64Range(1, 5).Draw(t, "window")}
	}
}

// TestAnyCheckpoint applies a random log to two states: all records to the one, and to the
// other, which is restored from a checkpoint before a random record, the rest. Both must
// give the same verdicts and end equal.
func TestAnyCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := fold.New()
		var restored *fold.State
		n := rapid.IntRange(1, 40).Draw(t, "records")
		checkpointAt := rapid.IntRange(0, n-1).Draw(t, "checkpoint")
		for i := range n {
			if i == checkpointAt {
				restored = restoredState(t, original)
			}
			env := record.Envelope{
				ID: uuid.UUID{byte(rapid.IntRange(1, 30).Draw(t, "id"))}, Author: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "author"),
				Supersedes: record.Offset(rapid.IntRange(0, i).Draw(t, "supersedes")),
			}
			data, err := record.EncodeEnvelope(env, drawBody(t))
			if err != nil {
				t.Fatal(err)
			}
			want := apply(t, original, data)
			if restored != nil && apply(t, restored, data) != want {
				t.Fatalf("record %d: verdict differs from %s", i, want)
			}
		}
		a, errA := original.Digest()
		b, errB := restored.Digest()
		if errA != nil || errB != nil || a != b || original.HashChain != restored.HashChain {
			t.Fatalf("states differ after %d records, checkpoint before record %d: %v, %v", n, checkpointAt, errA, errB)
		}
	})
}

func restoredState(t *rapid.T, s *fold.State) *fold.State {
	parts, err := s.CheckpointParts()
	if err != nil {
		t.Fatal(err)
	}
	out, err := fold.Restore(parts)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func apply(t *rapid.T, s *fold.State, data []byte) fold.Verdict {
	res, err := s.Apply(s.Applied+1, data)
	if err != nil {
		t.Fatal(err)
	}
	return res.Verdict
}
