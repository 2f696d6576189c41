package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// keyedTopic states how to follow a keyed (compacted) topic. The functions run on the
// state goroutine.
type keyedTopic struct {
	topic        string
	lastRead     *atomic.Int64                                 // set at each reply
	nextOffset   *atomic.Int64                                 // nil, or set to the offset after the entries that were put
	pollInterval time.Duration                                 // shortest time between reads; zero: one read follows the other
	put          func(now time.Duration, e platform.Entry)     // called with each entry
	retain       func(now time.Duration, keys map[string]bool) // nil, or called with all keys of the topic
	outage       func(now time.Duration)                       // nil, or called after an outage
	current      func(at time.Duration)                        // nil, or called when all entries of the time at were put
}

// followKeyed reads the latest entry of each key, then further entries until ctx ends.
func (n *Node) followKeyed(ctx context.Context, k keyedTopic) error {
	next, reader := int64(-1), pace.NewReader()
	for ctx.Err() == nil {
		started := n.Clock.Now()
		var entries []platform.Entry
		var end int64
		var err error
		if next < 0 {
			entries, next, err = n.readLatest(ctx, k)
			end = next
		} else {
			entries, next, end, err = n.readKeyed(ctx, k, next, reader.PageBytes())
		}
		if err != nil {
			n.DependencyLost(k.topic, err)
			n.pauseAfterFailure(ctx, reader)
			continue
		}
		n.dependencyRegained(k.topic)
		reader.Succeeded(n.Clock.Now()-started, next < end)
		if n.markRead(k.lastRead) && k.outage != nil {
			n.StateLoop.Do(ctx, func() { k.outage(n.Clock.Now()) })
		}
		put := func() {
			for _, e := range entries {
				k.put(n.Clock.Now(), e)
			}
			if k.current != nil && next >= end {
				k.current(started)
			}
		}
		if len(entries) > 0 {
			n.StateLoop.update(ctx, put)
		} else if k.current != nil {
			n.StateLoop.Do(ctx, put)
		}
		if k.nextOffset != nil {
			k.nextOffset.Store(next)
		}
		if k.pollInterval > 0 {
			clock.Sleep(ctx, max(k.pollInterval, n.followPause()))
		}
	}
	return nil
}

// readLatest returns the latest entry of each key and the offset to read on from.
func (n *Node) readLatest(ctx context.Context, k keyedTopic) ([]platform.Entry, int64, error) {
	entries, next, err := n.store.Latest(ctx, k.topic)
	switch {
	case errors.Is(err, platform.ErrIncomplete): // the other entries follow when they are written again
		n.Log("topic incomplete", events.F("topic", k.topic), events.F("error", err.Error()))
	case err != nil:
		return nil, -1, err
	case k.retain != nil:
		keys := map[string]bool{}
		for _, e := range entries {
			keys[e.Key] = true
		}
		n.StateLoop.update(ctx, func() { k.retain(n.Clock.Now(), keys) })
	}
	return entries, next, nil
}

// readKeyed returns the entries from an offset on, the offset after them and the end of the topic.
// If the topic was trimmed beyond the offset, it returns the latest entry of each key.
func (n *Node) readKeyed(ctx context.Context, k keyedTopic, next int64, maxBytes int) (entries []platform.Entry, after, end int64, err error) {
	batch, err := n.store.Read(ctx, k.topic, 0, next, maxBytes, n.pollWaitFor(k.topic))
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		n.Log("topic trimmed", events.F("topic", k.topic), events.F("from", fmt.Sprint(next)))
		entries, next, err = n.readLatest(ctx, k)
		return entries, next, next, err
	}
	if err != nil {
		return nil, next, next, err
	}
	for _, data := range batch.Records {
		next++
		e, err := platform.DecodeEntry(data)
		if err != nil {
			n.Metrics.entriesUnused.Inc()
			n.Log("topic unreadable", events.F("topic", k.topic), events.F("error", err.Error()))
			continue
		}
		entries = append(entries, e)
	}
	return entries, next, batch.EndOffset, nil
}

// watchOperator follows the configuration and the published weight versions.
func (n *Node) watchOperator(ctx context.Context) error {
	unreadable := passedOver{}
	return n.followKeyed(ctx, keyedTopic{
		topic: platform.OperatorTopic, lastRead: &n.StateLoop.lastOperatorRead,
		put: func(now time.Duration, e platform.Entry) {
			record, err := platform.DecodeOperatorRecord(e)
			if unreadable.isNew(e.Key, err) {
				n.Metrics.entriesUnused.Inc()
				n.Log("operator unreadable", events.F("key", e.Key), events.F("error", err.Error()))
			}
			if err != nil {
				return
			}
			s := n.StateLoop
			switch {
			case record.Catalog != nil && (s.catalog == nil || record.Catalog.Version > s.catalog.Version):
				s.catalog = record.Catalog
				n.Metrics.keepAccounts(record.Catalog.Accounts)
				s.targets.SetColdStarts(coldStarts(record.Catalog), n.RegistryDelay())
				n.Log("config applied", events.F("version", fmt.Sprint(record.Catalog.Version)))
			case record.Weights != nil && record.Weights.Version > s.desiredVersions[record.Weights.Model]:
				s.desiredVersions[record.Weights.Model] = record.Weights.Version
				n.Log("weights named", events.F("model", record.Weights.Model), events.F("version", fmt.Sprint(record.Weights.Version)))
			case record.Evacuation != nil:
				n.setEvacuated(now, record.Evacuation.DataCentre, !record.Evacuation.Ended)
			}
		},
		retain: func(now time.Duration, keys map[string]bool) { n.retainEvacuations(now, keys) },
	})
}

// watchRegistry follows the registered targets.
func (n *Node) watchRegistry(ctx context.Context) error {
	unreadable := passedOver{}
	return n.followKeyed(ctx, keyedTopic{
		topic: platform.RegistryTopic, lastRead: &n.StateLoop.lastRegistryRead, nextOffset: &n.StateLoop.registryOffset, pollInterval: registryPollInterval,
		put: func(now time.Duration, e platform.Entry) {
			n.StateLoop.targets.Expire(now)
			if len(e.Value) == 0 {
				n.Log("target removed", events.F("target", e.Key))
				unreadable.isNew(e.Key, nil)
				n.StateLoop.targets.Remove(now, e.Key)
				return
			}
			t, err := platform.DecodeTarget(e)
			if unreadable.isNew(e.Key, err) {
				n.Metrics.entriesUnused.Inc()
				n.Log("target unreadable", events.F("target", e.Key), events.F("error", err.Error()))
			}
			if err != nil {
				n.StateLoop.targets.Remove(now, e.Key)
				return
			}
			n.StateLoop.targets.Put(now, t)
		},
		retain:  func(now time.Duration, keys map[string]bool) { n.StateLoop.targets.Retain(now, keys) },
		outage:  func(now time.Duration) { n.StateLoop.targets.RegistryRestored(now) },
		current: func(at time.Duration) { n.StateLoop.targets.RegistryCurrent(at) },
	})
}
