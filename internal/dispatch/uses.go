package dispatch

import (
	"sync"

	"github.com/amaranthfold/amaranthfold/core/drain"
)

// uses counts this instance's requests by target, from before they ask for a
// slot until they finish. It is safe for concurrent use.
type uses struct {
	mu       sync.Mutex
	byTarget map[string]int
}

func newUses() *uses { return &uses{byTarget: map[string]int{}} }

func (u *uses) begin(target string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byTarget[target]++
}

func (u *uses) end(target string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byTarget[target]--; u.byTarget[target] == 0 {
		delete(u.byTarget, target)
	}
}

// Uses returns this instance's requests at the targets.
func (d *Dispatcher) Uses(targets []string) []drain.Use {
	d.uses.mu.Lock()
	defer d.uses.mu.Unlock()
	var out []drain.Use
	for _, id := range targets {
		if n := d.uses.byTarget[id]; n > 0 {
			out = append(out, drain.Use{Target: id, Requests: n})
		}
	}
	return out
}
