package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// plainTarget is a target of a plain service: it serves slots requests at once, queues some more and
// refuses the others with 503 and Not-Executed.
type plainTarget struct {
	env      *env
	id, zone string
	service  string
	address  string
	slots    int
	queue    int // requests that wait for a slot
	work     func() time.Duration
	// copyShare is the share of answers, in parts of a million, of which a second copy is sent at the
	// point where the next answer on the connection is expected.
	copyShare atomic.Int64

	slot    chan struct{}
	present atomic.Int64 // requests that run or wait
	copies  atomic.Int64 // that were sent

	mu   sync.Mutex
	runs map[string]int // by request id
}

func (e *env) newPlainTarget(service, zone string, slots, queue int, work func() time.Duration) (*plainTarget, error) {
	l, err := e.listen()
	if err != nil {
		return nil, err
	}
	t := &plainTarget{
		env: e, id: "i-" + newID()[:8], zone: zone, service: service, address: l.Addr().String(),
		slots: slots, queue: queue, work: work, slot: make(chan struct{}, slots), runs: map[string]int{},
	}
	go t.accept(l)
	go t.register()
	return t, nil
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it does not fail
	return hex.EncodeToString(b[:])
}

// register writes the entry of the target at each heartbeat interval.
func (t *plainTarget) register() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		t.env.store.Put("keyed.servers", t.id, map[string]any{
			"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots,
			"state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

func (t *plainTarget) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // it is closed
		}
		go t.serve(c)
	}
}

// serve serves the requests of a connection, one at a time.
func (t *plainTarget) serve(c net.Conn) {
	defer c.Close()
	open, closed := context.WithCancel(context.Background())
	defer closed()
	requests := make(chan *http.Request)
	go func() {
		defer closed()
		readRequests(open, c, requests)
	}()
	var late []byte // second copy of the answer before
	for {
		var req *http.Request
		select {
		case req = <-requests:
		case <-open.Done():
			return
		}
		id := req.Header.Get("Request-Id")
		if late != nil {
			t.env.rec.printf("%s sends a second copy of its last answer ahead of the answer to %s: %.40q", t.id, id, late)
			t.copies.Add(1)
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		answer := t.answer(open, req, id)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		late = nil
		if mrand.Int64N(1e6) < t.copyShare.Load() {
			late = answer
		}
	}
}

// readRequests reads the requests of a connection until it is closed or ctx ends.
func readRequests(ctx context.Context, c net.Conn, requests chan<- *http.Request) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		select {
		case requests <- req:
		case <-ctx.Done():
			return
		}
	}
}

// answer runs or refuses a request and returns the answer, nil if the connection was closed
// meanwhile.
func (t *plainTarget) answer(open context.Context, req *http.Request, id string) []byte {
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != t.id {
		return response(http.StatusMisdirectedRequest, id, "Instance-Id: "+t.id+"\r\n", "another server")
	}
	if req.URL.Path == "/health" {
		return response(http.StatusOK, id, "Instance-Id: "+t.id+"\r\n", "")
	}
	if t.present.Add(1) > int64(t.slots+t.queue) {
		t.present.Add(-1)
		t.env.rec.printf("%s refuses %s with 503 and Not-Executed", t.id, id)
		return response(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", "full")
	}
	defer t.present.Add(-1)
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	case <-open.Done():
		return nil
	}
	t.mu.Lock()
	t.runs[id]++
	run := t.runs[id]
	t.mu.Unlock()
	t.env.rec.printf("%s runs %s, run %d here", t.id, id, run)
	select {
	case <-time.After(t.work()):
	case <-open.Done():
		t.env.rec.printf("%s drops %s, as its connection was closed", t.id, id)
		return nil
	}
	return response(http.StatusOK, id, "Server-Stamp: "+t.id+"."+newID()+"\r\n", "done "+id)
}

func response(status int, id, header, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return b.Bytes()
}

// runCounts returns how often each request has run at the targets together.
func runCounts(targets []*plainTarget) map[string]int {
	out := map[string]int{}
	for _, t := range targets {
		t.mu.Lock()
		for id, n := range t.runs {
			out[id] += n
		}
		t.mu.Unlock()
	}
	return out
}
