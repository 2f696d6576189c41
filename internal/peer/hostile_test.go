package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockingHandler replies to a call once release is closed or the call is cancelled.
type blockingHandler struct{ release chan struct{} }

func (h blockingHandler) Handle(ctx context.Context, _ Session, _ Kind, _ []byte) (any, error) {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return "done", nil
}
func (blockingHandler) SessionEnded(Session) {}

// serve runs a server until the end of the spec and returns its address.
func serve(h Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer("d", h, nil).Serve(ctx, l) }()
	DeferCleanup(func() { cancel(); Expect(<-done).To(Succeed()) })
	return l.Addr().String()
}

// releasedHandler returns a handler that replies at once.
func releasedHandler() blockingHandler {
	h := blockingHandler{make(chan struct{})}
	close(h.release)
	return h
}

var _ = Describe("A peer server with hostile peers", func() {
	expectReply := func(address string) {
		pool := NewPool(Hello{ID: "a", Deployment: "d"}, nil)
		defer pool.Close()
		var out string
		Expect(pool.Call(context.Background(), address, KindTrainer, "x", &out)).To(Succeed())
	}

	DescribeTable("serves other peers after a connection that sends", func(data []byte) {
		address := serve(releasedHandler())
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, _ = raw.Write(data) // the server may have closed it already
		expectReply(address)
	},
		Entry("noise", bytes.Repeat([]byte{0xff, 0x13, 0x00}, 1000)),
		Entry("a frame header with a length of 1 TiB", append([]byte{0x05, 0x01, 0x01}, binary.AppendUvarint(nil, 1<<40)...)),
		Entry("nothing", []byte{}),
	)

	It("refuses calls of an instance of another deployment", func() {
		pool := NewPool(Hello{ID: "a", Deployment: "other"}, nil)
		defer pool.Close()
		var out string
		Expect(pool.Call(context.Background(), serve(releasedHandler()), KindTrainer, "x", &out)).NotTo(Succeed())
		Expect(out).To(BeEmpty())
	})

	It("closes a connection that sends no hello before the timeout", func() {
		client, server := net.Pipe()
		defer client.Close()
		_, stop := withHelloTimeout(context.Background(), server, time.Millisecond)
		defer stop()
		_, err := client.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("refuses calls above a session's limit and replies to the others", func() {
		h := blockingHandler{make(chan struct{})}
		pool := NewPool(Hello{ID: "a", Deployment: "d"}, nil)
		address := serve(h)
		defer pool.Close()
		var wg sync.WaitGroup
		refused, done := make(chan error, maxCalls+1), make(chan string, maxCalls+1)
		for range maxCalls + 1 {
			wg.Go(func() {
				var out string
				if err := pool.Call(context.Background(), address, KindTrainer, "x", &out); err != nil {
					refused <- err
					return
				}
				done <- out
			})
		}
		var err error
		Eventually(refused, "60s").Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring(ErrTooManyCalls.Error())))
		close(h.release)
		wg.Wait()
		Expect(done).To(HaveLen(maxCalls))
	})
})

var _ = Describe("A pool", func() {
	It("removes the session to an unreachable address", func() {
		pool := NewPool(Hello{ID: "a", Deployment: "d"}, nil)
		defer pool.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closedAddress := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		Expect(pool.Send(context.Background(), closedAddress, KindTrainer, "x")).To(MatchError(ErrUnreachable))
		Eventually(pool.Sessions, "30s").Should(BeZero())
	})

	It("uses connections whose writes time out if the peer does not read", func() {
		client, server := net.Pipe()
		defer server.Close()
		Expect(client.SetWriteDeadline(time.Now())).To(Succeed())
		go func() { time.Sleep(2 * sendTimeout); _ = server.Close() }()
		_, err := withTimeouts(client).Write([]byte("x"))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})
})

// FuzzFrame decodes arbitrary bytes as a frame with a Hello, and checks that a decoded
// Hello is equal after encoding and decoding it again.
func FuzzFrame(f *testing.F) {
	valid, err := newFrame(KindHello, Hello{ID: "a", Deployment: "d"})
	if err != nil {
		f.Fatal(err)
	}
	data, err := codec{}.Marshal(valid)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var fr frame
		if (codec{}).Unmarshal(data, &fr) != nil {
			return
		}
		hello, err := Decode[Hello](fr.Body)
		if err != nil {
			return
		}
		reencoded, err := newFrame(fr.Kind, hello)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode[Hello](reencoded.Body); err != nil || got != hello {
			t.Fatalf("hello %+v decoded as %+v after encoding: %v", hello, got, err)
		}
	})
}
