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

// chunkDelay is the delay of each chunk in mode delayed.
const chunkDelay = 120 * time.Millisecond

// faultProxy is a TCP proxy on loopback in front of one server. Its mode can change at
// any time and applies to open connections too.
type faultProxy struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{}     // closed when the mode changes
	conns   map[net.Conn]bool // open connections, to clients and to the server
}

// newFaultProxy starts a proxy in mode forwarding for the server at the address upstream.
func newFaultProxy(upstream string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	p := &faultProxy{listener: listener, upstream: upstream, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Mode resetting resets the open connections at once.
func (p *faultProxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == resetting {
		p.resetConns()
	}
}

// resetConns resets every open connection. The caller holds the lock.
func (p *faultProxy) resetConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close sends a reset in place of a FIN
		}
		_ = c.Close() // conns has both sides, so client and server receive a reset
	}
}

// close stops listening and resets every connection.
func (p *faultProxy) close() {
	_ = p.listener.Close() // the proxy is its only user
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConns()
}

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.mu.Lock()
		reset := p.mode == resetting
		p.conns[client] = true
		if reset {
			p.resetConns()
		}
		p.mu.Unlock()
		if reset {
			continue
		}
		go p.serve(client)
	}
}

// serve connects the client to the server and forwards bytes both ways until the
// connection ends.
func (p *faultProxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close() // the server does not accept connections
		return
	}
	p.mu.Lock()
	p.conns[server] = true
	p.mu.Unlock()
	go p.copy(server, client, false)
	p.copy(client, server, true)
	p.mu.Lock()
	delete(p.conns, server)
	delete(p.conns, client)
	p.mu.Unlock()
}

// copy forwards bytes from src to dst as the mode allows, until either side ends.
// responses is true for the direction from the server to the client.
func (p *faultProxy) copy(dst, src net.Conn, responses bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			p.waitWhileBlocked(responses)
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
func (p *faultProxy) waitWhileBlocked(responses bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
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
