package dispatch

import (
	"sync"

	"github.com/amaranthfold/amaranthfold/core/drain"
)

// inFlight counts this instance's requests by target, from before they request a slot
// until they finish. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	byTarget map[string]int
}

func newInFlight() *inFlight { return &inFlight{byTarget: map[string]int{}} }

func (u *inFlight) begin(target string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byTarget[target]++
}

func (u *inFlight) end(target string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byTarget[target]--; u.byTarget[target] == 0 {
		delete(u.byTarget, target)
	}
}

// InFlight returns the numbers of this instance's requests in flight, for those of the
// targets that have any.
func (d *Dispatcher) InFlight(targets []string) []drain.InFlight {
	d.inFlight.mu.Lock()
	defer d.inFlight.mu.Unlock()
	var out []drain.InFlight
	for _, id := range targets {
		if n := d.inFlight.byTarget[id]; n > 0 {
			out = append(out, drain.InFlight{Target: id, Requests: n})
		}
	}
	return out
}
