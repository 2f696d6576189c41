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

// holding answers calls once it is told to.
type holding struct{ release chan struct{} }

func (h holding) Handle(ctx context.Context, _ Session, _ Kind, _ []byte) (any, error) {
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return "done", nil
}
func (holding) SessionEnded(Session) {}

func serve(h Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer("d", h, nil).Serve(ctx, l) }()
	DeferCleanup(func() { cancel(); Expect(<-done).To(Succeed()) })
	return l.Addr().String()
}

func open() holding {
	h := holding{make(chan struct{})}
	close(h.release)
	return h
}

var _ = Describe("A server with hostile peers", func() {
	answers := func(address string) {
		pool := NewPool(Hello{ID: "a", Deployment: "d"}, nil)
		defer pool.Close()
		var out string
		Expect(pool.Call(context.Background(), address, KindTrainer, "x", &out)).To(Succeed())
	}

	DescribeTable("ends their connection and serves others", func(data []byte) {
		address := serve(open())
		raw, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer raw.Close()
		_, _ = raw.Write(data) // the server may have closed it already
		answers(address)
	},
		Entry("noise", bytes.Repeat([]byte{0xff, 0x13, 0x00}, 1000)),
		Entry("a frame that claims to be huge", append([]byte{0x05, 0x01, 0x01}, binary.AppendUvarint(nil, 1<<40)...)),
		Entry("nothing", []byte{}),
	)

	It("closes a connection that does not introduce itself", func() {
		client, server := net.Pipe()
		defer client.Close()
		_, stop := withHelloTimeout(context.Background(), server, time.Millisecond)
		defer stop()
		_, err := client.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("refuses calls above a session's limit and answers the others", func() {
		h := holding{make(chan struct{})}
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
	It("keeps nothing of addresses that are gone", func() {
		pool := NewPool(Hello{ID: "a", Deployment: "d"}, nil)
		defer pool.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		Expect(pool.Send(context.Background(), gone, KindTrainer, "x")).To(MatchError(ErrUnreachable))
		Eventually(pool.Sessions, "30s").Should(BeZero())
	})

	It("breaks a session whose peer does not read", func() {
		client, server := net.Pipe()
		defer server.Close()
		Expect(client.SetWriteDeadline(time.Now())).To(Succeed())
		go func() { time.Sleep(2 * sendTimeout); _ = server.Close() }()
		_, err := withTimeouts(client).Write([]byte("x"))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})
})

// FuzzFrame decodes what a hostile peer may send.
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
		again, err := newFrame(fr.Kind, hello)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode[Hello](again.Body); err != nil || got != hello {
			t.Fatalf("%+v became %+v: %v", hello, got, err)
		}
	})
}
