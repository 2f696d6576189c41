package peer_test

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/certs"
	"github.com/amaranthfold/amaranthfold/internal/certs/certtest"
	"github.com/amaranthfold/amaranthfold/internal/listener"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// echo answers every call with the sender's id.
type echo struct{}

func (echo) Handle(_ context.Context, from peer.Session, _ peer.Kind, _ []byte) (any, error) {
	return from.ID, nil
}

func (echo) SessionEnded(peer.Session) {}

var _ = Describe("Mutual TLS between instances", func() {
	var (
		authority *certtest.CA
		address   string
	)
	BeforeEach(func() {
		var err error
		authority, err = certtest.NewCA(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Issue("server")
		Expect(err).NotTo(HaveOccurred())
		l, err := listener.Open(listener.Config{Address: "127.0.0.1:0", TLS: files})
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- peer.NewServer("d", echo{}, nil).Serve(ctx, l.NetListener()) }()
		DeferCleanup(func() {
			cancel()
			Expect(<-done).To(Succeed())
		})
	})

	call := func(id string, dial peer.Dialer) (string, error) {
		pool := peer.NewPool(peer.Hello{ID: id, Deployment: "d"}, nil)
		defer pool.Close()
		pool.UseDialer(dial)
		var answer string
		err := pool.Call(context.Background(), address, peer.KindTrainer, "hello", &answer)
		return answer, err
	}
	dialAs := func(a *certtest.CA, name string) peer.Dialer {
		files, err := a.Issue(name)
		Expect(err).NotTo(HaveOccurred())
		pair, err := certs.Load(certs.Files{Certificate: files.Certificate, Key: files.Key, CA: authority.Path()})
		Expect(err).NotTo(HaveOccurred())
		return peer.DialTLS(pair.ClientConfig)
	}

	It("serves a peer with a certificate of its own name", func() {
		Expect(call("entry-1", dialAs(authority, "entry-1"))).To(Equal("entry-1"))
	})
	DescribeTable("refuses",
		func(dial func() peer.Dialer) {
			_, err := call("entry-1", dial())
			Expect(err).To(HaveOccurred())
		},
		Entry("a peer with another instance's certificate", func() peer.Dialer { return dialAs(authority, "entry-2") }),
		Entry("a peer without TLS", func() peer.Dialer { return peer.DialPlain }),
		Entry("a certificate of another authority", func() peer.Dialer {
			other, err := certtest.NewCA(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			return dialAs(other, "entry-1")
		}),
	)

	It("does not wait for a peer that never completes its handshake", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(call("entry-1", dialAs(authority, "entry-1"))).To(Equal("entry-1"))
	})
})
