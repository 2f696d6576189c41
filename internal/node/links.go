package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	// A target in the region accepts or refuses a connection within milliseconds. A check starts
	// with firstWitnesses targets, and needs the refusal or silence of linkWitnesses.
	firstCheckTimeout = 100 * time.Millisecond
	firstWitnesses    = 1 // each takes a connection, and hardly ever the one that is down is drawn
	linkWitnesses     = 8
	// linkCheckInterval is the shortest time between two checks.
	linkCheckInterval = 400 * time.Millisecond
	// pauseMargin is how much later than its timeout a check may end. The process of a check
	// that ends later was paused, so that its timeouts say nothing of the links.
	pauseMargin = 200 * time.Millisecond
	// confirmedFor is how long after the last sign of life of a target an instance takes over the
	// work of others without a check of its own links. One that is cut off finds out by its first
	// runs within quietRunsLimit of package batch.
	confirmedFor = 3 * time.Second
)

// LinkCheckTimeout bounds a check of whether targets accept connections.
const LinkCheckTimeout = 300 * time.Millisecond

// dialFunc opens a connection to a target.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LinkMonitor finds out whether this instance reaches any target. A single target that does not
// answer may be down; when none of several accepts a connection, the instance itself is cut off.
// It checks only when something gives reason to. It is safe for concurrent use.
type LinkMonitor struct {
	node      *Node
	dial      dialFunc
	suspected chan struct{} // holds a value when a check is due

	// Readings of clock.Now in nanoseconds; zero: never.
	lastHeard     atomic.Int64 // a response or an event of a target arrived
	lastConnected atomic.Int64 // a target accepted a connection

	mu      sync.Mutex
	cut     bool
	changed chan struct{} // closed at the next change of cut
}

func newLinkMonitor(n *Node, dial dialFunc) *LinkMonitor {
	return &LinkMonitor{node: n, dial: dial, suspected: make(chan struct{}, 1), changed: make(chan struct{})}
}

// State reports whether the instance reaches no target, and returns a channel that is closed
// when that changes.
func (m *LinkMonitor) State() (cut bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut, m.changed
}

// IsCut reports whether the instance reaches no target.
func (m *LinkMonitor) IsCut() bool {
	cut, _ := m.State()
	return cut
}

// dialTarget opens a connection for a request to a target. A failure is a reason to check the
// links, unless a target has accepted a connection since the dial began.
func (m *LinkMonitor) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	started := int64(m.node.Clock.Now())
	connection, err := m.dial(ctx, network, address)
	if err == nil {
		m.lastConnected.Store(int64(m.node.Clock.Now()))
		return m.node.connections.opened(connection, address), nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) && m.lastConnected.Load() < started {
		m.suspect()
	}
	return nil, err
}

// Heard notes that a target has sent something.
func (m *LinkMonitor) Heard() { m.lastHeard.Store(int64(m.node.Clock.Now())) }

// QuietSince is called when a target has not answered what was sent to it at the time since.
// That is a reason to check the links, unless some target has sent something meanwhile.
func (m *LinkMonitor) QuietSince(since time.Duration) {
	if m.lastHeard.Load() < int64(since) {
		m.suspect()
	}
}

func (m *LinkMonitor) suspect() {
	select {
	case m.suspected <- struct{}{}:
	default: // a check is due already
	}
}

// Confirm reports whether the instance reaches a target. Unless there was a sign of life lately, it
// connects to one, and to others if that is down.
func (m *LinkMonitor) Confirm(ctx context.Context) bool {
	return m.ConfirmSince(ctx, m.node.Clock.Now()-confirmedFor)
}

// ConfirmSince is confirm for a sign of life since then.
func (m *LinkMonitor) ConfirmSince(ctx context.Context, since time.Duration) bool {
	if m.IsCut() {
		return false
	}
	if m.signOfLifeSince(since) || m.anyTargetAccepts(ctx, firstWitnesses, firstCheckTimeout) || m.anyTargetAccepts(ctx, linkWitnesses, firstCheckTimeout) {
		return true
	}
	m.suspect()
	return false
}

// HeardLately reports whether there was a sign of life of a target within confirmedFor.
func (m *LinkMonitor) HeardLately() bool {
	return m.signOfLifeSince(m.node.Clock.Now() - confirmedFor)
}

// signOfLifeSince reports whether a target has sent something or accepted a connection since
// then.
func (m *LinkMonitor) signOfLifeSince(since time.Duration) bool {
	last := max(m.lastHeard.Load(), m.lastConnected.Load())
	return last != 0 && time.Duration(last) > since
}

// CheckIfQuiet checks the links unless there was a sign of life lately. It does not wait.
func (m *LinkMonitor) CheckIfQuiet() {
	if !m.HeardLately() {
		m.suspect()
	}
}

// run checks the links when there is a reason to, and while they are lost, until ctx ends.
func (m *LinkMonitor) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.suspected:
		}
		if !m.anyTargetAccepts(ctx, firstWitnesses, firstCheckTimeout) && !m.anyTargetAccepts(ctx, linkWitnesses, LinkCheckTimeout) && ctx.Err() == nil {
			m.set(true)
			for ctx.Err() == nil && !m.anyTargetAccepts(ctx, firstWitnesses, LinkCheckTimeout) {
				clock.Sleep(ctx, linkCheckInterval)
			}
			m.set(false)
		}
		clock.Sleep(ctx, linkCheckInterval)
	}
}

// set records whether the links are lost, and tells who waits for a change.
func (m *LinkMonitor) set(cut bool) {
	n := m.node
	m.mu.Lock()
	m.cut = cut
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	if !cut {
		n.Log("links to targets regained")
		return
	}
	n.Metrics.linksLost.Inc()
	n.Log("links to targets lost", events.F("quiet_for", n.sinceLastRead(&m.lastHeard).Round(time.Millisecond).String()),
		events.F("targets", fmt.Sprint(len(n.CurrentView().Targets))))
}

// anyTargetAccepts reports whether one of count targets accepts a connection, or no target is
// known. It repeats a check during which the process was paused.
func (m *LinkMonitor) anyTargetAccepts(ctx context.Context, count int, timeout time.Duration) bool {
	for {
		started := m.node.Clock.Now()
		addresses := m.Witnesses("", count)
		if len(addresses) == 0 || m.AnyAccepts(ctx, addresses, timeout) {
			return true
		}
		if ctx.Err() != nil || m.node.Clock.Now()-started < timeout+pauseMargin {
			return false
		}
	}
}

// Witnesses returns the addresses of count ready targets other than the excluded one, chosen at
// random. A target of a service that the configuration does not have is none: nothing is known of
// who has registered it.
func (m *LinkMonitor) Witnesses(excluded string, count int) []string {
	view := m.node.CurrentView()
	targets := view.Targets
	if len(targets) == 0 || view.Catalog == nil {
		return nil
	}
	var addresses []string
	offset := int(m.node.Rand64() % uint64(len(targets)))
	for i := range targets {
		t := targets[(i+offset)%len(targets)]
		if _, configured := view.Catalog.Services[t.Service]; configured && t.Ready && t.Address != excluded && len(addresses) < count {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// AnyAccepts reports whether one of the addresses accepts a connection within the timeout.
func (m *LinkMonitor) AnyAccepts(ctx context.Context, addresses []string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- m.Connect(ctx, address) }()
	}
	for range addresses {
		if <-results == nil {
			return true
		}
	}
	return false
}

// Connect opens and closes a connection to the address.
func (m *LinkMonitor) Connect(ctx context.Context, address string) error {
	connection, err := m.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	m.lastConnected.Store(int64(m.node.Clock.Now()))
	m.node.connections.count(dialCheck)
	_ = connection.Close() // nothing was sent
	return nil
}
