package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

// Causes of a new connection to a target.
const (
	dialFirst    = "first"            // this instance has opened none to the address
	dialMore     = "more at once"     // all open ones are in use
	dialCanceled = "canceled"         // this instance ended a request before its response was complete
	dialIdle     = "idle"             // this instance closed one that was idle for long
	dialByTarget = "closed by target" // the target closed or reset one
	dialCheck    = "check"            // a check of the links, which sends nothing
)

// idleBeforeClose tells connections that were closed idle from those closed during a request.
const idleBeforeClose = time.Second

// connections counts the new connections to targets by their cause: each replaces the
// connection to the same address that was lost last. It is safe for concurrent use.
type connections struct {
	node *Node

	mu   sync.Mutex
	lost map[string][]*targetConn // closed and not replaced, by address
	open map[string]int           // by address
}

// targetConn is a connection to a target. It leads to one start of the target only: it breaks
// when the target's process ends.
type targetConn struct {
	net.Conn
	connections *connections
	address     string
	openedAt    time.Duration // by clock.Now
	confirmed   atomic.Int64  // the start that it leads to, Unix milliseconds; zero: not known
	usedAt      atomic.Int64  // when a byte was last sent or received, by clock.Now
	byTarget    atomic.Bool   // the target has closed or reset it
	closedAt    atomic.Int64  // by clock.Now; zero: it is open
}

// maxLostPerTarget bounds what is kept of an address: no pool is larger.
const maxLostPerTarget = 2 * idleConnsPerTarget

// opened counts a connection that was opened for a request and returns it.
func (c *connections) opened(connection net.Conn, address string) *targetConn {
	now := c.node.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, known := c.lost[address]
	cause := dialMore
	switch {
	case !known:
		cause = dialFirst
	case len(lost) > 0:
		cause, lost = lost[len(lost)-1].cause(), lost[:len(lost)-1]
	}
	if !known && len(c.lost) > 2*len(c.node.CurrentView().Targets)+maxLostPerTarget {
		clear(c.lost) // addresses of targets that are gone
	}
	c.lost[address] = lost
	c.open[address]++
	c.count(cause)
	return &targetConn{Conn: connection, connections: c, address: address, openedAt: now}
}

// OpenConnections returns the number of open connections to the address of a target.
func (n *Node) OpenConnections(address string) int {
	n.connections.mu.Lock()
	defer n.connections.mu.Unlock()
	return n.connections.open[address]
}

func (c *connections) count(cause string) {
	c.node.Metrics.Set.GetOrCreateCounter(fmt.Sprintf(`amaranth_hosted_target_connections_total{cause=%q}`, cause)).Inc()
}

// targetTransport notes which targets close their connections after a response.
type targetTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t targetTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var connection net.Conn
	res, err := t.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn },
	})))
	if c, ok := httpclient.Unwrap(connection).(*targetConn); ok && err == nil && res.Close {
		c.byTarget.Store(true)
	}
	return res, err
}

// CloseIdleConnections closes the idle connections, as http.Client asks for.
func (t targetTransport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Read implements net.Conn.
func (c *targetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.usedAt.Store(int64(c.connections.node.Clock.Now()))
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.closedByTarget()
	}
	return n, err
}

// closedByTarget notes that the target has closed or reset the connection. A connection in use is
// not closed for idleness: without a word in the response, the target may have crashed.
func (c *targetConn) closedByTarget() {
	announced := c.byTarget.Swap(true)
	usedAt, now := c.usedAt.Load(), int64(c.connections.node.Clock.Now())
	if !announced && usedAt > 0 && now-usedAt < int64(idleBeforeClose) {
		c.connections.node.noteConnectionBroken(c.address)
	}
}

// Write implements net.Conn.
func (c *targetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.usedAt.Store(int64(c.connections.node.Clock.Now()))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.byTarget.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	if c.closedAt.CompareAndSwap(0, int64(c.connections.node.Clock.Now())) {
		cs := c.connections
		cs.mu.Lock()
		if lost := cs.lost[c.address]; len(lost) < maxLostPerTarget {
			cs.lost[c.address] = append(lost, c)
		}
		if cs.open[c.address]--; cs.open[c.address] <= 0 {
			delete(cs.open, c.address)
		}
		cs.mu.Unlock()
	}
	return c.Conn.Close()
}

// cause returns why the connection was closed.
func (c *targetConn) cause() string {
	switch {
	case c.byTarget.Load():
		return dialByTarget
	case c.closedAt.Load()-c.usedAt.Load() > int64(idleBeforeClose):
		return dialIdle
	default:
		return dialCanceled
	}
}
