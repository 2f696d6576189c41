package rawtarget

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

const (
	// UploadBytes is a request body that no socket takes whole from an upload connection.
	UploadBytes = 900 << 10
	// uploadStarted is how much of a body ResetUpload reads, and more than any other request sends.
	uploadStarted = 64 << 10
	writeBuffer   = 8 << 10
)

// ResetUpload reads the start of the request's body, writes answer to the connection and resets it
// while the rest of the body is being sent. It reports false, without reading anything, if the body
// is not an upload.
func ResetUpload(w http.ResponseWriter, r *http.Request, answer string) bool {
	if r.ContentLength < 2*uploadStarted {
		return false
	}
	if _, err := io.CopyN(io.Discard, r.Body, uploadStarted); err != nil {
		return true // the client has disconnected
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the close may send a FIN instead of a reset
	}
	_, _ = io.WriteString(conn, answer) // the client may have disconnected
	return true
}

// DialUpload opens a connection on which the writer, not the reader, meets a reset that ends an
// upload. A socket reports a reset once; the order in which that happens by chance is fixed here.
func DialUpload(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewUploadConn(conn, func() bool { return true }), nil
}

// NewUploadConn is DialUpload for an open connection. The order is fixed while active returns true.
func NewUploadConn(conn net.Conn, active func() bool) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBuffer) // so that the upload is in progress when the reset arrives
	}
	return &uploadConn{Conn: conn, active: active, read: make(chan struct{}), failed: make(chan struct{}), closed: make(chan struct{})}
}

// uploadConn holds back the reads that follow the start of the response until a write has failed,
// and the failed write until such a read has returned.
type uploadConn struct {
	net.Conn
	active                         func() bool
	failed, read, closed           chan struct{}
	failOnce, readOnce, closedOnce sync.Once

	mu       sync.Mutex
	sent     int
	answered bool // the response to an upload has begun
}

func (c *uploadConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.sent += len(b)
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.active() {
		c.failOnce.Do(func() { close(c.failed) })
		select {
		case <-c.read:
		case <-c.closed:
		}
	}
	return n, err
}

func (c *uploadConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	if answered && c.active() {
		defer c.readOnce.Do(func() { close(c.read) })
		select {
		case <-c.failed:
		case <-c.closed:
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.answered = c.sent >= uploadStarted; !c.answered {
			c.sent = 0
		}
	}
	return n, err
}

func (c *uploadConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
