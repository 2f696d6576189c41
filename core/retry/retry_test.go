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

func TestNonRepeatableIsRetriedOnlyIfNotRun(t *testing.T) {
	for o, want := range map[retry.Outcome]bool{retry.NotRun: true, retry.Unknown: false, retry.Ran: false} {
		if got := retry.Allowed(o, false); got != want {
			t.Errorf("Allowed(%s, false) is %t", o, got)
		}
	}
}

// In any sequence, retries stay within burst plus ratio times the requests.
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

var limits = retry.EjectionLimits{Failures: 3, BaseDuration: time.Second, MaxDuration: 30 * time.Second, Share: 0.5}

func TestEjectionAndProbe(t *testing.T) {
	d := retry.NewOutlierDetector(limits)
	for i := range 3 {
		if ejected := d.RecordFailure(0, "s", "a", 4, 0); ejected != (i == 2) {
			t.Fatalf("failure %d: ejected is %t", i+1, ejected)
		}
	}
	if d.Allow(time.Second-1, "a") {
		t.Fatal("a request was allowed during the ejection")
	}
	if !d.Allow(time.Second, "a") || d.Allow(time.Second, "a") {
		t.Fatal("want exactly one probe after the ejection")
	}
	if !d.RecordFailure(time.Second, "s", "a", 4, 0) || d.Allow(3*time.Second-1, "a") {
		t.Fatal("a failed probe must double the ejection")
	}
	if !d.Allow(3*time.Second, "a") || !d.RecordSuccess("a") || !d.AllHealthy() {
		t.Fatal("a successful probe must end the ejection")
	}
}

func TestCanceledProbeAllowsAnother(t *testing.T) {
	d := retry.NewOutlierDetector(limits)
	for range 3 {
		d.RecordFailure(0, "s", "a", 4, 0)
	}
	d.Allow(time.Minute, "a")
	d.CancelProbe("a")
	if !d.Allow(time.Minute, "a") {
		t.Fatal("no probe was allowed after a canceled one")
	}
}

// In any sequence, no more than the share of a service's targets is ejected, and every
// target is probed again in bounded time.
func TestEjectedShareBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		ids := []string{"a", "b", "c", "d", "e", "f"}
		d := retry.NewOutlierDetector(limits)
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom(ids).Draw(t, "target")
			if !d.Allow(now, id) {
				continue
			}
			switch rapid.IntRange(0, 3).Draw(t, "result") {
			case 0:
				d.RecordSuccess(id)
			case 1:
				d.CancelProbe(id)
			default:
				d.RecordFailure(now, "s", id, size, rapid.Float64Range(0, 1).Draw(t, "jitter"))
			}
		}
		ejected := 0
		for _, id := range ids {
			if !d.Allow(now, id) {
				ejected++
			}
			d.CancelProbe(id)
			if !d.Allow(now+2*limits.MaxDuration, id) {
				t.Fatalf("target %s is not probed", id)
			}
		}
		if ejected > size/2 {
			t.Fatalf("%d of %d targets are ejected", ejected, size)
		}
	})
}
