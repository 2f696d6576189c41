// Package list is a stand-in for the platform's lagging list of instances.
package list

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// List shows instances after a lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	down    bool
}

type change struct {
	at       time.Time
	instance platform.ListedInstance
	removed  bool
}

// New returns an empty list whose changes show after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set adds or replaces an instance.
func (l *List) Set(i platform.ListedInstance) { l.record(change{instance: i}) }

// Remove takes an instance off the list.
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

func (l *List) visible() ([]platform.ListedInstance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := map[string]platform.ListedInstance{}
	horizon := time.Now().Add(-l.lag)
	for _, c := range l.changes {
		if c.at.After(horizon) {
			continue
		}
		if c.removed {
			delete(shown, c.instance.ID)
		} else {
			shown[c.instance.ID] = c.instance
		}
	}
	out := make([]platform.ListedInstance, 0, len(shown))
	for _, i := range shown {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, !l.down
}

// Handler serves the list's contract.
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
