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
			w := drain.New()
			for id, r := range c.reports {
				w.SetReport(id, r)
			}
			w.Update(time.Second, map[string]record.Offset{target: 7}, c.instances)
			if _, idle := w.Idle()[target]; idle != c.want {
				t.Errorf("idle is %t, want %t", idle, c.want)
			}
		})
	}
}

func TestSettleTimeStartsAfterLastRequest(t *testing.T) {
	w := drain.New()
	drains := map[string]record.Offset{"t": 1}
	w.SetReport("a", drain.Report{RoutingOffset: 1})
	w.Update(time.Second, drains, []string{"a"})
	w.SetReport("a", drain.Report{RoutingOffset: 2, InFlight: []drain.InFlight{{Target: "t", Requests: 1}}})
	w.Update(2*time.Second, drains, []string{"a"})
	w.SetReport("a", drain.Report{RoutingOffset: 2})
	w.Update(3*time.Second, drains, []string{"a"})
	since := w.Idle()["t"]
	if since != 3*time.Second {
		t.Fatalf("idle since %s, want 3s", since)
	}
	if drain.MayStop(4*time.Second, since, 2*time.Second) || !drain.MayStop(5*time.Second, since, 2*time.Second) {
		t.Fatal("want a stop after the settle time and not before")
	}
	w.Update(6*time.Second, nil, []string{"a"})
	if len(w.Idle()) != 0 {
		t.Fatal("target is idle after its drain was undone")
	}
}
