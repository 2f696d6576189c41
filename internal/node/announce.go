package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/pace"
	"github.com/amaranthfold/amaranthfold/core/peering"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// defaultRetention is used if the settings do not state how long the log keeps records.
	defaultRetention = time.Minute
	// answerSpread is the longest random delay of an answer on a small deployment: one instance
	// answers, and the others read its answer before they do.
	answerSpread = 300 * time.Millisecond
	// answerInstances is the number of announcements in one record, of some 150 bytes each.
	answerInstances = 200
)

// Retention returns how long the log keeps a record.
func (n *Node) Retention() time.Duration {
	if r := n.Settings.Store.Retention; r > 0 {
		return r
	}
	return defaultRetention
}

// announce appends the InstanceStarted record, at once and every peering.AnnounceInterval, later
// while the log is slow. It publishes the incarnation, the address at which the instance listens for
// peers and the fingerprint of its key. Later announcements state how far the log was read, and wait
// until it was. At the start, and when records were skipped, it asks for the announcements that the
// log does not keep: at that interval they may come late.
func (n *Node) announce(ctx context.Context) error {
	started := job.InstanceStarted{
		Instance: n.Settings.Instance, PeerAddress: n.Settings.Peers, StartedAt: n.Clock.Wall().UnixMilli(),
		KeyFingerprint: n.Peers.identity.Fingerprint(), Asks: true, KeepsVersion: true,
	}
	n.AppendRecordAsync(job.Record{InstanceStarted: &started})
	announced, next := n.Clock.Now(), n.Jitter(peering.AnnounceInterval) // all instances may have started at once
	for {
		timer := time.NewTimer(next)
		asks := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-n.Peers.skipped:
			asks = true
		case <-timer.C:
		}
		timer.Stop()
		now := n.Clock.Now()
		next = peering.AnnounceInterval
		if !asks {
			if wait := peering.PutOff(now-announced, n.readDelay(ctx), float64(n.Rand64()%1000)/1000); wait > 0 {
				next = wait
				continue
			}
		}
		renewed := started
		renewed.Asks = asks
		n.StateLoop.Do(ctx, func() { renewed.ReadTo = n.StateLoop.State.LastRead() })
		if renewed.ReadTo > 0 {
			n.AppendRecordAsync(job.Record{InstanceStarted: &renewed})
			announced = now
		}
	}
}

// noteSkip makes the instance ask for the announcements of others again. Those of its start reach
// the log after the records that a start skips.
func (l *PeerLinks) noteSkip() {
	if !l.node.StateLoop.caughtUp.Load() {
		return
	}
	select {
	case l.skipped <- struct{}{}:
	default: // asks already
	}
}

// noteAsk notes that another instance asks for announcements. It reads the answer to an earlier
// question, too: one answer is enough until the log may remove what that did not repeat, as it was
// announced less than half of the retention before. It runs on the state goroutine.
func (l *PeerLinks) noteAsk(now time.Duration) {
	if l.answered && now-l.answeredAt < l.node.Retention()/4 {
		return
	}
	l.unanswered = true
	select {
	case l.asked <- struct{}{}:
	default: // an answer is due already
	}
}

// answerAsks repeats the announcements that the log may not keep when an instance asks for them,
// until ctx ends. The instances wait for different times, and one that reads another's answer
// makes none.
func (n *Node) answerAsks(ctx context.Context) error {
	l := n.Peers
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.asked:
		}
		var delay time.Duration
		n.StateLoop.Do(ctx, func() { delay = n.LogDelay(n.Clock.Now()) })
		clock.Sleep(ctx, n.Jitter(pace.Spread(answerSpread, int(n.Pace.Instances.Load()), delay)))
		var known []job.KnownInstance
		n.StateLoop.Do(ctx, func() {
			if l.unanswered {
				known = l.known(n.Clock.Now())
			}
		})
		for part := range slices.Chunk(known, answerInstances) {
			n.AppendRecordAsync(job.Record{KnownInstances: &job.KnownInstances{Instances: part}})
		}
		if len(known) > 0 {
			n.Log("instances announced", events.F("instances", fmt.Sprint(len(known))))
		}
	}
}

// known returns the announcements that the log may not keep when an instance reads the answer, of
// instances that are accepted. It runs on the state goroutine.
func (l *PeerLinks) known(now time.Duration) []job.KnownInstance {
	instances := l.node.StateLoop.State.Instances
	accepted := map[string]bool{l.node.Settings.Instance: true}
	for _, p := range l.renewals.Current(now, l.peersOf(instances)) {
		accepted[p.Name] = true
	}
	return l.node.StateLoop.State.KnownInstances(now, l.node.Retention()/2, func(name string) bool { return accepted[name] })
}
