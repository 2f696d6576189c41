package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// helloTimeout is how long a connection may take to introduce its sender.
	helloTimeout = 5 * time.Second
	// sendTimeout is how long a peer may leave a message unread.
	sendTimeout = 5 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection counts as broken.
	unackedTimeout = 10 * time.Second
	// maxCalls is how many calls of one session run at once.
	maxCalls = 8192
)

// ErrTooManyCalls refuses a call that is over a session's limit. It was not
// carried out.
var ErrTooManyCalls = errors.New("too many calls of one session at once")

// writeDeadlineConn breaks the connection when a message cannot be written in time, so
// that a peer that does not read holds up nobody else for long.
type writeDeadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// withTimeouts prepares a connection for a session.
func withTimeouts(conn net.Conn) net.Conn {
	setUserTimeout(conn)
	return writeDeadlineConn{conn}
}

// setUserTimeout lets the kernel break a connection whose other end is gone
// without a word. TCP alone would send again for minutes.
func setUserTimeout(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // without the option the write deadline still holds
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

type helloTimerKey struct{}

// withHelloTimeout closes the connection unless introduced is called in time.
func withHelloTimeout(ctx context.Context, conn net.Conn, timeout time.Duration) (context.Context, func()) {
	timer := time.AfterFunc(timeout, func() { _ = conn.Close() }) // the session ends
	stop := func() { timer.Stop() }
	return context.WithValue(ctx, helloTimerKey{}, stop), stop
}

// helloReceived tells that the connection's sender has introduced itself.
func helloReceived(ctx context.Context) {
	if stop, ok := ctx.Value(helloTimerKey{}).(func()); ok {
		stop()
	}
}
