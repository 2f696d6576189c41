// Package rawtarget is a stand-in for a target that breaks off at a chosen
// point of the HTTP exchange. It speaks raw TCP, so that it sees every request
// that a client's HTTP library sends, also those that the library repeats.
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

// The steps.
const (
	Respond          Behavior = iota // answers and keeps the connection
	ReadThenClose                    // reads the request and closes
	ReadThenReset                    // reads the request and resets the connection
	CloseBeforeRead                  // closes without reading
	RespondPartially                 // sends half an answer and closes
	RespondThenClose                 // answers, then closes the kept connection at once
)

// Target follows its steps, one for each request; the last one repeats.
type Target struct {
	URL string

	listener net.Listener

	mu           sync.Mutex
	behaviors    []Behavior
	requestLines []string // request lines
}

// Start listens on loopback.
func Start(steps ...Behavior) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	t := &Target{URL: "http://" + l.Addr().String(), listener: l, behaviors: steps}
	go t.accept()
	return t, nil
}

// Close ends the target. Later dials are refused.
func (t *Target) Close() { _ = t.listener.Close() } // nothing is left to report

// RequestLines returns the lines of all requests that were read.
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
		step := t.currentBehavior()
		if step == CloseBeforeRead {
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
	step := t.behaviors[0]
	if len(t.behaviors) > 1 {
		t.behaviors = t.behaviors[1:]
	}
	return step
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

// responseBody is a whole answer of an engine and of a plain service.
const responseBody = `{"choices":[]}`

// perform reports whether the connection stays open.
func (t *Target) perform(conn net.Conn, step Behavior) bool {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	switch step {
	case Respond, RespondThenClose:
		_, err := fmt.Fprintf(conn, head+responseBody, len(responseBody))
		return err == nil && step == Respond
	case RespondPartially:
		_, _ = fmt.Fprintf(conn, head+responseBody[:4], len(responseBody)) // the client may be gone
	case ReadThenReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a close without it is an ordinary one
		}
	}
	return false
}
