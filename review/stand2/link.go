package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is the way from one instance to a target. While it is cut, nothing passes. What was sent
// on a connection meanwhile is sent again as TCP does it: after minRetransmit, and then after twice
// as long each time. It arrives with the first repeat after the cut, unless the sender has reset the
// connection by then. A connection that is opened during the cut gets no answer.
type link struct {
	address string // it listens there
	target  string

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed at the end of the cut
}

// minRetransmit is the time until TCP sends again what is not acknowledged, on a fast network.
const minRetransmit = 200 * time.Millisecond

func (e *env) newLink(target string) (*link, error) {
	l, err := listenShort()
	if err != nil {
		return nil, err
	}
	e.listeners = append(e.listeners, l)
	k := &link{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // it is closed
			}
			if cut, healed := k.state(); cut {
				<-healed
				_ = c.Close()
				continue
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

// listenShort returns a listener on a free loopback port with the shortest queue of connections that wait to
// be accepted. While the queue is full, a new connection gets no answer.
func listenShort() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "link")
	defer func() { _ = file.Close() }() // the listener has its own copy
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// fillers are the connections that fill the queue of a listener which accepts one more.
const fillers = 3

// setCut cuts the link or heals it.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case cut && !k.cut:
		k.healed = make(chan struct{})
		k.cut = true
		for range fillers {
			go k.fill(k.healed)
		}
	case !cut && k.cut:
		k.cut = false
		close(k.healed)
	}
}

// fill holds a place in the queue of the listener.
func (k *link) fill(healed <-chan struct{}) {
	c, err := net.DialTimeout("tcp", k.address, minRetransmit)
	if err == nil {
		<-healed
		_ = c.Close()
	}
}

// state reports whether the link is cut, and returns a channel that is closed when it is healed.
func (k *link) state() (cut bool, healed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut, k.healed
}

func (k *link) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer server.Close()
	var group sync.WaitGroup
	group.Go(func() { k.copy(server, client) })
	group.Go(func() { k.copy(client, server) })
	group.Wait()
}

// copy forwards what arrives until the sender closes or resets the connection.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if cut, _ := k.state(); cut && n > 0 {
			var passes bool
			if buffer, n, passes = k.hold(from, buffer[:n]); !passes {
				_, _ = to.Close(), from.Close()
				return
			}
			err = nil // an end is read again
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_, _ = to.Close(), from.Close()
				return
			}
		}
		buffer = buffer[:cap(buffer)]
		switch {
		case errors.Is(err, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // fails if it is closed
			}
			return
		case err != nil:
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// hold returns what is sent during the cut when it arrives. It reports false if the sender has reset
// the connection before.
func (k *link) hold(from net.Conn, first []byte) (data []byte, n int, passes bool) {
	sent, held := time.Now(), append([]byte(nil), first...)
	reset := make(chan bool, 1)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			m, err := from.Read(buffer)
			held = append(held, buffer[:m]...)
			if err != nil {
				reset <- !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded)
				return
			}
		}
	}()
	wait := minRetransmit
	for {
		time.Sleep(time.Until(sent.Add(wait)))
		if cut, _ := k.state(); !cut {
			break
		}
		wait = 2*wait + minRetransmit
	}
	_ = from.SetReadDeadline(time.Now()) // ends the goroutine
	if <-reset {
		return nil, 0, false
	}
	_ = from.SetReadDeadline(time.Time{})
	return held, len(held), true
}
