package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	controlTopic = "control" // what every instance folds: small records only
	contentTopic = "content" // tasks and texts, read on demand

	pollWait             = time.Second            // a silent connection is noticed one read margin later
	pollBytes            = 1 << 20                // of one read
	retryPollWait        = 200 * time.Millisecond // after a failed read: its end is noticed soon
	readRetryDelay       = 50 * time.Millisecond  // after a failed read: twelve times the usual answer
	registryPollInterval = 60 * time.Millisecond  // between reads of the registry: at most 16 a second
	// rejoinTimeout is how long live targets may take to come back to the registry
	// after an outage: the platform says about 2 s.
	rejoinTimeout = 2200 * time.Millisecond
	// pollDelayMargin is how late a poll's answer may be before the log counts as missed.
	pollDelayMargin = 300 * time.Millisecond
	// outageThreshold is how long the store has to be silent for entries to lapse.
	outageThreshold = 2 * time.Second
)

// noteRead notes an answer of the store and reports whether it ends an outage.
func (n *Instance) noteRead(at *atomic.Int64) (outage bool) {
	now := int64(n.clock.Now())
	before := at.Swap(now)
	return before != 0 && time.Duration(now-before) > outageThreshold+pollWait
}

// sinceLastRead returns how long ago the store last answered.
func (n *Instance) sinceLastRead(at *atomic.Int64) time.Duration {
	last := at.Load()
	if last == 0 {
		return 1 << 62 // never
	}
	return n.clock.Now() - time.Duration(last)
}

// followLog folds the control topic as it grows.
func (n *Instance) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		batch, err := n.store.Read(ctx, controlTopic, 0, n.stateLoop.nextOffset, pollBytes, n.logPollWait())
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.log("log trimmed", events.F("from", fmt.Sprint(n.stateLoop.nextOffset)), events.F("first", fmt.Sprint(trimmed.OldestOffset)))
			n.stateLoop.do(ctx, func() { n.stateLoop.nextOffset = trimmed.OldestOffset })
		case err != nil:
			n.dependencyLost("log", err)
			clock.Sleep(ctx, readRetryDelay)
		default:
			n.dependencyRegained("log")
			if n.sinceLastRead(&n.stateLoop.lastLogRead) > pollWait+pollDelayMargin {
				n.stateLoop.logContinuousSince.Store(int64(n.clock.Now()))
			}
			n.noteRead(&n.stateLoop.lastLogRead)
			n.fold(ctx, batch)
		}
	}
	return nil
}

// logPollWait waits for new records only once the log was read to its end.
func (n *Instance) logPollWait() time.Duration {
	if n.stateLoop.caughtUp.Load() {
		return n.pollWaitFor("log")
	}
	return 0
}

// pollWaitFor returns how long a read of the dependency may wait for records.
func (n *Instance) pollWaitFor(dependency string) time.Duration {
	if n.dependencies.isLost(dependency) {
		return retryPollWait
	}
	return pollWait
}

func (n *Instance) fold(ctx context.Context, batch platform.Batch) {
	n.stateLoop.do(ctx, func() {
		now := n.clock.Now()
		for _, data := range batch.Records {
			offset := n.stateLoop.nextOffset
			n.stateLoop.nextOffset++
			r, err := job.Decode(data)
			if err != nil {
				n.log("log unreadable", events.F("offset", fmt.Sprint(offset)), events.F("error", err.Error()))
				continue
			}
			accepted := n.stateLoop.state.Apply(offset, now, r)
			n.onRecord(offset, now, r, accepted)
		}
		n.stateLoop.foldedOffset.Store(n.stateLoop.nextOffset)
		if n.stateLoop.nextOffset >= batch.EndOffset {
			n.stateLoop.caughtUp.Store(true)
		}
		if len(batch.Records) > 0 {
			n.stateLoop.notifyWaiters()
		}
	})
}

// keyedTopic follows one of the topics that the platform keeps.
type keyedTopic struct {
	topic        string
	lastRead     *atomic.Int64
	pollInterval time.Duration // between reads
	put          func(now time.Duration, e platform.Entry)
	retain       func(now time.Duration, keys map[string]bool)
	outage       func(now time.Duration)
}

func (n *Instance) followKeyed(ctx context.Context, k keyedTopic) error {
	next := int64(-1)
	for ctx.Err() == nil {
		var list []platform.Entry
		var err error
		if next < 0 {
			list, next, err = n.readLatest(ctx, k)
		} else {
			list, next, err = n.readKeyed(ctx, k, next)
		}
		if err != nil {
			n.dependencyLost(k.topic, err)
			clock.Sleep(ctx, readRetryDelay)
			continue
		}
		n.dependencyRegained(k.topic)
		if n.noteRead(k.lastRead) && k.outage != nil {
			n.stateLoop.do(ctx, func() { k.outage(n.clock.Now()) })
		}
		if len(list) > 0 {
			n.stateLoop.update(ctx, func() {
				for _, e := range list {
					k.put(n.clock.Now(), e)
				}
			})
		}
		if k.pollInterval > 0 {
			clock.Sleep(ctx, k.pollInterval)
		}
	}
	return nil
}

func (n *Instance) readLatest(ctx context.Context, k keyedTopic) ([]platform.Entry, int64, error) {
	list, next, err := n.store.Latest(ctx, k.topic)
	if err != nil {
		return nil, -1, err
	}
	if k.retain != nil {
		keys := map[string]bool{}
		for _, e := range list {
			keys[e.Key] = true
		}
		n.stateLoop.update(ctx, func() { k.retain(n.clock.Now(), keys) })
	}
	return list, next, nil
}

func (n *Instance) readKeyed(ctx context.Context, k keyedTopic, next int64) ([]platform.Entry, int64, error) {
	batch, err := n.store.Read(ctx, k.topic, 0, next, pollBytes, n.pollWaitFor(k.topic))
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		n.log("topic trimmed", events.F("topic", k.topic), events.F("from", fmt.Sprint(next)))
		return n.readLatest(ctx, k)
	}
	if err != nil {
		return nil, next, err
	}
	var list []platform.Entry
	for _, data := range batch.Records {
		next++
		e, err := platform.DecodeEntry(data)
		if err != nil {
			n.log("topic unreadable", events.F("topic", k.topic), events.F("error", err.Error()))
			continue
		}
		list = append(list, e)
	}
	return list, next, nil
}

// watchOperator follows the configuration and the named weight versions.
func (n *Instance) watchOperator(ctx context.Context) error {
	return n.followKeyed(ctx, keyedTopic{
		topic: platform.OperatorTopic, lastRead: &n.stateLoop.lastOperatorRead,
		put: func(_ time.Duration, e platform.Entry) {
			change, err := platform.DecodeOperatorRecord(e)
			if err != nil {
				n.log("operator unreadable", events.F("key", e.Key), events.F("error", err.Error()))
				return
			}
			b := n.stateLoop
			switch {
			case change.Catalog != nil && (b.catalog == nil || change.Catalog.Version > b.catalog.Version):
				b.catalog = change.Catalog
				n.log("config applied", events.F("version", fmt.Sprint(change.Catalog.Version)))
			case change.Weights != nil && change.Weights.Version > b.desiredVersions[change.Weights.Model]:
				b.desiredVersions[change.Weights.Model] = change.Weights.Version
				n.log("weights named", events.F("model", change.Weights.Model), events.F("version", fmt.Sprint(change.Weights.Version)))
			}
		},
	})
}

// watchRegistry follows the targets.
func (n *Instance) watchRegistry(ctx context.Context) error {
	return n.followKeyed(ctx, keyedTopic{
		topic: platform.RegistryTopic, lastRead: &n.stateLoop.lastRegistryRead, pollInterval: registryPollInterval,
		put: func(now time.Duration, e platform.Entry) {
			n.stateLoop.targets.Expire(now)
			if len(e.Value) == 0 {
				n.log("target removed", events.F("target", e.Key))
				n.stateLoop.targets.Remove(now, e.Key)
				return
			}
			t, err := platform.DecodeTarget(e)
			if err != nil {
				n.log("target unreadable", events.F("error", err.Error()))
				n.stateLoop.targets.Remove(now, e.Key)
				return
			}
			n.stateLoop.targets.Put(t)
		},
		retain: func(now time.Duration, keys map[string]bool) { n.stateLoop.targets.Retain(now, keys) },
		outage: func(now time.Duration) { n.stateLoop.targets.RegistryRestored(now) },
	})
}
