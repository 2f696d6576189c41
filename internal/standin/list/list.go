// Package list is a stand-in for the platform's list of instances, which is
// eventually consistent: every change becomes visible after a fixed lag. A fault
// switch makes the list unavailable.
package list

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// List holds all changes of the list of instances. A change is visible after lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	down    bool
}

// change sets an instance or, if removed is set, removes the one with its id.
type change struct {
	at       time.Time
	instance platform.ListedInstance
	removed  bool
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set adds or replaces an instance.
func (l *List) Set(i platform.ListedInstance) { l.record(change{instance: i}) }

// Remove removes an instance from the list.
func (l *List) Remove(id string) {
	l.record(change{instance: platform.ListedInstance{ID: id}, removed: true})
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) record(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.changes = append(l.changes, c)
}

// visible returns the visible instances, sorted by id. The second result is false during
// an outage.
func (l *List) visible() ([]platform.ListedInstance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances := map[string]platform.ListedInstance{}
	cutoff := time.Now().Add(-l.lag)
	for _, c := range l.changes {
		if c.at.After(cutoff) {
			continue
		}
		if c.removed {
			delete(instances, c.instance.ID)
		} else {
			instances[c.instance.ID] = c.instance
		}
	}
	out := make([]platform.ListedInstance, 0, len(instances))
	for _, i := range instances {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, !l.down
}

// Handler serves the list interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		instances, up := l.visible()
		if !up {
			http.Error(w, "list is down", http.StatusServiceUnavailable)
			return
		}
		standin.WriteJSON(w, platform.InstancesReply{Instances: instances})
	})
	return mux
}
