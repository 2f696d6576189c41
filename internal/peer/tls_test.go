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

// echoHandler replies to every call with the sender's id.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, from peer.Session, _ peer.Kind, _ []byte) (any, error) {
	return from.ID, nil
}

func (echoHandler) SessionEnded(peer.Session) {}

var _ = Describe("Mutual TLS between instances", func() {
	var (
		ca      *certtest.CA
		address string
	)
	BeforeEach(func() {
		var err error
		ca, err = certtest.NewCA(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		files, err := ca.Issue("server")
		Expect(err).NotTo(HaveOccurred())
		l, err := listener.Open(listener.Config{Address: "127.0.0.1:0", TLS: files})
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- peer.NewServer("d", echoHandler{}, nil).Serve(ctx, l.NetListener()) }()
		DeferCleanup(func() {
			cancel()
			Expect(<-done).To(Succeed())
		})
	})

	call := func(id string, dial peer.Dialer) (string, error) {
		pool := peer.NewPool(peer.Hello{ID: id, Deployment: "d"}, nil)
		defer pool.Close()
		pool.UseDialer(dial)
		var reply string
		err := pool.Call(context.Background(), address, peer.KindTrainer, "hello", &reply)
		return reply, err
	}
	dialAs := func(a *certtest.CA, name string) peer.Dialer {
		files, err := a.Issue(name)
		Expect(err).NotTo(HaveOccurred())
		credentials, err := certs.Load(certs.Files{Certificate: files.Certificate, Key: files.Key, CA: ca.Path()})
		Expect(err).NotTo(HaveOccurred())
		return peer.DialTLS(credentials.ClientConfig)
	}

	It("serves a peer whose certificate has its instance id", func() {
		Expect(call("entry-1", dialAs(ca, "entry-1"))).To(Equal("entry-1"))
	})
	DescribeTable("refuses",
		func(dial func() peer.Dialer) {
			_, err := call("entry-1", dial())
			Expect(err).To(HaveOccurred())
		},
		Entry("a peer with another instance's certificate", func() peer.Dialer { return dialAs(ca, "entry-2") }),
		Entry("a peer whose certificate has no name", func() peer.Dialer { return dialAs(ca, "") }),
		Entry("a peer without TLS", func() peer.Dialer { return peer.DialPlain }),
		Entry("a peer with a certificate of another CA", func() peer.Dialer {
			otherCA, err := certtest.NewCA(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			return dialAs(otherCA, "entry-1")
		}),
	)

	It("serves a peer while another one does not complete its handshake", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(call("entry-1", dialAs(ca, "entry-1"))).To(Equal("entry-1"))
	})
})
