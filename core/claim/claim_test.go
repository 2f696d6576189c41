package claim_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/amaranthfold/amaranthfold/core/claim"
	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
)

// attempt returns claim number n of a key.
func attempt(n int, key byte) claim.Claim {
	return claim.Claim{Key: claim.Key{key}, ID: claim.ID{byte(n), byte(n >> 8), byte(n >> 16)}}
}

func TestDecisions(t *testing.T) {
	first := attempt(1, 'k')
	other := attempt(2, 'k')
	otherContent := claim.Claim{Key: other.Key, ID: other.ID, Digest: 9}
	for _, c := range []struct {
		name   string
		before func(*claim.Table)
		claim  claim.Claim
		want   claim.Decision
	}{
		{"first", func(*claim.Table) {}, first, claim.Decision{ID: first.ID, Acquired: true, Holder: "a", SameContent: true}},
		{"repeat", func(t *claim.Table) { t.Acquire("b", 0, other) }, first, claim.Decision{ID: first.ID, Holder: "b", SameContent: true}},
		{"other content", func(t *claim.Table) { t.Acquire("b", 0, otherContent) }, first, claim.Decision{ID: first.ID, Holder: "b"}},
		{"canceled", func(t *claim.Table) { t.Acquire("b", 0, other); t.Cancel("b", other.ID) }, first, claim.Decision{ID: first.ID, Acquired: true, Holder: "a", SameContent: true}},
		{"canceled by another instance", func(t *claim.Table) { t.Acquire("b", 0, other); t.Cancel("c", other.ID) }, first, claim.Decision{ID: first.ID, Holder: "b", SameContent: true}},
		{"canceled before it was read", func(t *claim.Table) { t.Cancel("a", first.ID) }, first, claim.Decision{ID: first.ID, Holder: "a", SameContent: true}},
		{"applied again after it was canceled", func(t *claim.Table) { t.Acquire("a", 0, first); t.Cancel("a", first.ID) }, first, claim.Decision{ID: first.ID, Holder: "a", SameContent: true}},
		{"applied again", func(t *claim.Table) { t.Acquire("a", 0, first) }, first, claim.Decision{ID: first.ID, Acquired: true, Holder: "a", SameContent: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &claim.Table{}
			c.before(table)
			if got := table.Acquire("a", 0, c.claim); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestTableSizeIsBounded(t *testing.T) {
	table := &claim.Table{}
	for i := range claim.Capacity + 10 {
		key := claim.KeyOf("shop", fmt.Sprint(i))
		table.Acquire("a", int64(i), claim.Claim{Key: key, ID: claim.ID(key)})
		table.Cancel("a", claim.ID{1, byte(i), byte(i >> 8), byte(i >> 16)})
	}
	if table.Len() != claim.Capacity || len(table.Entries) != claim.Capacity {
		t.Fatalf("table has %d claims, want %d", table.Len(), claim.Capacity)
	}
	if table.Horizon != 9 {
		t.Fatalf("horizon is %d, want 9", table.Horizon)
	}
	if len(table.Cancellations) >= claim.Capacity {
		t.Fatalf("table has %d cancellations", len(table.Cancellations))
	}
}

// In every order of claims and cancellations, at most one attempt runs a request, also if the
// table is replaced by a decoded copy in between.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &claim.Table{}
		ranBy := map[byte]claim.ID{}
		holders := []string{"a", "b"}
		for n := range rapid.IntRange(0, 100).Draw(t, "steps") {
			holder := rapid.SampledFrom(holders).Draw(t, "holder")
			key := rapid.SampledFrom([]byte("xyz")).Draw(t, "key")
			c := attempt(n+1, key)
			canceledBeforeRead := rapid.Bool().Draw(t, "canceled before it is read")
			if canceledBeforeRead {
				table.Cancel(holder, c.ID)
			}
			if rapid.Bool().Draw(t, "checkpoint") {
				table = decoded(t, table)
			}
			if d := table.Acquire(holder, 0, c); !d.Acquired {
				continue
			}
			if canceledBeforeRead {
				t.Fatal("a canceled claim was acquired")
			}
			if first, ran := ranBy[key]; ran {
				t.Fatalf("request %c was acquired by %v and %v", key, first, c.ID)
			}
			if rapid.Bool().Draw(t, "not run") {
				table.Cancel(holder, c.ID)
				continue
			}
			ranBy[key] = c.ID
		}
	})
}

// decoded encodes a table and returns the decoded copy.
func decoded(t *rapid.T, table *claim.Table) *claim.Table {
	data, err := cbor.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	out := &claim.Table{}
	if err := cbor.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestTimeOf(t *testing.T) {
	if at, ok := claim.TimeOf("01890a5d-ac96-774b-bcce-b302099a8057"); !ok || at != 0x01890a5dac96 {
		t.Errorf("got %x, %t", at, ok)
	}
	if _, ok := claim.TimeOf("f47ac10b-58cc-4372-a567-0e02b2c3d479"); ok {
		t.Error("a random id has no time")
	}
}

func FuzzKeyOf(f *testing.F) {
	f.Add("shop", "1", "shop1", "")
	f.Fuzz(func(t *testing.T, account, request, otherAccount, otherRequest string) {
		same := account == otherAccount && request == otherRequest
		if (claim.KeyOf(account, request) == claim.KeyOf(otherAccount, otherRequest)) != same {
			t.Errorf("keys of %q %q and %q %q", account, request, otherAccount, otherRequest)
		}
	})
}
