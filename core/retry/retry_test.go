package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/amaranthfold/amaranthfold/core/internal/fixedseed"
	"github.com/amaranthfold/amaranthfold/core/retry"
)

func TestOutcomeOfAllAttempts(t *testing.T) {
	for _, c := range []struct{ first, last, want retry.Outcome }{
		{retry.NotRun, retry.NotRun, retry.NotRun},
		{retry.Unknown, retry.NotRun, retry.Unknown},
		{retry.NotRun, retry.Unknown, retry.Unknown},
		{retry.Ran, retry.NotRun, retry.Ran},
		{retry.Unknown, retry.Ran, retry.Ran},
	} {
		if got := c.first.Combine(c.last); got != c.want {
			t.Errorf("%s then %s: got %s, want %s", c.first, c.last, got, c.want)
		}
	}
}

func TestOnlyNotRunIsRepeatedForNonRepeatable(t *testing.T) {
	for o, want := range map[retry.Outcome]bool{retry.NotRun: true, retry.Unknown: false, retry.Ran: false} {
		if got := retry.Allowed(o, false); got != want {
			t.Errorf("May(%s, false) is %t", o, got)
		}
	}
}

// Over any history, retries stay within burst plus ratio per request.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := retry.NewBudget(ratio, burst)
		requests, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests++
			} else if b.TryWithdraw() {
				retries++
			}
		}
		if bound := burst + ratio*float64(requests) + 1e-6; float64(retries) > bound {
			t.Fatalf("%d retries of %d requests, want at most %g", retries, requests, bound)
		}
	})
}

var limits = retry.EjectionLimits{Failures: 3, Base: time.Second, Max: 30 * time.Second, Share: 0.5}

func TestEjectionAndProbe(t *testing.T) {
	h := retry.NewOutlierDetector(limits)
	for i := range 3 {
		if ejected := h.RecordFailure(0, "s", "a", 4, 0); ejected != (i == 2) {
			t.Fatalf("failure %d: ejected is %t", i+1, ejected)
		}
	}
	if h.Allow(time.Second-1, "a") {
		t.Fatal("a request was allowed during the ejection")
	}
	if !h.Allow(time.Second, "a") || h.Allow(time.Second, "a") {
		t.Fatal("want exactly one probe after the ejection")
	}
	if !h.RecordFailure(time.Second, "s", "a", 4, 0) || h.Allow(3*time.Second-1, "a") {
		t.Fatal("a failed probe must double the ejection")
	}
	if !h.Allow(3*time.Second, "a") || !h.RecordSuccess("a") || !h.AllHealthy() {
		t.Fatal("an answered probe must bring the target back")
	}
}

func TestUnsentProbeFreesItsPlace(t *testing.T) {
	h := retry.NewOutlierDetector(limits)
	for range 3 {
		h.RecordFailure(0, "s", "a", 4, 0)
	}
	h.Allow(time.Minute, "a")
	h.CancelProbe("a")
	if !h.Allow(time.Minute, "a") {
		t.Fatal("the next request may probe")
	}
}

// Over any history, no more than the share of a service is ejected, and every
// target is probed again in bounded time.
func TestEjectedShareBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		ids := []string{"a", "b", "c", "d", "e", "f"}
		h := retry.NewOutlierDetector(limits)
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom(ids).Draw(t, "target")
			if !h.Allow(now, id) {
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "result") {
			case 0:
				h.RecordSuccess(id)
			case 1:
				h.CancelProbe(id)
			default:
				h.RecordFailure(now, "s", id, size, rapid.Float64Range(0, 1).Draw(t, "jitter"))
			}
		}
		out := 0
		for _, id := range ids {
			if !h.Allow(now, id) {
				out++
			}
			h.CancelProbe(id)
			if !h.Allow(now+2*limits.Max, id) {
				t.Fatalf("target %s is not probed", id)
			}
		}
		if out > size/2 {
			t.Fatalf("%d of %d targets are ejected", out, size)
		}
	})
}
