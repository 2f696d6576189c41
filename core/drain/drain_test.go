package drain_test

import (
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/drain"
	"github.com/amaranthfold/amaranthfold/core/record"
)

func TestIdleOnlyOverAllInstances(t *testing.T) {
	const target = "t"
	both := []string{"a", "b"}
	busy := []drain.InFlight{{Target: target, Requests: 1}}
	for _, c := range []struct {
		name      string
		reports   map[string]drain.Report
		instances []string
		want      bool
	}{
		{"no instance has reported", nil, both, false},
		{"one instance has not reported", map[string]drain.Report{"a": {RoutingOffset: 7}}, both, false},
		{"one instance has not read the drain", map[string]drain.Report{"a": {RoutingOffset: 7}, "b": {RoutingOffset: 6}}, both, false},
		{"one instance has a request", map[string]drain.Report{"a": {RoutingOffset: 7}, "b": {RoutingOffset: 9, InFlight: busy}}, both, false},
		{"no requests", map[string]drain.Report{"a": {RoutingOffset: 7}, "b": {RoutingOffset: 9}}, both, true},
		{"the instance with a request is removed", map[string]drain.Report{"a": {RoutingOffset: 7}, "b": {RoutingOffset: 9, InFlight: busy}}, []string{"a"}, true},
		{"no instances", nil, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := drain.New()
			for id, r := range c.reports {
				tracker.SetReport(id, r)
			}
			tracker.Update(time.Second, map[string]record.Offset{target: 7}, c.instances)
			if _, idle := tracker.Idle()[target]; idle != c.want {
				t.Errorf("idle is %t, want %t", idle, c.want)
			}
		})
	}
}

func TestSettleTimeStartsAfterLastRequest(t *testing.T) {
	tracker := drain.New()
	drains := map[string]record.Offset{"t": 1}
	tracker.SetReport("a", drain.Report{RoutingOffset: 1})
	tracker.Update(time.Second, drains, []string{"a"})
	tracker.SetReport("a", drain.Report{RoutingOffset: 2, InFlight: []drain.InFlight{{Target: "t", Requests: 1}}})
	tracker.Update(2*time.Second, drains, []string{"a"})
	tracker.SetReport("a", drain.Report{RoutingOffset: 2})
	tracker.Update(3*time.Second, drains, []string{"a"})
	since := tracker.Idle()["t"]
	if since != 3*time.Second {
		t.Fatalf("idle since %s, want 3s", since)
	}
	if drain.MayStop(4*time.Second, since, 2*time.Second) || !drain.MayStop(5*time.Second, since, 2*time.Second) {
		t.Fatal("want MayStop to be true from the end of the settle time and false before")
	}
	tracker.Update(6*time.Second, nil, []string{"a"})
	if len(tracker.Idle()) != 0 {
		t.Fatal("target is still idle after its drain was removed")
	}
}
