package peerlink

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Bounds of a connection before its check.
const (
	handshakeTimeout = time.Second
	// maxHandshakes is the number of connections that are checked at once. Further ones wait
	// in the backlog of the system.
	maxHandshakes = 64
	// maxUnknownHandshakes of them may come from IP addresses that no instance has, so that
	// strangers cannot keep instances out. Further ones are refused.
	maxUnknownHandshakes = 16
	// maxHandshakeBytes bounds what is read before the check: the handshake needs 2 KB in both directions.
	maxHandshakeBytes = 16 << 10

	tlsHandshakeRecord = 0x16 // first byte of a TLS connection; requests begin with a letter
)

var (
	errTooLong    = errors.New("too many bytes before the check")
	errTooMany    = errors.New("too many connections that are not checked yet")
	errPlain      = errors.New("connection without TLS")
	errNoResponse = errors.New("connection broke or said nothing before the check")
)

// Listen returns a listener that yields checked connections only.
func (p *Peers) Listen(raw net.Listener) net.Listener {
	l := &listener{
		Listener: raw, peers: p, closed: make(chan struct{}), results: make(chan result),
		slots: make(chan struct{}, maxHandshakes), unknownSlots: make(chan struct{}, maxUnknownHandshakes),
	}
	l.config = p.config(func(fingerprint string) bool {
		_, found := p.set.Load().AcceptsKey(fingerprint)
		return found
	})
	l.config.ClientAuth = tls.RequireAnyClientCert // checked by VerifyConnection
	go l.acceptAll()
	return l
}

type result struct {
	conn net.Conn
	err  error
}

type listener struct {
	net.Listener
	peers   *Peers
	config  *tls.Config
	once    sync.Once
	closed  chan struct{} // closed by Close
	results chan result

	slots, unknownSlots chan struct{} // hold one value for each connection that is being checked
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case r := <-l.results:
		return r.conn, r.err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that are being checked are closed after it.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// deliver passes a result to Accept. It reports false if the listener is closed first.
func (l *listener) deliver(r result) bool {
	select {
	case l.results <- r:
		return true
	case <-l.closed:
		return false
	}
}

func (l *listener) acceptAll() {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if !l.deliver(result{err: err}) || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // after Accept was called again, which waits after an error
		}
		release, err := l.acquire(remoteIP(raw))
		if err != nil {
			l.refuse(raw, err)
			continue
		}
		go l.checkAndDeliver(raw, release)
	}
}

// acquire takes the slots for a connection from the IP address. Instances wait for one.
func (l *listener) acquire(ip netip.Addr) (release func(), err error) {
	unknown := !l.peers.set.Load().Knows(ip)
	if unknown {
		select {
		case l.unknownSlots <- struct{}{}:
		default:
			return nil, errTooMany
		}
	}
	release = func() {
		if unknown {
			<-l.unknownSlots
		}
		<-l.slots
	}
	l.slots <- struct{}{} // each is free again after handshakeTimeout
	return release, nil
}

func (l *listener) checkAndDeliver(raw net.Conn, release func()) {
	c, err := l.check(raw)
	release()
	if err != nil {
		l.refuse(raw, err)
		return
	}
	if !l.deliver(result{conn: c}) {
		_ = c.Close() // the listener is closed
	}
}

// check completes the handshake as the accepting side.
func (l *listener) check(raw net.Conn) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) }) // ends reads and writes
	bounded := &boundedConn{Conn: raw, left: maxHandshakeBytes}
	first, err := bounded.peek()
	if err != nil {
		return nil, errors.Join(errNoResponse, err)
	}
	c := &conn{Conn: bounded, raw: raw, peers: l.peers}
	if first == tlsHandshakeRecord {
		err = l.secure(ctx, c, bounded)
	} else {
		ip := remoteIP(raw)
		c.stillAccepted = func() bool { return l.peers.set.Load().AcceptsPlain(ip) }
		if !c.stillAccepted() {
			err = errPlain
		}
	}
	switch {
	case err != nil:
		return nil, err
	case !stop():
		return nil, errNoResponse
	}
	bounded.checked()
	if err := l.peers.register(c); err != nil {
		return nil, err
	}
	return c, nil
}

// secure completes the TLS handshake and tells the other side that it is accepted.
func (l *listener) secure(ctx context.Context, c *conn, bounded *boundedConn) error {
	secured := tls.Server(bounded, l.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return err
	}
	fingerprint := fingerprintOf(secured.ConnectionState().PeerCertificates[0])
	c.fingerprint = fingerprint
	c.Conn, c.stillAccepted = secured, func() bool {
		_, found := l.peers.set.Load().AcceptsKey(fingerprint)
		return found
	}
	_, err := secured.Write([]byte{accepted})
	return err
}

func (l *listener) refuse(raw net.Conn, reason error) {
	_ = raw.Close() // nothing is owed to the other side
	l.peers.refusals.add(l.peers.options, raw.RemoteAddr().String(), reason)
}

// boundedConn is a connection of which a limited number of bytes is read before the check.
type boundedConn struct {
	net.Conn
	first     []byte // read by peek and not by Read yet
	left      int
	unbounded bool
}

// peek returns the first byte without consuming it.
func (c *boundedConn) peek() (byte, error) {
	first := make([]byte, 1)
	for {
		n, err := c.Conn.Read(first)
		if n == 1 {
			c.first = first
			return first[0], nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// checked lifts the bound. No read may be in progress.
func (c *boundedConn) checked() { c.unbounded = true }

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	if len(c.first) > 0 && len(b) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	if c.unbounded {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// CloseWrite ends the sending side of a connection without TLS.
func (c *boundedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// refusals reports refused connections at most once a second.
type refusals struct {
	mu       sync.Mutex
	reported time.Duration // zero: never
	others   int           // refused since then
}

const refusalInterval = time.Second

func (r *refusals) add(o Options, remote string, reason error) {
	if o.Counted != nil {
		o.Counted()
	}
	now := o.Clock.Now()
	r.mu.Lock()
	report := r.reported == 0 || now-r.reported >= refusalInterval
	refusal := Refusal{Remote: remote, Reason: reason.Error(), Others: r.others}
	if report {
		r.reported, r.others = now, 0
	} else {
		r.others++
	}
	r.mu.Unlock()
	if report && o.Refused != nil {
		o.Refused(refusal)
	}
}
