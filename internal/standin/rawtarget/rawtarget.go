// Package rawtarget is a stand-in for a target that closes the connection at a
// chosen point of the HTTP exchange. The caller gives one behaviour per request.
// The target serves raw TCP connections and records every request that it reads, also
// those that a client's HTTP library retries on its own.
package rawtarget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Behavior is what the target does with one request.
type Behavior uint8

// The behaviours.
const (
	Respond          Behavior = iota // responds and keeps the connection open
	ReadThenClose                    // reads the request and closes
	ReadThenReset                    // reads the request and resets the connection
	CloseBeforeRead                  // closes without reading
	RespondPartially                 // sends the header and a part of the body, then closes
	RespondThenClose                 // responds as if the connection stayed open, then closes it at once
)

// Target applies its behaviours in order, one per request; the last one repeats.
type Target struct {
	URL string

	listener net.Listener

	mu           sync.Mutex
	behaviors    []Behavior // the first one applies to the next request
	requestLines []string   // method and path of each request that was read
}

// Start starts a target on a free loopback port. It needs at least one behaviour.
func Start(behaviors ...Behavior) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	t := &Target{URL: "http://" + l.Addr().String(), listener: l, behaviors: behaviors}
	go t.accept()
	return t, nil
}

// Close closes the listener: later dials are refused, open connections stay.
func (t *Target) Close() { _ = t.listener.Close() } // nothing is left to report

// RequestLines returns the method and path of every request that was read, in order.
func (t *Target) RequestLines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.requestLines...)
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

func (t *Target) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		behavior := t.currentBehavior()
		if behavior == CloseBeforeRead {
			t.nextBehavior()
			return
		}
		if !t.readRequest(reader) {
			return
		}
		if !t.perform(conn, t.nextBehavior()) {
			return
		}
	}
}

func (t *Target) currentBehavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviors[0]
}

func (t *Target) nextBehavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	behavior := t.behaviors[0]
	if len(t.behaviors) > 1 {
		t.behaviors = t.behaviors[1:]
	}
	return behavior
}

func (t *Target) readRequest(reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestLines = append(t.requestLines, req.Method+" "+req.URL.Path)
	return true
}

// responseBody is valid as the response of an engine and of a plain service.
const responseBody = `{"choices":[]}`

// perform applies a behaviour and reports whether the connection stays open.
func (t *Target) perform(conn net.Conn, behavior Behavior) bool {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	switch behavior {
	case Respond, RespondThenClose:
		_, err := fmt.Fprintf(conn, header+responseBody, len(responseBody))
		return err == nil && behavior == Respond
	case RespondPartially:
		_, _ = fmt.Fprintf(conn, header+responseBody[:4], len(responseBody)) // the client may have disconnected
	case ReadThenReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it, the close sends a FIN instead of a reset
		}
	}
	return false
}
