package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/amaranthfold/amaranthfold/internal/httpclient"
)

// ErrNotSent is wrapped by the error of a call whose check failed. Nothing was sent.
var ErrNotSent = errors.New("call held back")

// Check is run once a call's connection is open, right before the first byte is sent. If
// it returns an error, nothing is sent. Callers check their lease with it, since opening
// the connection takes time.
type Check func() error

// checkedConn is a connection that runs beforeWrite, if set, before the next write, and
// clears it. If it fails, nothing is written.
type checkedConn struct {
	net.Conn
	mu          sync.Mutex
	beforeWrite func() error
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	check := c.beforeWrite
	c.beforeWrite = nil
	c.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// setBeforeWrite sets the check that runs before the next write.
func (c *checkedConn) setBeforeWrite(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = check
}

// dialChecked opens connections of type *checkedConn.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// withCheck returns a context for one HTTP call. The call runs check before the first
// write on the connection that it gets from the transport, be it new or reused. After the
// call, notSent returns the error of a failed check, which also wraps ErrNotSent, or nil.
func withCheck(ctx context.Context, check Check) (traced context.Context, notSent func() error) {
	var mu sync.Mutex
	var checkErr error
	runCheck := func() error {
		mu.Lock()
		defer mu.Unlock()
		if err := check(); err != nil {
			checkErr = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return checkErr
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := httpclient.Unwrap(info.Conn).(*checkedConn); ok {
			conn.setBeforeWrite(runCheck)
		}
	}}
	notSent = func() error {
		mu.Lock()
		defer mu.Unlock()
		return checkErr
	}
	return httptrace.WithClientTrace(ctx, trace), notSent
}
