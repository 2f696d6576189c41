package peerlink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/peering"
	"github.com/amaranthfold/amaranthfold/internal/clock"
)

// Errors of Dial and of refused connections.
var (
	// ErrUnknownAddress: no instance has announced the address.
	ErrUnknownAddress = errors.New("no instance has the address")
	// ErrNotInstance: the other side has not proved to be the instance.
	ErrNotInstance = errors.New("not the key of an instance")
)

const (
	// protocol is negotiated in the handshake, so that a later version can be told apart.
	protocol = "amaranthfold-peer/1"
	// accepted is the first byte from the accepting side. In TLS 1.3 the connecting side
	// completes its handshake before the accepting side has checked the key, and could not
	// tell a refused connection from one that broke while a request ran.
	accepted = 1
)

// Peer is an instance as the log announces it.
type Peer = peering.Peer

// Refusal is the latest refused connection.
type Refusal struct {
	Remote string
	Reason string
	Others int // refused since the last reported one
}

// Options holds the reports of refused connections.
type Options struct {
	Clock   clock.Clock   // nil: the system's clock
	Counted func()        // nil, or called for each refused connection
	Refused func(Refusal) // nil, or called at most once a second
}

// Peers holds the known instances. It is safe for concurrent use.
type Peers struct {
	identity *Identity
	options  Options
	set      atomic.Pointer[peering.Set]
	refusals refusals

	mu   sync.Mutex
	open map[*conn]bool
}

// NewPeers returns an empty set, which accepts nobody.
func NewPeers(identity *Identity, o Options) *Peers {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	p := &Peers{identity: identity, options: o, open: map[*conn]bool{}}
	p.set.Store(peering.NewSet(nil))
	return p
}

// Update replaces the known instances. It breaks open connections from and to those that are
// not accepted any more.
func (p *Peers) Update(peers []Peer) {
	p.set.Store(peering.NewSet(peers))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if !c.stillAccepted() {
			_ = c.raw.Close() // without the closing message of TLS, which could block
		}
	}
}

// Dial connects to the instance whose listener has the address. When it returns, both sides
// have checked each other's keys. It takes handshakeTimeout at most.
func (p *Peers) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return p.DialWithin(handshakeTimeout)(ctx, network, address)
}

// DialWithin returns Dial with a timeout of its own.
func (p *Peers) DialWithin(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		peer, found := p.set.Load().At(address)
		if !found {
			return nil, fmt.Errorf("connect to %s: %w", address, ErrUnknownAddress)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, raw: raw, peers: p, stillAccepted: func() bool {
			now, found := p.set.Load().At(address)
			return found && now.Fingerprint == peer.Fingerprint
		}}
		if peer.Fingerprint != "" {
			if c.Conn, err = p.connect(ctx, raw, peer.Fingerprint); err != nil {
				_ = raw.Close() // the handshake's error is returned
				return nil, fmt.Errorf("instance %s at %s: %w", peer.Name, address, err)
			}
		}
		if err := p.register(c); err != nil {
			return nil, err
		}
		return c, nil
	}
}

// connect completes the handshake as the connecting side.
func (p *Peers) connect(ctx context.Context, raw net.Conn, fingerprint string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) }) // ends reads and writes
	bounded := &boundedConn{Conn: raw, left: maxHandshakeBytes}
	config := p.config(func(key string) bool { return key == fingerprint })
	config.InsecureSkipVerify = true // replaced by VerifyConnection: the key itself is known
	secured := tls.Client(bounded, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	var answer [1]byte
	if _, err := io.ReadFull(secured, answer[:]); err != nil {
		return nil, fmt.Errorf("refused: %w", err)
	}
	if answer[0] != accepted || !stop() {
		return nil, errors.Join(ErrNotInstance, ctx.Err())
	}
	bounded.checked()
	return secured, nil
}

// config returns a configuration that accepts the keys for which known is true.
func (p *Peers) config(known func(fingerprint string) bool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{p.identity.certificate},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		// Each connection proves the key: with tickets, one could outlive it.
		SessionTicketsDisabled: true,
		// Go's default adds ML-KEM, with which a new connection took twice the time and bytes.
		CurvePreferences: []tls.CurveID{tls.X25519},
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) != 1 || state.NegotiatedProtocol != protocol || !known(fingerprintOf(state.PeerCertificates[0])) {
				return ErrNotInstance
			}
			return nil
		},
	}
}

// register adds a checked connection to those that Update may break.
func (p *Peers) register(c *conn) error {
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	if !c.stillAccepted() { // Update came between the check and the registration
		_ = c.Close()
		return ErrNotInstance
	}
	return nil
}

// conn is a checked connection.
type conn struct {
	net.Conn
	raw           net.Conn // without TLS
	peers         *Peers
	stillAccepted func() bool
	fingerprint   string // of the key of the other side; empty: it has proved none
}

type senderKey struct{}

// ConnContext adds the connection to the context of its requests; for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if checked, ok := c.(*conn); ok {
		return context.WithValue(ctx, senderKey{}, checked)
	}
	return ctx
}

// MaySend reports whether the sender of a request may be the instance of the name: it has the
// key that the instance has announced, or has come over a connection that is accepted without one.
func MaySend(ctx context.Context, name string) bool {
	c, ok := ctx.Value(senderKey{}).(*conn)
	if !ok || c.fingerprint == "" {
		return ok
	}
	holder, found := c.peers.set.Load().AcceptsKey(c.fingerprint)
	return found && holder == name
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.peers.mu.Lock()
	delete(c.peers.open, c)
	c.peers.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side, as net/http does before it discards the rest of a request.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// remoteIP returns the IP address of the other side, the zero Addr if it has none.
func remoteIP(c net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
