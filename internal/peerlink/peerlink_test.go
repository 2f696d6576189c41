package peerlink_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/peerlink"
)

const eventuallyTimeout = "30s" // limit for a condition to become true; no spec passes by reaching it

// stoppedClock stands still until it is set.
type stoppedClock struct{ now atomic.Int64 }

func (c *stoppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }
func (c *stoppedClock) Wall() time.Time    { return time.Time{} }

// instance is one side: its peers, and a server on its address that echoes the body.
type instance struct {
	name, address string
	identity      *peerlink.Identity
	peers         *peerlink.Peers
	client        *http.Client
	clock         stoppedClock

	mu       sync.Mutex
	refusals []peerlink.Refusal
	refused  int
}

// newInstance starts an instance on a loopback address. It accepts nobody yet.
func newInstance(name, ip string) *instance {
	i := &instance{name: name}
	i.clock.now.Store(int64(time.Hour))
	var err error
	i.identity, err = peerlink.NewIdentity(rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	i.peers = peerlink.NewPeers(i.identity, peerlink.Options{
		Clock:   &i.clock,
		Counted: func() { i.mu.Lock(); defer i.mu.Unlock(); i.refused++ },
		Refused: func(r peerlink.Refusal) { i.mu.Lock(); defer i.mu.Unlock(); i.refusals = append(i.refusals, r) },
	})
	raw, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	i.address = raw.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
	go func() { _ = server.Serve(i.peers.Listen(raw)) }()
	DeferCleanup(server.Close)
	transport := &http.Transport{DialContext: i.peers.Dial}
	i.client = &http.Client{Transport: transport}
	DeferCleanup(transport.CloseIdleConnections)
	return i
}

func (i *instance) peer() peerlink.Peer {
	return peerlink.Peer{Name: i.name, Address: i.address, Fingerprint: i.identity.Fingerprint()}
}

func (i *instance) refusedCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.refused
}

func (i *instance) reported() []peerlink.Refusal {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]peerlink.Refusal(nil), i.refusals...)
}

// call sends a request to the address and returns the echoed body.
func (i *instance) call(address, body string) (string, error) {
	res, err := i.client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// introduce makes the instances know each other.
func introduce(instances ...*instance) {
	var peers []peerlink.Peer
	for _, i := range instances {
		peers = append(peers, i.peer())
	}
	for _, i := range instances {
		i.peers.Update(peers)
	}
}

// exchange sends the bytes on a connection and returns what comes back until it is closed.
func exchange(c net.Conn, bytes string) string {
	defer c.Close()
	_, _ = c.Write([]byte(bytes)) // the other side may have closed it
	data, _ := io.ReadAll(c)      // a reset ends it as well
	return string(data)
}

const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nsecret"

var _ = Describe("Instances that know each other", func() {
	It("serve each other's requests on kept connections", func() {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a, b)
		for range 3 {
			Expect(a.call(b.address, "one")).To(Equal("one"))
			Expect(b.call(a.address, strings.Repeat("x", 1<<20))).To(HaveLen(1<<20), "more than may be read before the check")
		}
	})

	It("do not connect to an address that none of them has", func() {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a)
		_, err := a.call(b.address, "one")
		Expect(err).To(MatchError(peerlink.ErrUnknownAddress))
	})

	// Guards against requests that may have run according to the caller, but were never read.
	It("learn while they connect that the other side does not know them yet", func() {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a, b)
		restarted := newInstance("a", "127.0.0.1")
		restarted.peers.Update([]peerlink.Peer{b.peer()})
		c, err := restarted.peers.Dial(context.Background(), "tcp", b.address)
		Expect(err).To(HaveOccurred())
		Expect(c).To(BeNil())
		introduce(restarted, b)
		Expect(restarted.call(b.address, "one")).To(Equal("one"))
	})

	It("do not send anything to another process at the address of one", func() {
		a, b, other := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1"), newInstance("c", "127.0.0.1")
		introduce(a, b, other)
		moved := b.peer()
		moved.Address = other.address
		a.peers.Update([]peerlink.Peer{moved})
		_, err := a.call(other.address, "one")
		Expect(err).To(MatchError(peerlink.ErrNotInstance))
	})

	DescribeTable("break open connections", func(update func(a, b *instance)) {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a, b)
		c, err := a.peers.Dial(context.Background(), "tcp", b.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(30 * time.Second))).To(Succeed()) // ends a spec that fails
		update(a, b)
		_, err = io.ReadAll(c)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection has ended")
	},
		Entry("from one that has been removed", func(_, b *instance) { b.peers.Update([]peerlink.Peer{b.peer()}) }),
		Entry("to one that has been removed", func(a, _ *instance) { a.peers.Update([]peerlink.Peer{a.peer()}) }),
		Entry("to one that has restarted", func(a, b *instance) {
			p := b.peer()
			p.Fingerprint = a.peer().Fingerprint
			a.peers.Update([]peerlink.Peer{p})
		}),
	)
})

var _ = Describe("A stranger", func() {
	stranger := func(change func(*tls.Config)) func(address string) string {
		return func(address string) string {
			config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"amaranthfold-peer/1"}, Certificates: []tls.Certificate{newCertificate()}}
			change(config)
			raw, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			return exchange(tls.Client(raw, config), request)
		}
	}
	DescribeTable("gets nothing", func(attempt func(address string) string) {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a, b)
		Expect(attempt(a.address)).To(BeEmpty())
		Eventually(a.refusedCount, eventuallyTimeout).Should(Equal(1))
		Eventually(a.reported, eventuallyTimeout).Should(HaveLen(1))
		Expect(b.call(a.address, "one")).To(Equal("one"), "instances are served on")
	},
		Entry("without TLS", func(address string) string {
			raw, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			return exchange(raw, request)
		}),
		Entry("without a certificate", stranger(func(c *tls.Config) { c.Certificates = nil })),
		Entry("with a key of its own", stranger(func(*tls.Config) {})),
		Entry("with another version of TLS", stranger(func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })),
		Entry("with another protocol", stranger(func(c *tls.Config) { c.NextProtos = nil })),
		Entry("who says nothing", func(address string) string {
			raw, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			return exchange(raw, "")
		}),
		Entry("who stops in the handshake", func(address string) string {
			raw, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			return exchange(raw, "\x16\x03\x01\x02\x00")
		}),
		Entry("who sends more than a handshake", func(address string) string {
			raw, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			// Records of a first message of 65,535 bytes, which TLS would read to the end.
			record := "\x16\x03\x01\x40\x00" + strings.Repeat("\x00", 1<<14)
			return strings.Trim(exchange(raw, "\x16\x03\x01\x00\x04\x01\x00\xff\xff"+strings.Repeat(record, 3)), "\x15\x03\x01\x00\x02P")
		}),
	)

	// Guards against the port being kept busy by connections that never complete a handshake.
	It("who opens many connections does not keep instances out, and each is reported at most once a second", func() {
		a, b := newInstance("a", "127.0.0.1"), newInstance("b", "127.0.0.1")
		introduce(a, b)
		from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
		for range 200 {
			c, err := from.Dial("tcp", a.address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		Expect(b.call(a.address, "one")).To(Equal("one"))
		Eventually(a.refusedCount, eventuallyTimeout).Should(Equal(200))
		Eventually(a.reported, eventuallyTimeout).Should(HaveLen(1), "the clock stands still")
		a.clock.now.Add(int64(time.Second))
		c, err := net.Dial("tcp", a.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(exchange(c, request)).To(BeEmpty())
		Eventually(a.reported, eventuallyTimeout).Should(HaveLen(2))
		Expect(a.reported()[1].Others).To(Equal(199))
	})
})

// newCertificate returns a certificate that no instance has announced.
func newCertificate() tls.Certificate {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
}

var _ = Describe("An instance of a build without keys", func() {
	It("is served and called without TLS, at and from its address only", func() {
		a, keyed := newInstance("a", "127.0.0.1"), newInstance("keyed", "127.0.0.2")
		raw, err := net.Listen("tcp", "127.0.0.3:0")
		Expect(err).NotTo(HaveOccurred())
		old := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte("old " + r.RemoteAddr)) })}
		go func() { _ = old.Serve(raw) }()
		DeferCleanup(old.Close)
		oldPeer := peerlink.Peer{Name: "old", Address: raw.Addr().String()}
		peers := []peerlink.Peer{a.peer(), keyed.peer(), oldPeer}
		a.peers.Update(peers)
		keyed.peers.Update(peers)

		Expect(a.call(oldPeer.Address, "one")).To(HavePrefix("old"))
		Expect(keyed.call(a.address, "one")).To(Equal("one"))
		plainFrom := func(ip string) string {
			c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", a.address)
			Expect(err).NotTo(HaveOccurred())
			return exchange(c, strings.Replace(request, "Host: x", "Host: x\r\nConnection: close", 1))
		}
		Expect(plainFrom("127.0.0.3")).To(HaveSuffix("secret"))
		Expect(plainFrom("127.0.0.2")).To(BeEmpty(), "an instance with a key")
		Expect(plainFrom("127.0.0.4")).To(BeEmpty(), "a stranger")

		open, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 3)}}).Dial("tcp", a.address)
		Expect(err).NotTo(HaveOccurred())
		defer open.Close()
		_, err = open.Write([]byte(request))
		Expect(err).NotTo(HaveOccurred())
		Expect(open.Read(make([]byte, 1))).To(Equal(1))
		oldPeer.Fingerprint = keyed.peer().Fingerprint + "1"
		a.peers.Update([]peerlink.Peer{a.peer(), keyed.peer(), oldPeer})
		Expect(plainFrom("127.0.0.3")).To(BeEmpty(), "upgraded")
		Expect(exchange(open, request)).NotTo(ContainSubstring("secret200"), "its open connection is closed")
		_, err = a.call(oldPeer.Address, "one")
		Expect(err).To(HaveOccurred())
	})
})
