package listener_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/internal/certs"
	"github.com/amaranthfold/amaranthfold/internal/certs/certtest"
	"github.com/amaranthfold/amaranthfold/internal/listener"
)

func startListener(cfg listener.Config, report func(error)) *listener.Listener {
	cfg.Address = "127.0.0.1:0"
	l, err := listener.Open(cfg)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	l.Serve(ctx, g, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), report)
	DeferCleanup(func() {
		cancel()
		Expect(g.Wait()).To(Succeed())
	})
	return l
}

var _ = Describe("Listener", func() {
	DescribeTable("rejects malformed HTTP",
		func(request, status string) {
			l := startListener(listener.Config{}, nil)
			conn, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, request) }()
			line, err := bufio.NewReader(conn).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(ContainSubstring(status))
		},
		Entry("noise", "\x00\x01\x02\r\n\r\n", "400"),
		Entry("no Host header", "GET / HTTP/1.1\r\n\r\n", "400"),
		Entry("two Content-Length headers", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"),
		Entry("header over the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("a", 128<<10)+"\r\n\r\n", "431"),
		Entry("unknown HTTP version", "GET / HTTP/9.9\r\nHost: a\r\n\r\n", "505"),
	)

	It("times out a body that does not arrive, and sets no deadline for the response to a complete one", func() {
		const bodyTimeout = 50 * time.Millisecond
		results := make(chan error, 2)
		l, err := listener.Open(listener.Config{Address: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g, ctx := errgroup.WithContext(ctx)
		l.Serve(ctx, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := listener.ReadBody(w, r, 100, bodyTimeout)
			if err == nil {
				time.Sleep(4 * bodyTimeout)
				err = r.Context().Err()
			}
			results <- err
		}), nil)
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nab")
		Expect(err).NotTo(HaveOccurred())
		Eventually(results, "30s").Should(Receive(MatchError(os.ErrDeadlineExceeded)))
		res, err := http.Post(l.URL(), "text/plain", strings.NewReader("whole"))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Eventually(results, "30s").Should(Receive(BeNil()), "the body's deadline must not cancel the request")
	})

	Describe("with TLS", func() {
		var ca *certtest.CA
		BeforeEach(func() {
			var err error
			ca, err = certtest.NewCA(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
		})
		// serverSerial returns the serial number of the certificate that l presents. It fails
		// if either side rejects the connection.
		serverSerial := func(l *listener.Listener, client *tls.Config) (string, error) {
			conn, err := tls.Dial("tcp", l.Addr().String(), client)
			if err != nil {
				return "", err
			}
			defer conn.Close()
			// TLS 1.3 reports a rejected client certificate only at the first read.
			_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return "", err
			}
			return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
		}

		It("serves a reloaded certificate without a restart", func() {
			files, err := ca.Issue("entry")
			Expect(err).NotTo(HaveOccurred())
			reloaded := make(chan error, 8)
			l := startListener(listener.Config{TLS: certs.Files{Certificate: files.Certificate, Key: files.Key}}, func(err error) { reloaded <- err })
			roots, err := certs.LoadCAPool(ca.Path())
			Expect(err).NotTo(HaveOccurred())
			before, err := serverSerial(l, &tls.Config{RootCAs: roots})
			Expect(err).NotTo(HaveOccurred())
			_, err = ca.Issue("entry")
			Expect(err).NotTo(HaveOccurred())
			Expect(os.Chtimes(files.Certificate, time.Time{}, time.Now().Add(time.Minute))).To(Succeed())
			Eventually(reloaded, "30s").Should(Receive(BeNil()))
			Expect(serverSerial(l, &tls.Config{RootCAs: roots})).NotTo(Equal(before))
		})

		It("keeps the certificate in use when the new file cannot be loaded", func() {
			files, err := ca.Issue("entry")
			Expect(err).NotTo(HaveOccurred())
			reloaded := make(chan error, 8)
			l := startListener(listener.Config{TLS: certs.Files{Certificate: files.Certificate, Key: files.Key}}, func(err error) { reloaded <- err })
			Expect(os.WriteFile(files.Certificate, []byte("noise"), 0o600)).To(Succeed())
			Expect(os.Chtimes(files.Certificate, time.Time{}, time.Now().Add(time.Minute))).To(Succeed())
			Eventually(reloaded, "30s").Should(Receive(MatchError(ContainSubstring(files.Certificate))))
			roots, err := certs.LoadCAPool(ca.Path())
			Expect(err).NotTo(HaveOccurred())
			Expect(serverSerial(l, &tls.Config{RootCAs: roots})).NotTo(BeEmpty())
		})

		It("requires a client certificate signed by the CA if one is configured", func() {
			files, err := ca.Issue("entry")
			Expect(err).NotTo(HaveOccurred())
			l := startListener(listener.Config{TLS: files}, nil)
			roots, err := certs.LoadCAPool(ca.Path())
			Expect(err).NotTo(HaveOccurred())
			_, err = serverSerial(l, &tls.Config{RootCAs: roots})
			Expect(err).To(HaveOccurred(), "no client certificate")

			otherCA, err := certtest.NewCA(GinkgoT().TempDir())
			Expect(err).NotTo(HaveOccurred())
			foreignFiles, err := otherCA.Issue("entry")
			Expect(err).NotTo(HaveOccurred())
			foreignCertificate, err := tls.LoadX509KeyPair(foreignFiles.Certificate, foreignFiles.Key)
			Expect(err).NotTo(HaveOccurred())
			_, err = serverSerial(l, &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{foreignCertificate}})
			Expect(err).To(HaveOccurred(), "a certificate signed by another CA")

			Expect(serverSerial(l, l.Reloader().ClientConfig())).NotTo(BeEmpty())
		})
	})
})
