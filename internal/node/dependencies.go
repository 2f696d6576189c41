package node

import (
	"sync"

	"github.com/amaranthfold/amaranthfold/internal/events"
)

// dependencyStatus holds which dependencies are unavailable, so that each loss and each
// recovery is logged once. A dependency is reading from or appending to one topic.
type dependencyStatus struct {
	mu   sync.Mutex
	lost map[string]bool
}

func (d *dependencyStatus) isLost(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[name]
}

func (d *dependencyStatus) set(name string, lost bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost == nil {
		d.lost = map[string]bool{}
	}
	changed = d.lost[name] != lost
	d.lost[name] = lost
	return changed
}

// DependencyLost notes that a dependency is unavailable.
func (n *Node) DependencyLost(name string, err error) {
	if n.dependencies.set(name, true) {
		n.Log("dependency lost", events.F("dependency", name), events.F("error", err.Error()))
	}
}

// dependencyRegained notes that a dependency is available.
func (n *Node) dependencyRegained(name string) {
	if n.dependencies.set(name, false) {
		n.Log("dependency regained", events.F("dependency", name))
	}
}
