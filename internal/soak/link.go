package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// mode is what a link does with the bytes of its connections.
type mode uint8

// The modes.
const (
	forwarding       mode = iota
	delayed               // each piece waits
	blackholed            // nothing passes, connections stay open
	responsesBlocked      // requests pass, answers do not
	resetting             // new connections are reset, open ones are cut
)

// delay is how long a piece waits on a delayed link.
const delay = 120 * time.Millisecond

// faultProxy is a loopback proxy in front of one server, with a fault switch.
type faultProxy struct {
	listener net.Listener
	upstream string

	mu      sync.Mutex
	mode    mode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
}

func newLink(upstream string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	l := &faultProxy{listener: listener, upstream: upstream, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *faultProxy) address() string { return l.listener.Addr().String() }

// set changes the mode. A link that refuses cuts its open connections with a reset.
func (l *faultProxy) set(m mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == resetting {
		l.resetConns()
	}
}

// resetConns must be called with the lock held.
func (l *faultProxy) resetConns() {
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close() // both sides see the reset
	}
}

func (l *faultProxy) close() {
	_ = l.listener.Close() // nothing else uses it
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetConns()
}

func (l *faultProxy) accept() {
	for {
		down, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		l.mu.Lock()
		refused := l.mode == resetting
		l.conns[down] = true
		if refused {
			l.resetConns()
		}
		l.mu.Unlock()
		if refused {
			continue
		}
		go l.serve(down)
	}
}

func (l *faultProxy) serve(down net.Conn) {
	up, err := net.Dial("tcp", l.upstream)
	if err != nil {
		_ = down.Close() // the server is not there
		return
	}
	l.mu.Lock()
	l.conns[up] = true
	l.mu.Unlock()
	go l.copy(up, down, false)
	l.copy(down, up, true)
	l.mu.Lock()
	delete(l.conns, up)
	delete(l.conns, down)
	l.mu.Unlock()
}

// copy passes bytes on as the mode allows. answers tells the direction.
func (l *faultProxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.waitWhileBlocked(answers)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return // the end, or a reset
		}
	}
}

// waitWhileBlocked waits while the mode holds bytes of the direction back.
func (l *faultProxy) waitWhileBlocked(answers bool) {
	for {
		l.mu.Lock()
		m, changed := l.mode, l.changed
		l.mu.Unlock()
		switch {
		case m == delayed:
			time.Sleep(delay)
			return
		case m == blackholed, m == responsesBlocked && answers:
			<-changed
		default:
			return
		}
	}
}
