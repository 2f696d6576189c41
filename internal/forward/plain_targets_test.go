package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

// pool counts the connections of an instance to its targets as a client does that keeps idle ones.
type pool struct{ open, busy, dialled map[string]int }

func newPool() *pool {
	return &pool{open: map[string]int{}, busy: map[string]int{}, dialled: map[string]int{}}
}

func (p *pool) take(address string) {
	if p.busy[address]++; p.busy[address] > p.open[address] {
		p.open[address]++
		p.dialled[address]++
	}
}

// Load pattern: few callers' requests at a time, of which some overlap, and bursts of score calls
// at the end of a step, to four targets of six slots. Each new connection costs its target time.
func TestPlainRequestsStayWithTargetsThatHaveIdleConnections(t *testing.T) {
	view := &node.View{}
	for i := range 4 {
		id := fmt.Sprint("p", i)
		view.Targets = append(view.Targets, directory.Target{ID: id, Address: id, Service: "desk", DataCentre: "elsewhere", Slots: 6, Ready: true})
	}
	connections := newPool()
	targets := newPlainTargets(retry.EjectionLimits{Failures: 3, BaseDuration: time.Second, MaxDuration: time.Second, Share: 0.5},
		func(address string) int { return connections.open[address] })
	serve := func(atOnce int, random uint64) (used map[string]int) {
		used = map[string]int{}
		var inFlight []directory.Target
		for k := range atOnce {
			target, found := targets.choose(0, view, "desk", "here", nil, false, random+uint64(k))
			if !found {
				t.Fatal("no target was chosen")
			}
			connections.take(target.Address)
			used[target.ID]++
			inFlight = append(inFlight, target)
		}
		for _, target := range inFlight {
			connections.busy[target.Address]--
			targets.release(0, target, false, 4, true, 0)
		}
		return used
	}
	total := func() (n int) {
		for _, k := range connections.dialled {
			n += k
		}
		return n
	}
	for i := range 200 {
		serve(1+i%2, uint64(i))
	}
	if got := total(); got > 3 {
		t.Errorf("200 times one or two requests at once took %d connections: %v", got, connections.dialled)
	}
	for id, n := range serve(12, 7) { // a burst is spread all the same
		if n > 4 {
			t.Errorf("target %s of six slots got %d of 12 requests at once, while four targets were free", id, n)
		}
	}
	before := total()
	serve(12, 9)
	if got := total() - before; got > 2 {
		t.Errorf("a second burst of the same size took %d further connections", got)
	}
}
