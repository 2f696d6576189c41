package node

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
	// counts as followed without a gap only from then on (LogContinuousSince).
	pollDelayMargin = 300 * time.Millisecond
	// outageThreshold is the shortest outage of the platform's log in which entries of the
	// registry may expire.
	outageThreshold = 2 * time.Second
	// awayAfter is the time without a reply after which the log counts as away: a poll that gets none
	// by then has failed.
	awayAfter = pollWait + 600*time.Millisecond
	// StaleAfter is the time without a reply after which an instance is not ready: two polls
	// of the log have got no reply.
	StaleAfter = 2500 * time.Millisecond
)

// markRead sets lastRead, the time of the last reply, to now. It reports whether this
// ends an outage in which entries of the registry may have expired.
func (n *Node) markRead(lastRead *atomic.Int64) (outage bool) {
	now := int64(n.Clock.Now())
	previous := lastRead.Swap(now)
	return previous != 0 && time.Duration(now-previous) > outageThreshold+pollWait
}

// sinceLastRead returns the time since lastRead, the last reply. If there was none, the
// result is longer than every timeout.
func (n *Node) sinceLastRead(lastRead *atomic.Int64) time.Duration {
	last := lastRead.Load()
	if last == 0 {
		return 1 << 62 // never
	}
	return n.Clock.Now() - time.Duration(last)
}

// ConfigAge returns the time since the operator topic was read.
func (n *Node) ConfigAge() time.Duration {
	return n.sinceLastRead(&n.StateLoop.lastOperatorRead)
}

// ConfigFresh reports whether the operator topic was read within StaleAfter.
func (n *Node) ConfigFresh() bool { return n.ConfigAge() < StaleAfter }

// RegistryAge returns the time since the registry was read.
func (n *Node) RegistryAge() time.Duration { return n.sinceLastRead(&n.StateLoop.lastRegistryRead) }

// RegistryRead reports whether the registry has been read.
func (n *Node) RegistryRead() bool { return n.StateLoop.lastRegistryRead.Load() != 0 }

// LogCurrent reports whether the log was read to its end once and read again within
// StaleAfter.
func (n *Node) LogCurrent() bool {
	return n.StateLoop.caughtUp.Load() && n.sinceLastRead(&n.StateLoop.lastLogRead) < StaleAfter
}

// logAnswers reports whether the log has answered a read within awayAfter.
func (n *Node) logAnswers() bool { return n.sinceLastRead(&n.StateLoop.lastLogRead) < awayAfter }

// SkippedWithin reports whether the instance has skipped records of the log, which were no longer
// kept when it read on, within the duration. The state then lacks what they said.
func (n *Node) SkippedWithin(d time.Duration) bool { return n.sinceLastRead(&n.StateLoop.lastSkip) < d }

// followLog reads the control topic and applies its records until ctx ends.
func (n *Node) followLog(ctx context.Context) error {
	n.awaitFirstView(ctx)
	reader := pace.NewReader()
	for ctx.Err() == nil {
		started := n.Clock.Now()
		batch, err := n.store.Read(ctx, controlTopic, 0, n.StateLoop.nextOffset, reader.PageBytes(), n.logPollWait())
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			n.Log("log trimmed", events.F("from", fmt.Sprint(n.StateLoop.nextOffset)), events.F("first", fmt.Sprint(trimmed.OldestOffset)))
			n.StateLoop.lastSkip.Store(int64(n.Clock.Now())) // before CatchUp returns
			n.readBack.lose()
			n.Peers.noteSkip()
			n.StateLoop.Do(ctx, func() {
				n.StateLoop.nextOffset = trimmed.OldestOffset
				now := n.Clock.Wall().UnixMilli()
				n.StateLoop.State.SkipTo(trimmed.OldestOffset, now-n.Retention().Milliseconds(), now)
			})
		case err != nil:
			n.DependencyLost("log", err)
			n.pauseAfterFailure(ctx, reader)
		default:
			n.dependencyRegained("log")
			reader.Succeeded(n.Clock.Now()-started, n.StateLoop.nextOffset+int64(len(batch.Records)) < batch.EndOffset)
			if n.sinceLastRead(&n.StateLoop.lastLogRead) > pollWait+pollDelayMargin+n.followPause() {
				n.StateLoop.LogContinuousSince.Store(int64(n.Clock.Now()))
			}
			n.markRead(&n.StateLoop.lastLogRead)
			n.applyBatch(ctx, batch)
			if len(batch.Records) > 0 && n.StateLoop.nextOffset >= batch.EndOffset {
				n.pauseFollowing(ctx) // only at the end of the log: an instance must not fall behind
			}
		}
	}
	return nil
}

// awaitFirstView waits until the configuration and the registry have been read, for
// firstViewWait at most.
func (n *Node) awaitFirstView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstViewWait)
	defer cancel()
	for {
		changed := n.StateLoop.NextChange()
		if n.CurrentView().Catalog != nil && n.StateLoop.lastRegistryRead.Load() != 0 {
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
func (n *Node) pauseAfterFailure(ctx context.Context, reader *pace.Reader) {
	reader.Failed()
	instances := int(n.Pace.Instances.Load())
	clock.Sleep(ctx, reader.RetryDelay(instances, n.Settings.Store.ReadsPerSecond, float64(n.Rand64()%1000)/1000))
}

// logPollWait returns how long a read of the control topic may wait for records: zero
// until the log has been read to its end.
func (n *Node) logPollWait() time.Duration {
	if n.StateLoop.caughtUp.Load() {
		return n.pollWaitFor("log")
	}
	return 0
}

// pollWaitFor returns how long a read may wait for records: less while the dependency is
// unavailable.
func (n *Node) pollWaitFor(dependency string) time.Duration {
	if n.dependencies.isLost(dependency) {
		return retryPollWait
	}
	return pollWait
}

// applyBatch applies a batch of the control topic to the state.
func (n *Node) applyBatch(ctx context.Context, batch platform.Batch) {
	n.StateLoop.Do(ctx, func() {
		now, wall := n.Clock.Now(), n.Clock.Wall()
		for _, data := range batch.Records {
			offset := n.StateLoop.nextOffset
			n.StateLoop.nextOffset++
			r, err := job.Decode(data)
			if err != nil {
				n.Log("log unreadable", events.F("offset", fmt.Sprint(offset)), events.F("error", err.Error()))
				continue
			}
			if r.Writer == n.Self {
				n.readBack.noteRead(offset)
			}
			n.StateLoop.noteDelay(now, offset, r)
			accepted := n.StateLoop.State.Apply(offset, now, r)
			n.onApplied(now, r, accepted)
		}
		n.StateLoop.logEnd, n.StateLoop.lastReply = batch.EndOffset, wall
		n.Allowances.updatePeers(now)
		n.StateLoop.sharedNextOffset.Store(n.StateLoop.nextOffset)
		n.Pace.Instances.Store(int32(len(n.StateLoop.State.Instances)))
		if n.StateLoop.nextOffset >= batch.EndOffset {
			n.StateLoop.caughtUp.Store(true)
		}
		if len(batch.Records) > 0 {
			n.StateLoop.notifyWaiters()
		}
	})
}

// LogDelay returns how long records take into the log at present, as far as it was read and this
// instance has tried. It must run on the state goroutine.
func (n *Node) LogDelay(now time.Duration) time.Duration {
	return max(n.StateLoop.logDelay.Estimate(now), n.controlLog.pending())
}

// readDelay returns how long records take into the log at present, as far as it was read.
func (n *Node) readDelay(ctx context.Context) (delay time.Duration) {
	n.StateLoop.Do(ctx, func() { delay = n.StateLoop.logDelay.Estimate(n.Clock.Now()) })
	return delay
}

// noteDelay adds the delay of a record to logDelay: how long its writer had it before the reply
// in which it was still missing. A record that was in the log by then tells nothing.
func (s *StateLoop) noteDelay(now time.Duration, offset int64, r job.Record) {
	if !s.lastReply.IsZero() && offset >= s.logEnd {
		s.logDelay.Observe(now, r.Writer, time.Duration(s.lastReply.UnixMilli()-r.At)*time.Millisecond)
	}
}

// onApplied acts on a record of the log that has been applied to the state. It runs on the
// state goroutine.
func (n *Node) onApplied(now time.Duration, r job.Record, accepted bool) {
	switch {
	case r.InstanceStarted != nil:
		n.Peers.noteAnnouncement(now, r, accepted)
	case r.KnownInstances != nil:
		n.Peers.noteKnown(now, accepted)
	case r.Submitted != nil && accepted:
		if desired := n.StateLoop.desiredVersions[r.Submitted.Model]; desired > 0 {
			n.StateLoop.AllowedStaleness[r.Submitted.Model] = max(0, desired-r.Submitted.MinVersion)
		}
	}
	n.OnRecord(now, r, accepted)
}

// CatchUp returns once every record that the log contains at the call has been applied.
func (n *Node) CatchUp(ctx context.Context) error {
	var next int64
	if !n.StateLoop.Do(ctx, func() { next = n.StateLoop.nextOffset }) {
		return ctx.Err()
	}
	batch, err := n.store.Read(ctx, controlTopic, 0, next, 1, 0)
	if err != nil {
		return err
	}
	for {
		changed := n.StateLoop.NextChange()
		if !n.StateLoop.Do(ctx, func() { next = n.StateLoop.nextOffset }) {
			return ctx.Err()
		}
		if next >= batch.EndOffset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("folded to %d of %d: %w", next, batch.EndOffset, ctx.Err())
		}
	}
}
