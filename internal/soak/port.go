package soak

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenConfig opens listeners that share their port with the socket of reservePort.
var listenConfig = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
		return err
	}
	return failed
}}

// listenLoopback listens on the port of 127.0.0.1; zero: any.
func listenLoopback(port int) (*net.TCPListener, error) {
	l, err := listenConfig.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return l.(*net.TCPListener), nil
}

// reservePort binds a socket to the port of 127.0.0.1 that does not listen. Without it, the system
// could give the port to an outgoing connection of any process while nobody listens on it.
func reservePort(port int) (release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve port %d: %w", port, err)
	}
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		_ = unix.Close(fd) // it holds nothing
		return nil, fmt.Errorf("reserve port %d: %w", port, err)
	}
	return func() { _ = unix.Close(fd) }, nil // nothing was sent on it
}
