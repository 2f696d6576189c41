package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
)

// ErrNotSent tells that a check failed on the open connection; nothing was sent.
var ErrNotSent = errors.New("call held back")

// Check decides at the last moment whether a call may leave.
type Check func() error

// checkedConn runs a check right before the first byte of a call is written.
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

func (c *checkedConn) setBeforeWrite(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = check
}

// dialChecked opens connections that can hold a call back.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// withCheck arms the connection that the call gets. failed returns the check's
// error after the call.
func withCheck(ctx context.Context, check Check) (checked context.Context, failed func() error) {
	var mu sync.Mutex
	var held error
	run := func() error {
		mu.Lock()
		defer mu.Unlock()
		if err := check(); err != nil {
			held = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return held
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		raw := info.Conn
		if secure, ok := raw.(*tls.Conn); ok {
			raw = secure.NetConn()
		}
		if conn, ok := raw.(*checkedConn); ok {
			conn.setBeforeWrite(run)
		}
	}}
	failed = func() error {
		mu.Lock()
		defer mu.Unlock()
		return held
	}
	return httptrace.WithClientTrace(ctx, trace), failed
}
