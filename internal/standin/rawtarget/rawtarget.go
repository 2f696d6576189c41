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

// Step is what the target does with one request.
type Step uint8

// The steps.
const (
	Answer        Step = iota // answers and keeps the connection
	ReadClose                 // reads the request and closes
	ReadReset                 // reads the request and resets the connection
	CloseUnread               // closes without reading
	AnswerPartial             // sends half an answer and closes
	AnswerClose               // answers, then closes the kept connection at once
)

// Target follows its steps, one for each request; the last one repeats.
type Target struct {
	URL string

	listener net.Listener

	mu    sync.Mutex
	steps []Step
	seen  []string // request lines
}

// Start listens on loopback.
func Start(steps ...Step) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	t := &Target{URL: "http://" + l.Addr().String(), listener: l, steps: steps}
	go t.accept()
	return t, nil
}

// Close ends the target. Later dials are refused.
func (t *Target) Close() { _ = t.listener.Close() } // nothing is left to report

// Seen returns the lines of all requests that were read.
func (t *Target) Seen() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.seen...)
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
		step := t.peek()
		if step == CloseUnread {
			t.take()
			return
		}
		if !t.read(reader) {
			return
		}
		if !t.carryOut(conn, t.take()) {
			return
		}
	}
}

func (t *Target) peek() Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.steps[0]
}

func (t *Target) take() Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	step := t.steps[0]
	if len(t.steps) > 1 {
		t.steps = t.steps[1:]
	}
	return step
}

func (t *Target) read(reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = append(t.seen, req.Method+" "+req.URL.Path)
	return true
}

// body is a whole answer of an engine and of a plain service.
const body = `{"choices":[]}`

// carryOut reports whether the connection stays open.
func (t *Target) carryOut(conn net.Conn, step Step) bool {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	switch step {
	case Answer, AnswerClose:
		_, err := fmt.Fprintf(conn, head+body, len(body))
		return err == nil && step == Answer
	case AnswerPartial:
		_, _ = fmt.Fprintf(conn, head+body[:4], len(body)) // the client may be gone
	case ReadReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a close without it is an ordinary one
		}
	}
	return false
}
