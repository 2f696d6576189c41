package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
)

// View is what traffic goroutines know of the deployment. It is immutable.
type View struct {
	Catalog         *catalog.Catalog // nil: none is known yet
	Targets         []directory.Target
	DesiredVersions map[string]int64 // named version by model
}

// stateLoop owns the control state: one goroutine changes it, others send it
// functions to run and read the published view.
type stateLoop struct {
	state           *job.State
	targets         *directory.Directory
	catalog         *catalog.Catalog
	desiredVersions map[string]int64
	allowedLag      map[string]int64 // versions that the latest job allows behind the named one, by model
	nextOffset      int64            // offset of the log's next record to fold

	calls   chan func()
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}] // closed at the next change

	lastOperatorRead   atomic.Int64 // boot time of the last answer, nanoseconds
	lastRegistryRead   atomic.Int64
	lastLogRead        atomic.Int64
	logContinuousSince atomic.Int64 // boot time from which the log was followed without a gap
	foldedOffset       atomic.Int64 // next, for other goroutines
	caughtUp           atomic.Bool  // the log was folded to its end once
}

func newStateLoop(rejoin time.Duration) *stateLoop {
	b := &stateLoop{
		state: job.NewState(), targets: directory.New(rejoin),
		desiredVersions: map[string]int64{}, allowedLag: map[string]int64{}, calls: make(chan func()),
	}
	first := make(chan struct{})
	b.changed.Store(&first)
	b.view.Store(&View{DesiredVersions: map[string]int64{}})
	return b
}

func (b *stateLoop) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-b.calls:
			f()
		}
	}
}

// do runs f on the control goroutine and waits for it. It reports whether f ran.
func (b *stateLoop) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case b.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

// update runs f like do, publishes the view and wakes everyone who waits.
func (b *stateLoop) update(ctx context.Context, f func()) bool {
	return b.do(ctx, func() {
		f()
		b.publish()
	})
}

// publish must run on the control goroutine.
func (b *stateLoop) publish() {
	weights := make(map[string]int64, len(b.desiredVersions))
	for m, v := range b.desiredVersions {
		weights[m] = v
	}
	b.view.Store(&View{Catalog: b.catalog, Targets: b.targets.Targets(), DesiredVersions: weights})
	b.notifyWaiters()
}

// notifyWaiters tells waiters that the state has changed.
func (b *stateLoop) notifyWaiters() {
	next := make(chan struct{})
	close(*b.changed.Swap(&next))
}

// nextChange returns a channel that is closed at the next change. It must be taken
// before the state is looked at.
func (b *stateLoop) nextChange() <-chan struct{} { return *b.changed.Load() }
