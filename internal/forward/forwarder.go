// Package forward serves the plain requests and streams of callers: it sends each request to a
// target of its service, or through another instance while this one reaches no target, and the
// response to the caller. It also holds what every request of a caller needs, whatever serves
// it: its account and route, and the responses that the instance generates itself.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/node"
)

const (
	ejectFailures = 3                      // consecutive failures that eject a target of a plain service
	ejectBase     = 500 * time.Millisecond // first ejection; each further one lasts twice as long
	ejectMax      = 4 * time.Second        // longest ejection
	ejectShare    = 0.7                    // largest fraction of a service's targets that may be ejected
)

// Forwarder forwards the plain requests and streams of callers to targets.
type Forwarder struct {
	*node.Node
	countRequest  func(account string, wall time.Time) // counts a request that a target has run
	plainTargets  *plainTargets
	intakes       *intakes
	relays        *relays
	crashDetector *crashDetector
	poisonGuard   *poisonGuard
}

// New returns a forwarder of the node. countRequest is called for each request that may
// have run at a target, with its account and the wall time.
func New(n *node.Node, countRequest func(account string, wall time.Time)) *Forwarder {
	f := &Forwarder{Node: n, countRequest: countRequest}
	f.plainTargets = newPlainTargets(retry.EjectionLimits{Failures: ejectFailures, BaseDuration: ejectBase, MaxDuration: ejectMax, Share: ejectShare}, n.OpenConnections)
	f.intakes = newIntakes(f)
	f.relays = newRelays(f)
	f.crashDetector = newCrashDetector(f)
	f.poisonGuard = newPoisonGuard(f)
	return f
}

// Loops returns the functions that the forwarder needs. Each runs until its context ends.
func (f *Forwarder) Loops() []func(context.Context) error {
	return []func(context.Context) error{f.poisonGuard.run}
}

// OnRecord acts on a record of the log that has been applied to the state.
func (f *Forwarder) OnRecord(r job.Record) { f.poisonGuard.onRecord(r) }

// ServeRelayed serves a request with HeaderRelayed, which another instance relays.
func (f *Forwarder) ServeRelayed(w http.ResponseWriter, r *http.Request) { f.relays.serve(w, r) }
