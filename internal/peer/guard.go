package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// helloTimeout is the maximum time from accepting a connection until its Hello.
	helloTimeout = 5 * time.Second
	// sendTimeout is how long a write may block because the peer does not read.
	sendTimeout = 5 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel
	// breaks the connection.
	unackedTimeout = 10 * time.Second
	// maxCalls is the maximum number of concurrent calls of one session.
	maxCalls = 8192
)

// ErrTooManyCalls is the error of a call above maxCalls. The call was not executed.
var ErrTooManyCalls = errors.New("too many calls of one session at once")

// writeDeadlineConn fails a write that takes longer than sendTimeout. The error breaks
// the session, so that a peer that does not read blocks the session's senders for a
// limited time only.
type writeDeadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// withTimeouts sets TCP_USER_TIMEOUT on a connection and wraps it with write deadlines.
func withTimeouts(conn net.Conn) net.Conn {
	setUserTimeout(conn)
	return writeDeadlineConn{conn}
}

// setUserTimeout makes the kernel break a connection whose other end became unreachable
// without FIN or RST. By default TCP would retransmit for minutes.
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
	_ = raw.Control(func(fd uintptr) { // if the option cannot be set, the write deadline still applies
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

type helloTimerKey struct{}

// withHelloTimeout closes the connection unless helloReceived is called with the returned
// context within the timeout. The returned function stops the timer.
func withHelloTimeout(ctx context.Context, conn net.Conn, timeout time.Duration) (context.Context, func()) {
	timer := time.AfterFunc(timeout, func() { _ = conn.Close() }) // the session ends with an error
	stop := func() { timer.Stop() }
	return context.WithValue(ctx, helloTimerKey{}, stop), stop
}

// helloReceived stops the timer that withHelloTimeout started.
func helloReceived(ctx context.Context) {
	if stop, ok := ctx.Value(helloTimerKey{}).(func()); ok {
		stop()
	}
}
