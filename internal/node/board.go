package node

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/takeover"
	"github.com/amaranthfold/amaranthfold/internal/clock"
)

// View is a snapshot of the deployment for goroutines that serve requests. It is
// immutable.
type View struct {
	Catalog         *catalog.Catalog   // nil: none has been read yet
	Targets         []directory.Target // sorted by id
	DesiredVersions map[string]int64   // published weight version by model
}

// Target returns the target with the id.
func (v *View) Target(id string) (directory.Target, bool) {
	i, found := slices.BinarySearchFunc(v.Targets, id, func(t directory.Target, id string) int { return strings.Compare(t.ID, id) })
	if !found {
		return directory.Target{}, false
	}
	return v.Targets[i], true
}

// CurrentView returns the latest view.
func (n *Node) CurrentView() *View { return n.StateLoop.view.Load() }

// StateLoop owns the state after applying the log, the targets and the configuration.
// Only the goroutine of run, the state goroutine, accesses the fields up to functions.
// Other goroutines send it functions to run and read the published view.
type StateLoop struct {
	clock           clock.Clock
	State           *job.State
	targets         *directory.Directory
	catalog         *catalog.Catalog
	desiredVersions map[string]int64
	// AllowedStaleness is, by model, how many versions behind the desired version the latest
	// job allows.
	AllowedStaleness map[string]int64
	// nextOffset is the offset of the next record of the control topic to apply. Only
	// functions that followLog sends change it, so followLog also reads it directly.
	nextOffset int64
	// logDelay estimates how long records take into the log, from those that were not in it at
	// the reply before: logEnd is the end that it stated, lastReply when it came.
	logDelay  takeover.LogDelay
	logEnd    int64
	lastReply time.Time

	functions chan func()
	view      atomic.Pointer[View]
	changed   atomic.Pointer[chan struct{}] // closed at the next change

	// Readings of clock.Now in nanoseconds; zero: never.
	lastOperatorRead   atomic.Int64 // last reply to a read of the operator topic
	lastRegistryRead   atomic.Int64 // of the registry topic
	lastLogRead        atomic.Int64 // of the control topic
	lastSkip           atomic.Int64 // records of the control topic were skipped
	LogContinuousSince atomic.Int64 // since then each poll of the control topic got its reply in time

	sharedNextOffset atomic.Int64 // copy of nextOffset for other goroutines
	registryOffset   atomic.Int64 // of the registry's next record to apply
	caughtUp         atomic.Bool  // the log was applied to its end at least once
}

func newStateLoop(c clock.Clock, gracePeriod time.Duration) *StateLoop {
	s := &StateLoop{
		clock: c, State: job.NewState(), targets: directory.New(gracePeriod),
		desiredVersions: map[string]int64{}, AllowedStaleness: map[string]int64{}, functions: make(chan func()),
	}
	first := make(chan struct{})
	s.changed.Store(&first)
	s.view.Store(&View{DesiredVersions: map[string]int64{}})
	return s
}

// run executes the functions that do sends, until ctx ends.
func (s *StateLoop) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.functions:
			f()
		}
	}
}

// Do runs f on the state goroutine and waits for it. It returns false without running f
// if ctx ends first.
func (s *StateLoop) Do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case s.functions <- func() { f(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

// update runs f like do, then publishes the view and notifies the waiters.
func (s *StateLoop) update(ctx context.Context, f func()) bool {
	return s.Do(ctx, func() {
		f()
		s.publish()
	})
}

// publish replaces the view and notifies the waiters. It must run on the state goroutine.
func (s *StateLoop) publish() {
	versions := make(map[string]int64, len(s.desiredVersions))
	for m, v := range s.desiredVersions {
		versions[m] = v
	}
	s.view.Store(&View{Catalog: s.catalog, Targets: s.targets.Targets(s.clock.Now()), DesiredVersions: versions})
	s.notifyWaiters()
}

// notifyWaiters closes the channels that NextChange has returned.
func (s *StateLoop) notifyWaiters() {
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
}

// Evacuated returns the evacuated data centres. It must run on the state goroutine.
func (s *StateLoop) Evacuated() []string { return s.targets.Evacuated() }

// NextChange returns a channel that is closed at the next change. A waiter must call it
// before it reads the state, or it may miss a change.
func (s *StateLoop) NextChange() <-chan struct{} { return *s.changed.Load() }
