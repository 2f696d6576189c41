package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
	"github.com/amaranthfold/amaranthfold/core/poison"
)

func digest(name string) poison.Digest {
	return poison.DigestOf("acme", "POST", "h", "/x", []byte(name))
}

func target(n int) poison.Target { return poison.Target{ID: fmt.Sprint("t", n)} }

// crash records the crash of a new target under the named requests.
func crash(l *poison.Ledger, at time.Duration, n int, names ...string) []poison.Digest {
	var requests []poison.Digest
	for _, name := range names {
		requests = append(requests, digest(name))
	}
	return l.Crashed(at, target(n), requests)
}

func TestRequestsAreKnownByTheirContent(t *testing.T) {
	d := poison.DigestOf("a", "POST", "h", "/x", []byte("b"))
	for _, other := range []poison.Digest{
		poison.DigestOf("b", "POST", "h", "/x", []byte("b")), poison.DigestOf("a", "PUT", "h", "/x", []byte("b")),
		poison.DigestOf("a", "POST", "i", "/x", []byte("b")), poison.DigestOf("a", "POST", "h", "/x?q", []byte("b")),
		poison.DigestOf("a", "POST", "h", "/x", nil), poison.DigestOf("a", "POST", "h", "/", []byte("xb")),
	} {
		if d == other {
			t.Error("two requests have one digest")
		}
	}
}

func TestThirdCrashCondemns(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 0, 1, "p")
	crash(l, 0, 1, "p") // reported twice
	crash(l, 0, 2, "p")
	if l.Check(0, digest("p")).Condemned {
		t.Fatal("condemned after two crashes")
	}
	if got := crash(l, time.Second, 3, "p"); !slices.Equal(got, []poison.Digest{digest("p")}) {
		t.Fatalf("the third crash condemns %v", got)
	}
	if l.Check(11*time.Minute, digest("p")).Condemned {
		t.Fatal("held for ever")
	}
	crash(l, 11*time.Minute, 4, "p")
	if !l.Check(11*time.Minute, digest("p")).Condemned {
		t.Fatal("the repeat after the hold crashed a target and is not held")
	}
}

// A request that shares every crash with the one that causes them is not condemned with it,
// whichever of the two the evidence shows first.
func TestInnocentRequestBesidePoison(t *testing.T) {
	l := poison.NewLedger()
	for n := range 3 {
		crash(l, 0, n, "p", "innocent")
	}
	if l.Check(0, digest("p")).Condemned || l.Check(0, digest("innocent")).Condemned {
		t.Fatal("nothing tells the two apart yet")
	}
	crash(l, 0, 3, "p")
	crash(l, 0, 4, "innocent", "p")
	if !l.Check(0, digest("p")).Condemned || l.Check(0, digest("innocent")).Condemned {
		t.Fatal("want the one that crashed a target by itself, and no other")
	}
}

// Guards against an innocent request that is condemned, or held for longer than a moment, as the
// crash of its target under the request beside it is reported after its own.
func TestInnocentRequestReportedBeforeThePoisonBesideIt(t *testing.T) {
	l := poison.NewLedger()
	for n := range 2 {
		crash(l, 0, n, "innocent")
		crash(l, 2*time.Millisecond, n, "p")
	}
	at := 400 * time.Millisecond
	if got := crash(l, at, 2, "innocent"); got != nil || l.Check(at, digest("innocent")).HeldFor > poison.SettleTime {
		t.Fatalf("%v condemned, innocent %+v", got, l.Check(at, digest("innocent")))
	}
	crash(l, at+6*time.Millisecond, 2, "p")
	if got, unsettled := l.Settle(time.Second); got != nil || unsettled || l.Check(time.Second, digest("innocent")).Condemned {
		t.Fatalf("%v condemned, unsettled: %t", got, unsettled)
	}
	crash(l, time.Second, 3, "p")
	if v := l.Check(time.Second, digest("p")); !v.Condemned || v.HeldFor != poison.SettleTime {
		t.Fatalf("a request that may have run alone is not held: %+v", v)
	}
	if got, _ := l.Settle(2 * time.Second); !slices.Equal(got, []poison.Digest{digest("p")}) || l.Check(2*time.Second, digest("innocent")).Condemned {
		t.Fatalf("%v condemned", got)
	}
}

func TestServingTheOtherRequestsCondemns(t *testing.T) {
	l := poison.NewLedger()
	for n := range 3 {
		crash(l, 0, n, "p", "innocent")
	}
	if known, condemned := l.Served(time.Second, digest("innocent")); !known || !slices.Equal(condemned, []poison.Digest{digest("p")}) {
		t.Fatalf("served: known %t, condemned %v", known, condemned)
	}
	crash(l, 0, 3, "innocent", "p")
	if v := l.Check(0, digest("innocent")); v.Condemned || v.Crashes != 1 {
		t.Fatalf("the served request starts over, got %+v", v)
	}
}

// Replays targets with 0, 2 and 11 other requests in flight, which come again at random. Poison is condemned after
// five crashes at most, and a request that is served now and then never is.
func TestCrashesAmongRecurringRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := poison.NewLedger()
		beside := rapid.SampledFrom([]int{0, 2, 11}).Draw(t, "beside")
		for n := range 40 {
			names := []string{"poison"}
			for i := range beside {
				names = append(names, fmt.Sprint("innocent-", rapid.IntRange(0, 12).Draw(t, fmt.Sprint("request", i))))
			}
			if l.Check(0, digest("poison")).Condemned {
				break
			}
			if n >= 5 {
				t.Fatalf("a target crashes under it the %d. time", n+1)
			}
			slices.Sort(names)
			crash(l, 0, n, slices.Compact(names)...)
			for i := range 13 {
				name := fmt.Sprint("innocent-", i)
				if l.Check(0, digest(name)).Condemned {
					t.Fatalf("%s is condemned", name)
				}
				if rapid.IntRange(0, 2).Draw(t, "served") > 0 {
					l.Served(0, digest(name))
				}
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	l := poison.NewLedger()
	for n := range 3 {
		crash(l, 0, n, "p")
	}
	for n := range 10_000 {
		crash(l, time.Second, 10+n, fmt.Sprint("once-", n))
	}
	known := 0
	for n := range 10_000 {
		if l.Check(time.Second, digest(fmt.Sprint("once-", n))).Crashes > 0 {
			known++
		}
	}
	if known > 4096 || !l.Check(time.Second, digest("p")).Condemned {
		t.Fatalf("%d requests are known, poison condemned: %t", known, l.Check(time.Second, digest("p")).Condemned)
	}
	crash(l, 2*time.Hour, 1, "later")
	if l.Check(time.Second, digest("p")).Condemned {
		t.Fatal("a request is known for ever")
	}
}

func TestAnnouncementsReachALedgerThatKnowsNothing(t *testing.T) {
	old, young := poison.NewLedger(), poison.NewLedger()
	for n := range 3 {
		crash(old, 0, n, "p")
	}
	due, pending := old.Due(time.Minute, 10*time.Second)
	if len(due) != 1 || !pending {
		t.Fatalf("%d announcements are due", len(due))
	}
	if again, _ := old.Due(time.Minute+time.Second, 10*time.Second); len(again) != 0 {
		t.Fatal("announced again before the interval")
	}
	if !young.Announced(0, due[0]) || young.Check(0, digest("p")).HeldFor != 9*time.Minute {
		t.Fatalf("got %+v", young.Check(0, digest("p")))
	}
}
