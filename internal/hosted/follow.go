package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	controlTopic = "control" // applied by every instance: small records only
	contentTopic = "content" // tasks and outputs, read on demand

	pollWait         = time.Second            // of one long poll; without a reply it fails after this and the store's read margin
	contentReadBytes = 1 << 20                // approximate limit of one read of the content topic
	retryPollWait    = 200 * time.Millisecond // while reads fail: a short poll detects the end of an outage soon
	// firstViewWait is how long an instance that has started reads the configuration and the
	// registry before the log: with them alone it serves plain requests.
	firstViewWait        = time.Second
	registryPollInterval = 60 * time.Millisecond // between reads of the registry: at most 16 a second
	// rejoinTimeout is how long after an outage of the registry the entry of a running
	// target may be missing: about 2 s by the platform's documentation.
	rejoinTimeout = 2200 * time.Millisecond
	// pollDelayMargin is how late the reply to a poll may be. After a later reply the log
	// counts as followed without a gap only from then on (logContinuousSince).
	pollDelayMargin = 300 * time.Millisecond
	// outageThreshold is the shortest outage of the platform's log in which entries of the
	// registry may expire.
	outageThreshold = 2 * time.Second
)

// markRead sets lastRead, the time of the last reply, to now. It reports whether this
// ends an outage in which entries of the registry may have expired.
func (in *Instance) markRead(lastRead *atomic.Int64) (outage bool) {
	now := int64(in.clock.Now())
	previous := lastRead.Swap(now)
	return previous != 0 && time.Duration(now-previous) > outageThreshold+pollWait
}

// sinceLastRead returns the time since lastRead, the last reply. If there was none, the
// result is longer than every timeout.
func (in *Instance) sinceLastRead(lastRead *atomic.Int64) time.Duration {
	last := lastRead.Load()
	if last == 0 {
		return 1 << 62 // never
	}
	return in.clock.Now() - time.Duration(last)
}

// followLog reads the control topic and applies its records until ctx ends.
func (in *Instance) followLog(ctx context.Context) error {
	in.awaitFirstView(ctx)
	reader := pace.NewReader()
	for ctx.Err() == nil {
		started := in.clock.Now()
		batch, err := in.store.Read(ctx, controlTopic, 0, in.stateLoop.nextOffset, reader.PageBytes(), in.logPollWait())
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			in.log("log trimmed", events.F("from", fmt.Sprint(in.stateLoop.nextOffset)), events.F("first", fmt.Sprint(trimmed.OldestOffset)))
			in.stateLoop.do(ctx, func() { in.stateLoop.nextOffset = trimmed.OldestOffset })
		case err != nil:
			in.dependencyLost("log", err)
			in.pauseAfterFailure(ctx, reader)
		default:
			in.dependencyRegained("log")
			reader.Succeeded(in.clock.Now() - started)
			if in.sinceLastRead(&in.stateLoop.lastLogRead) > pollWait+pollDelayMargin+in.followPause() {
				in.stateLoop.logContinuousSince.Store(int64(in.clock.Now()))
			}
			in.markRead(&in.stateLoop.lastLogRead)
			in.applyBatch(ctx, batch)
			if len(batch.Records) > 0 && in.stateLoop.nextOffset >= batch.EndOffset {
				in.pauseFollowing(ctx) // only at the end of the log: an instance must not fall behind
			}
		}
	}
	return nil
}

// awaitFirstView waits until the configuration and the registry have been read, for
// firstViewWait at most.
func (in *Instance) awaitFirstView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstViewWait)
	defer cancel()
	for {
		changed := in.stateLoop.nextChange()
		if in.stateLoop.view.Load().Catalog != nil && in.stateLoop.lastRegistryRead.Load() != 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pauseAfterFailure waits before a failed read is repeated.
func (in *Instance) pauseAfterFailure(ctx context.Context, reader *pace.Reader) {
	reader.Failed()
	instances := int(in.pace.instances.Load())
	clock.Sleep(ctx, reader.RetryDelay(instances, in.cfg.Settings.Store.ReadsPerSecond, float64(in.rand64()%1000)/1000))
}

// logPollWait returns how long a read of the control topic may wait for records: zero
// until the log has been read to its end.
func (in *Instance) logPollWait() time.Duration {
	if in.stateLoop.caughtUp.Load() {
		return in.pollWaitFor("log")
	}
	return 0
}

// pollWaitFor returns how long a read may wait for records: less while the dependency is
// unavailable.
func (in *Instance) pollWaitFor(dependency string) time.Duration {
	if in.dependencies.isLost(dependency) {
		return retryPollWait
	}
	return pollWait
}

// applyBatch applies a batch of the control topic to the state.
func (in *Instance) applyBatch(ctx context.Context, batch platform.Batch) {
	in.stateLoop.do(ctx, func() {
		now := in.clock.Now()
		for _, data := range batch.Records {
			offset := in.stateLoop.nextOffset
			in.stateLoop.nextOffset++
			r, err := job.Decode(data)
			if err != nil {
				in.log("log unreadable", events.F("offset", fmt.Sprint(offset)), events.F("error", err.Error()))
				continue
			}
			accepted := in.stateLoop.state.Apply(offset, now, r)
			in.onRecord(offset, now, r, accepted)
		}
		in.allowances.updatePeers(now)
		in.stateLoop.sharedNextOffset.Store(in.stateLoop.nextOffset)
		in.pace.instances.Store(int32(len(in.stateLoop.state.Instances)))
		if in.stateLoop.nextOffset >= batch.EndOffset {
			in.stateLoop.caughtUp.Store(true)
		}
		if len(batch.Records) > 0 {
			in.stateLoop.notifyWaiters()
		}
	})
}

// keyedTopic states how to follow a keyed (compacted) topic. The functions run on the
// state goroutine.
type keyedTopic struct {
	topic        string
	lastRead     *atomic.Int64                                 // set at each reply
	pollInterval time.Duration                                 // shortest time between reads; zero: one read follows the other
	put          func(now time.Duration, e platform.Entry)     // called with each entry
	retain       func(now time.Duration, keys map[string]bool) // nil, or called with all keys of the topic
	outage       func(now time.Duration)                       // nil, or called after an outage
}

// followKeyed reads the latest entry of each key, then further entries until ctx ends.
func (in *Instance) followKeyed(ctx context.Context, k keyedTopic) error {
	next, reader := int64(-1), pace.NewReader()
	for ctx.Err() == nil {
		started := in.clock.Now()
		var entries []platform.Entry
		var err error
		if next < 0 {
			entries, next, err = in.readLatest(ctx, k)
		} else {
			entries, next, err = in.readKeyed(ctx, k, next, reader.PageBytes())
		}
		if err != nil {
			in.dependencyLost(k.topic, err)
			in.pauseAfterFailure(ctx, reader)
			continue
		}
		in.dependencyRegained(k.topic)
		reader.Succeeded(in.clock.Now() - started)
		if in.markRead(k.lastRead) && k.outage != nil {
			in.stateLoop.do(ctx, func() { k.outage(in.clock.Now()) })
		}
		if len(entries) > 0 {
			in.stateLoop.update(ctx, func() {
				for _, e := range entries {
					k.put(in.clock.Now(), e)
				}
			})
		}
		if k.pollInterval > 0 {
			clock.Sleep(ctx, max(k.pollInterval, in.followPause()))
		}
	}
	return nil
}

// readLatest returns the latest entry of each key and the offset to read on from.
func (in *Instance) readLatest(ctx context.Context, k keyedTopic) ([]platform.Entry, int64, error) {
	entries, next, err := in.store.Latest(ctx, k.topic)
	if err != nil {
		return nil, -1, err
	}
	if k.retain != nil {
		keys := map[string]bool{}
		for _, e := range entries {
			keys[e.Key] = true
		}
		in.stateLoop.update(ctx, func() { k.retain(in.clock.Now(), keys) })
	}
	return entries, next, nil
}

// readKeyed returns the entries from an offset on and the offset after them. If the topic
// was trimmed beyond the offset, it returns the latest entry of each key.
func (in *Instance) readKeyed(ctx context.Context, k keyedTopic, next int64, maxBytes int) ([]platform.Entry, int64, error) {
	batch, err := in.store.Read(ctx, k.topic, 0, next, maxBytes, in.pollWaitFor(k.topic))
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		in.log("topic trimmed", events.F("topic", k.topic), events.F("from", fmt.Sprint(next)))
		return in.readLatest(ctx, k)
	}
	if err != nil {
		return nil, next, err
	}
	var entries []platform.Entry
	for _, data := range batch.Records {
		next++
		e, err := platform.DecodeEntry(data)
		if err != nil {
			in.log("topic unreadable", events.F("topic", k.topic), events.F("error", err.Error()))
			continue
		}
		entries = append(entries, e)
	}
	return entries, next, nil
}

// watchOperator follows the configuration and the published weight versions.
func (in *Instance) watchOperator(ctx context.Context) error {
	return in.followKeyed(ctx, keyedTopic{
		topic: platform.OperatorTopic, lastRead: &in.stateLoop.lastOperatorRead,
		put: func(now time.Duration, e platform.Entry) {
			record, err := platform.DecodeOperatorRecord(e)
			if err != nil {
				in.log("operator unreadable", events.F("key", e.Key), events.F("error", err.Error()))
				return
			}
			s := in.stateLoop
			switch {
			case record.Catalog != nil && (s.catalog == nil || record.Catalog.Version > s.catalog.Version):
				s.catalog = record.Catalog
				s.targets.SetColdStarts(coldStarts(record.Catalog), in.registryDelay())
				in.log("config applied", events.F("version", fmt.Sprint(record.Catalog.Version)))
			case record.Weights != nil && record.Weights.Version > s.desiredVersions[record.Weights.Model]:
				s.desiredVersions[record.Weights.Model] = record.Weights.Version
				in.log("weights named", events.F("model", record.Weights.Model), events.F("version", fmt.Sprint(record.Weights.Version)))
			case record.Evacuation != nil:
				in.setEvacuated(now, record.Evacuation.DataCentre, !record.Evacuation.Ended)
			}
		},
		retain: func(now time.Duration, keys map[string]bool) { in.retainEvacuations(now, keys) },
	})
}

// watchRegistry follows the registered targets.
func (in *Instance) watchRegistry(ctx context.Context) error {
	return in.followKeyed(ctx, keyedTopic{
		topic: platform.RegistryTopic, lastRead: &in.stateLoop.lastRegistryRead, pollInterval: registryPollInterval,
		put: func(now time.Duration, e platform.Entry) {
			in.stateLoop.targets.Expire(now)
			if len(e.Value) == 0 {
				in.log("target removed", events.F("target", e.Key))
				in.stateLoop.targets.Remove(now, e.Key)
				return
			}
			t, err := platform.DecodeTarget(e)
			if err != nil {
				in.log("target unreadable", events.F("error", err.Error()))
				in.stateLoop.targets.Remove(now, e.Key)
				return
			}
			in.stateLoop.targets.Put(now, t)
		},
		retain: func(now time.Duration, keys map[string]bool) { in.stateLoop.targets.Retain(now, keys) },
		outage: func(now time.Duration) { in.stateLoop.targets.RegistryRestored(now) },
	})
}
