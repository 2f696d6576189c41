package node

import (
	"context"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// defaultRegistryDelay is how late the registry may tell of a change, if the settings do not
// state it: two heartbeats and the replication of the second.
const defaultRegistryDelay = 3 * time.Second

// warmCheckInterval bounds how late a target that has become warm gets its full load.
const warmCheckInterval = 250 * time.Millisecond

// brokenNoteTimeout bounds the wait for the state goroutine, which may have ended.
const brokenNoteTimeout = time.Second

// coldStarts returns the cold starts of the services whose targets may be cold.
func coldStarts(c *catalog.Catalog) map[string]directory.ColdStart {
	out := map[string]directory.ColdStart{}
	for name, s := range c.Services {
		if s.ColdPerSecond > 0 {
			out[name] = directory.ColdStart{Duration: s.ColdDuration, PerSecond: s.ColdPerSecond}
		}
	}
	return out
}

// RegistryDelay returns how late the registry may tell of a change.
func (n *Node) RegistryDelay() time.Duration {
	if d := n.Settings.RegistryDelay; d > 0 {
		return d
	}
	return defaultRegistryDelay
}

// setEvacuated starts or ends the evacuation of a data centre. It runs on the state goroutine.
func (n *Node) setEvacuated(now time.Duration, dataCentre string, evacuated bool) {
	switch {
	case evacuated && n.StateLoop.targets.Evacuate(now, dataCentre):
		n.Log("data centre evacuated", events.F("data_centre", dataCentre))
	case !evacuated && n.StateLoop.targets.Readmit(now, dataCentre):
		n.Log("data centre readmitted", events.F("data_centre", dataCentre))
	}
}

// retainEvacuations ends the evacuations whose keys are not among those of the operator's topic.
// It runs on the state goroutine.
func (n *Node) retainEvacuations(now time.Duration, keys map[string]bool) {
	requested := map[string]bool{}
	for key := range keys {
		if dataCentre, found := platform.EvacuatedBy(key); found {
			requested[dataCentre] = true
		}
	}
	for _, dataCentre := range n.StateLoop.targets.Evacuated() {
		if !requested[dataCentre] {
			n.setEvacuated(now, dataCentre, false)
		}
	}
}

// NoteNoAnswer records that a target did not answer a request: it may have started again and be
// cold. An attempt that this instance canceled says nothing.
func (n *Node) NoteNoAnswer(ctx context.Context, t directory.Target) {
	if ctx.Err() == nil {
		n.doubt(ctx, t, "no answer")
	}
}

// noteConnectionBroken records that the target with the address has closed a connection that was
// in use a moment before: it may have crashed, and be cold when it answers again. It does not wait
// for the record.
func (n *Node) noteConnectionBroken(address string) {
	view := n.CurrentView()
	i := slices.IndexFunc(view.Targets, func(t directory.Target) bool { return t.Address == address })
	if i < 0 || !hasColdStart(view, view.Targets[i]) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), brokenNoteTimeout)
		defer cancel()
		n.doubt(ctx, view.Targets[i], "connection closed")
	}()
}

func hasColdStart(view *View, t directory.Target) bool {
	return view.Catalog != nil && view.Catalog.Services[t.Service].ColdPerSecond > 0
}

// doubt records that the target may have started again and be cold. It does so also while the
// target is in doubt: the start may follow any request that gets no answer.
func (n *Node) doubt(ctx context.Context, t directory.Target, reason string) {
	if !hasColdStart(n.CurrentView(), t) {
		return
	}
	n.StateLoop.Do(ctx, func() {
		if n.StateLoop.targets.Doubt(n.Clock.Now(), t.ID, t.StartedAt) {
			n.Metrics.targetsDoubted.Inc()
			n.Log("target may be cold", events.F("target", t.ID), events.F("reason", reason))
			n.StateLoop.publish()
		}
	})
}

// publishWarmTargets publishes the view when targets have become warm: time alone changes them.
func (n *Node) publishWarmTargets(ctx context.Context) error {
	var next time.Duration // when the first cold target of the view becomes warm; zero: none is cold
	for ctx.Err() == nil {
		changed := n.StateLoop.NextChange()
		n.StateLoop.Do(ctx, func() {
			now := n.Clock.Now()
			if next > 0 && now >= next {
				n.StateLoop.publish()
			}
			next = 0
			if at, cold := n.StateLoop.targets.NextWarm(now); cold {
				next = at
			}
		})
		if next > 0 {
			clock.Sleep(ctx, max(warmCheckInterval, next-n.Clock.Now()))
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}
