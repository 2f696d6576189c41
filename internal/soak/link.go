package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// proxyMode is what a fault proxy does with the bytes of its connections.
type proxyMode uint8

// The modes. applyFault relies on their order: forwarding is the first and resetting the
// last.
const (
	forwarding       proxyMode = iota
	delayed                    // each chunk is forwarded after chunkDelay
	blackholed                 // no bytes are forwarded, connections stay open
	responsesBlocked           // requests are forwarded, responses are not
	resetting                  // open and new connections are reset
)

// connOwner returns the index of the instance that has opened a connection, as its client side,
// or noOwner.
type connOwner func(client net.Conn) int

const noOwner = -1

// chunkDelay is the delay of each chunk in mode delayed.
const chunkDelay = 120 * time.Millisecond

// faultProxy is a TCP proxy on loopback in front of one server. Its mode can change at
// any time and applies to open connections too.
type faultProxy struct {
	upstream      string
	listenAddress string
	port          int
	releasePort   func()
	owners        connOwner // nil: unknown

	mu       sync.Mutex
	listener net.Listener
	mode     proxyMode
	cut      map[int]proxyMode     // for the connections of single instances
	changed  chan struct{}         // closed when a mode changes
	conns    map[net.Conn]*session // of the open connections, to clients and to the server
	sent     []time.Time           // when clients sent bytes, or opened connections while the proxy refused them
}

// session is a client's connection and the one to the server that belongs to it.
type session struct {
	owner int // instance that has opened it, noOwner until it is known; guarded by the proxy's mu
}

// newFaultProxy starts a proxy in mode forwarding for the server at the address upstream. owners
// may be nil: then the modes of single instances do not apply.
func newFaultProxy(upstream string, owners connOwner) (*faultProxy, error) {
	listener, err := listenLoopback(0)
	if err != nil {
		return nil, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	release, err := reservePort(port)
	if err != nil {
		_ = listener.Close() // nobody knows of it
		return nil, err
	}
	p := &faultProxy{listener: listener, port: port, releasePort: release, listenAddress: listener.Addr().String(), upstream: upstream, owners: owners, changed: make(chan struct{}), cut: map[int]proxyMode{}, conns: map[net.Conn]*session{}}
	go p.accept(listener)
	return p, nil
}

func (p *faultProxy) address() string { return p.listenAddress }

// setMode changes the mode. Mode resetting resets the open connections at once.
func (p *faultProxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == resetting {
		p.resetConns(func(int) bool { return true })
	}
}

// setOwnerMode changes the mode for the connections of one instance. Another mode than
// forwarding replaces the proxy's.
func (p *faultProxy) setOwnerMode(owner int, m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[owner] = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == resetting {
		p.resetConns(func(o int) bool { return o == owner })
	}
}

// modeFor returns the mode for the connections of an instance. The caller holds the lock.
func (p *faultProxy) modeFor(owner int) proxyMode {
	if m := p.cut[owner]; m != forwarding {
		return m
	}
	return p.mode
}

// resetConns resets the open connections of the owners. The caller holds the lock.
func (p *faultProxy) resetConns(affected func(owner int) bool) {
	for c, s := range p.conns {
		if !affected(s.owner) {
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset in place of a FIN
		}
		_ = c.Close() // conns has both sides, so client and server receive a reset
	}
}

// close ends the proxy for good.
func (p *faultProxy) close() {
	p.stopListening()
	p.releasePort()
}

// stopListening stops listening and resets every connection.
func (p *faultProxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close() // the proxy is its only user
	p.resetConns(func(int) bool { return true })
}

// crash stops listening and resets every connection, as the end of the server's process does,
// until the returned function is called.
func (p *faultProxy) crash() (restart func() error) {
	p.stopListening()
	return func() error {
		listener, err := listenLoopback(p.port)
		if err != nil {
			return fmt.Errorf("listen again: %w", err)
		}
		p.mu.Lock()
		p.listener = listener
		p.mu.Unlock()
		go p.accept(listener)
		return nil
	}
}

// refuse resets every connection, open ones and those that clients open, as an address does whose
// server is gone, until the returned function is called.
func (p *faultProxy) refuse() (restart func() error, err error) {
	listenAgain := p.crash()
	listener, err := listenLoopback(p.port)
	if err != nil {
		return listenAgain, fmt.Errorf("listen to refuse: %w", err)
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			p.noteSent()
			if tcp, ok := client.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close sends a reset in place of a FIN
			}
			_ = client.Close() // the client receives a reset
		}
	}()
	return func() error {
		_ = listener.Close() // the proxy is its only user
		return listenAgain()
	}, nil
}

func (p *faultProxy) noteSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, time.Now())
}

// sentTimes returns when clients sent bytes, whether or not they have reached the server.
func (p *faultProxy) sentTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.sent...)
}

func (p *faultProxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		s := &session{owner: noOwner}
		p.mu.Lock()
		p.conns[client] = s
		p.mu.Unlock()
		go p.admit(client, s)
	}
}

// admit finds out whose connection it is, beside the accept loop. It serves the connection, or
// resets it. The lookup takes up to a second on a busy machine. The connection waits for it only
// while the links of an instance are cut: else requests sent meanwhile would arrive together.
func (p *faultProxy) admit(client net.Conn, s *session) {
	served := !p.resetsOrCuts()
	if served {
		go p.serve(client, s)
	}
	owner := noOwner
	if p.owners != nil {
		owner = p.owners(client)
	}
	p.mu.Lock()
	reset := p.modeFor(owner) == resetting
	s.owner = owner
	if reset {
		p.resetConns(func(o int) bool { return o == owner })
	}
	p.mu.Unlock()
	if !reset && !served {
		p.serve(client, s)
	}
}

// resetsOrCuts reports whether new connections are reset, or those of single instances have a mode
// of their own.
func (p *faultProxy) resetsOrCuts() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.cut {
		if m != forwarding {
			return true
		}
	}
	return p.mode == resetting
}

// serve connects the client to the server and forwards bytes both ways until the
// connection ends.
func (p *faultProxy) serve(client net.Conn, s *session) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close() // the server does not accept connections
		return
	}
	p.mu.Lock()
	p.conns[server] = s
	p.mu.Unlock()
	go p.copy(server, client, s, false)
	p.copy(client, server, s, true)
	p.mu.Lock()
	delete(p.conns, server)
	delete(p.conns, client)
	p.mu.Unlock()
}

// copy forwards bytes from src to dst as the mode allows, until either side ends.
// responses is true for the direction from the server to the client.
func (p *faultProxy) copy(dst, src net.Conn, s *session, responses bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !responses {
				p.noteSent()
			}
			p.waitWhileBlocked(s, responses)
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return // end of the stream, or a reset
		}
	}
}

// waitWhileBlocked waits until the mode lets a chunk pass in the given direction. In mode
// delayed it waits for chunkDelay.
func (p *faultProxy) waitWhileBlocked(s *session, responses bool) {
	for {
		p.mu.Lock()
		m, changed := p.modeFor(s.owner), p.changed
		p.mu.Unlock()
		switch {
		case m == delayed:
			time.Sleep(chunkDelay)
			return
		case m == blackholed, m == responsesBlocked && responses:
			<-changed
		default:
			return
		}
	}
}
