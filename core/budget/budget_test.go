package budget_test

import (
	"testing"

	"github.com/amaranthfold/amaranthfold/core/budget"
)

// Bodies without end to 60 requests take turns with small responses. Each small one is granted, and
// the sum never exceeds the capacity.
func TestSmallResponsesAreGrantedBesideBodiesWithoutEnd(t *testing.T) {
	const capacity, step, small = 16 << 20, 256 << 10, 8 << 10
	b := budget.New(capacity)
	open := map[uint64]bool{}
	ended := 0
	end := func(ids ...uint64) {
		for _, id := range ids {
			b.Close(id)
			delete(open, id)
			ended++
		}
	}
	for id := range uint64(60) {
		open[id] = true
	}
	for round := range uint64(40) {
		for id := range uint64(60) {
			for open[id] {
				v, yield := b.Grow(id, step)
				end(yield...)
				if v == budget.Refused {
					end(id)
				}
				if v != budget.Wait {
					break
				}
			}
			if b.Used() > capacity {
				t.Fatalf("%d bytes are held", b.Used())
			}
		}
		id := 1000 + round
		v, yield := b.Grow(id, small)
		end(yield...)
		if v == budget.Wait {
			v, _ = b.Grow(id, small)
		}
		if v != budget.Granted || !b.Settle(id) {
			t.Fatalf("round %d: verdict %d", round, v)
		}
		b.Close(id)
	}
	if ended == 0 || b.Spent() {
		t.Errorf("%d bodies ended, spent: %t", ended, b.Spent())
	}
}

func TestWholeResponsesDoNotYield(t *testing.T) {
	b := budget.New(100)
	if v, _ := b.Grow(1, 90); v != budget.Granted || !b.Settle(1) {
		t.Fatal("not granted")
	}
	if v, yield := b.Grow(2, 20); v != budget.Refused || len(yield) > 0 {
		t.Errorf("verdict %d, %v yield", v, yield)
	}
	if v, _ := b.Grow(2, 10); v != budget.Granted || !b.Spent() {
		t.Errorf("verdict %d, spent %t", v, b.Spent())
	}
	b.Close(1)
	if b.Used() != 10 || b.Spent() {
		t.Errorf("%d bytes are held, spent %t", b.Used(), b.Spent())
	}
}

func TestTheLargestYieldsAndIsWaitedFor(t *testing.T) {
	b := budget.New(100)
	b.Grow(1, 30)
	b.Grow(2, 60)
	if v, yield := b.Grow(3, 20); v != budget.Wait || len(yield) != 1 || yield[0] != 2 {
		t.Fatalf("verdict %d, %v yield", v, yield)
	}
	if v, yield := b.Grow(3, 20); v != budget.Wait || len(yield) > 0 {
		t.Errorf("asked again: verdict %d, %v yield", v, yield)
	}
	if v, _ := b.Grow(2, 1); v != budget.Refused || b.Settle(2) {
		t.Error("a holder that yields goes on")
	}
	b.Close(2)
	if v, _ := b.Grow(3, 20); v != budget.Granted || b.Used() != 50 {
		t.Errorf("verdict %d, %d bytes are held", v, b.Used())
	}
	if v, yield := b.Grow(1, 60); v != budget.Refused || len(yield) > 0 {
		t.Errorf("the largest asks: verdict %d, %v yield", v, yield)
	}
}
