package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/internal/httpclient"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// startReportTimeout bounds the read of an engine's report, which needs no slot, or of an entry.
	startReportTimeout = 250 * time.Millisecond
	registryReadBytes  = 256 << 10 // the entries since the latest poll: some hundred
)

// errStartUnknown is the error of a target of which it is not known whether it still is the start
// that its registry entry describes.
var errStartUnknown = errors.New("the target may have started again since its entry was written")

// starts holds when each engine was last known to be which start. A target may start again under
// its id with another software version, and its entry says so seconds later; until then the entry
// describes a start that is gone. It is safe for concurrent use.
type starts struct {
	reads singleflight.Group // by target

	mu        sync.Mutex
	confirmed map[string]confirmedStart // by target
}

// confirmedStart is the start that ran at the time at or later: it answered a request that was
// sent then, or its entry stood in the registry. The arrival of the answer says nothing: that may be
// long after the start has ended, if this instance stood still or the links were cut.
type confirmedStart struct {
	startedAt int64
	at        time.Duration
}

// StartKnown reports whether what comes over the connection is known to be made by the start of
// the target that the entry t describes, without asking the target.
func (n *Node) StartKnown(t directory.Target, connection net.Conn) bool {
	c, ok := httpclient.Unwrap(connection).(*targetConn)
	if !ok || t.StartedAt == 0 {
		return false
	}
	if c.confirmed.Load() == t.StartedAt {
		return true
	}
	known := n.starts.since(t.ID, c.openedAt) == t.StartedAt
	if known {
		c.confirmed.Store(t.StartedAt)
	}
	return known
}

// HeardOn notes that a part of the answer to a request that was sent at sentAt has arrived on the
// connection to the target. If the start is known to which it leads, so is that of connections
// opened before sentAt.
func (n *Node) HeardOn(t directory.Target, connection net.Conn, sentAt time.Duration) {
	n.Links.Heard()
	if n.StartKnown(t, connection) {
		n.starts.set(t.ID, confirmedStart{t.StartedAt, sentAt})
	}
}

// ConfirmStart returns nil if StartKnown, after CheckStart if need be.
func (n *Node) ConfirmStart(ctx context.Context, t directory.Target, connection net.Conn) error {
	if n.StartKnown(t, connection) {
		return nil
	}
	return n.CheckStart(ctx, t)
}

// CheckStart asks an engine for its report, and reads the registry entry of another target, which
// has no report. It returns nil if the target is the start that the entry t describes.
func (n *Node) CheckStart(ctx context.Context, t directory.Target) error {
	if latest, found := n.CurrentView().Target(t.ID); !found || !latest.Ready {
		return fmt.Errorf("%w: it leaves, and gets nothing new", errStartUnknown)
	}
	asked := n.Clock.Now()
	for n.starts.since(t.ID, asked) == 0 { // a read that was under way began too early
		if _, err, _ := n.starts.reads.Do(t.ID, func() (any, error) { return nil, n.readStart(ctx, t) }); err != nil {
			return fmt.Errorf("%w: %w", errStartUnknown, err)
		}
	}
	if started := n.starts.since(t.ID, asked); started != t.StartedAt {
		return fmt.Errorf("%w: it started at %d, by its entry at %d", errStartUnknown, started, t.StartedAt)
	}
	return nil
}

func (n *Node) readStart(ctx context.Context, t directory.Target) error {
	ctx, cancel := context.WithTimeout(ctx, startReportTimeout)
	defer cancel()
	at := n.Clock.Now()
	read := n.readReportedStart
	if len(t.Models) == 0 {
		read = n.readEntryStart
	}
	startedAt, err := read(ctx, t)
	if err != nil {
		return err
	}
	if startedAt == 0 {
		return errors.New("the start is not stated")
	}
	n.starts.set(t.ID, confirmedStart{startedAt, at})
	n.starts.retain(n.CurrentView())
	return nil
}

func (n *Node) readReportedStart(ctx context.Context, t directory.Target) (int64, error) {
	report, err := platform.ReadTargetReport(ctx, n.TargetClient, t.Address)
	if err != nil {
		return 0, err
	}
	n.Metrics.startsRead.Inc()
	return report.StartedAt, nil
}

// readEntryStart returns the start that the entry of the target states now. The latest view may be
// seconds older, if the path to the registry was cut or this instance stood still.
func (n *Node) readEntryStart(ctx context.Context, t directory.Target) (int64, error) {
	from := n.StateLoop.registryOffset.Load()
	batch, err := n.store.Read(ctx, platform.RegistryTopic, 0, from, registryReadBytes, 0)
	if err != nil {
		return 0, err
	}
	if from+int64(len(batch.Records)) < batch.EndOffset {
		return 0, fmt.Errorf("the registry has more than %d new records", len(batch.Records))
	}
	latest, found := n.CurrentView().Target(t.ID)
	for _, data := range batch.Records {
		e, err := platform.DecodeEntry(data)
		if err != nil || e.Key != t.ID {
			continue
		}
		entry, err := platform.DecodeTarget(e)
		if found = err == nil; !found || entry.StartedAt >= latest.StartedAt {
			latest = entry
		}
	}
	if !found {
		return 0, errors.New("the target has no entry")
	}
	return latest.StartedAt, nil
}

// since returns the start that the target reported when it was asked at that time or later, zero
// if it has not been asked since.
func (s *starts) since(target string, at time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.confirmed[target]; c.at >= at {
		return c.startedAt
	}
	return 0
}

// set keeps the start unless a later one is known.
func (s *starts) set(target string, c confirmedStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed == nil {
		s.confirmed = map[string]confirmedStart{}
	}
	if c.at > s.confirmed[target].at {
		s.confirmed[target] = c
	}
}

// retain forgets targets that are gone, when there are many.
func (s *starts) retain(view *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.confirmed) <= 2*len(view.Targets) {
		return
	}
	for id := range s.confirmed {
		if _, found := view.Target(id); !found {
			delete(s.confirmed, id)
		}
	}
}
