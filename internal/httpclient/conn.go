package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// Errors of responses.
var (
	// ErrCut is wrapped by the error of a body that ends with a connection on which the request
	// could not be sent whole.
	ErrCut = errors.New("connection broke while the request was being sent")
	// ErrUnsolicited is the error of a response that had arrived before its request was sent.
	ErrUnsolicited = errors.New("response without a request")
)

const (
	largeHeadBytes = 8 << 10 // a head is counted in the budget of responses from this size on
	headCopies     = 2       // a head without an end is held by its check and by net/http
)

// conn checks the heads of responses, and tells the end of a connection from a reset.
//
// A socket reports a reset to one call only. If that is a write, the reads that follow return what
// has arrived and then io.EOF, as after an orderly close. So io.EOF is returned only once the request
// has been written, as no write can fail any more; a body that ends before is cut.
type conn struct {
	net.Conn
	budget *Budget // nil: none

	mu        sync.Mutex
	changed   *sync.Cond
	writing   int  // writes in progress
	sending   bool // a request is being sent
	closed    bool
	writeErr  error // of the first write that failed; nil: none has
	head      *headCheck
	headErr   error // of the latest head; nil: none so far
	headBytes int   // of the latest response, until its head is whole
	headHold  *Hold // nil: the latest head is small, or there is no budget
	carriage  carriage
}

func newConn(c net.Conn, budget *Budget) *conn {
	wrapped := &conn{Conn: c, budget: budget, head: &headCheck{done: true}}
	wrapped.changed = sync.NewCond(&wrapped.mu)
	return wrapped
}

// beginRequest notes that a request will be written.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending, c.head, c.headErr, c.headBytes = true, &headCheck{}, nil, 0
	c.headHold.Close()
	c.headHold = nil
}

// carry notes the identity of the request that will be written.
func (c *conn) carry(s *identities, pool int, key identity, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.carriage.carry(s, pool, key, id)
	}
}

// identified notes that a response with the id of its request has come.
func (c *conn) identified() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carriage.identified()
}

// endRequest notes that nothing of the request is left to be written but what the transport has
// buffered.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if headErr := c.checkHead(b[:n]); headErr != nil {
		return 0, headErr
	}
	if holdErr := c.holdHead(n); holdErr != nil {
		return 0, holdErr
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// checkHead checks the bytes that have arrived if they belong to the head of a response. After an
// error nothing more is read from the connection.
func (c *conn) checkHead(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil && !c.head.done {
		c.headErr = c.head.add(data)
	}
	return c.headErr
}

// holdHead adds bytes that have arrived to the hold of the head, if it is a large one.
func (c *conn) holdHead(bytes int) error {
	c.mu.Lock()
	if c.headBytes += bytes; c.head.done || c.headBytes < largeHeadBytes || c.closed {
		c.mu.Unlock()
		return nil
	}
	if c.headHold == nil {
		c.headHold = c.budget.open(func() { c.failHead(ErrBudgetSpent) })
		bytes = c.headBytes
	}
	hold := c.headHold
	c.mu.Unlock()
	err := hold.Grow(int64(headCopies * bytes))
	if err != nil {
		c.failHead(err)
	}
	return err
}

// failHead ends the latest head with an error, unless it has one.
func (c *conn) failHead(err error) {
	c.mu.Lock()
	if c.headErr == nil {
		c.headErr = err
	}
	c.mu.Unlock()
	_ = c.Close()
}

// responded returns nil if the final head of a response to the latest request has arrived and is
// well formed.
func (c *conn) responded() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil && !c.head.done {
		return ErrUnsolicited
	}
	return c.headErr
}

// headError returns the error of the latest head, nil if it is well formed as far as it has arrived.
func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// checkEnd waits until the request has been sent or the connection is closed, if the body of a
// response has begun. It returns io.EOF if the other side has closed the connection, and an error
// that wraps ErrCut if that is not known.
func (c *conn) checkEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.head.done && c.writeErr == nil && !c.closed && (c.sending || c.writing > 0) {
		c.changed.Wait()
	}
	switch {
	case !c.head.done: // there is no body
		return io.EOF
	case c.writeErr != nil:
		return fmt.Errorf("%w: %w", ErrCut, c.writeErr)
	case c.sending || c.writing > 0:
		return fmt.Errorf("%w: %w", ErrCut, net.ErrClosed)
	default:
		return io.EOF
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.carriage.close()
	c.headHold.Close()
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
