package control

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/list"
	"github.com/amaranthfold/amaranthfold/internal/standin/logstore"
)

const (
	testKeep   = 1000 // records; the smallest that validates
	testConfig = "deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: shop}]\n" +
		"control: {leaseTerm: 1500ms, driftMargin: 100ms, heartbeat: 100ms, orderFlight: 100ms, freshFor: 2s, logKeep: 1000}\n"
)

// gatedLog is one instance's way to the log, which a test can cut.
type gatedLog struct {
	*platform.Log
	cut   atomic.Bool
	hangs atomic.Bool
	reads atomic.Int64
}

func (g *gatedLog) Append(ctx context.Context, records [][]byte) ([]int64, error) {
	if g.cut.Load() {
		return nil, platform.ErrUnavailable
	}
	return g.Log.Append(ctx, records)
}

func (g *gatedLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.ReadReply, error) {
	g.reads.Add(1)
	if g.cut.Load() {
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	if g.hangs.Load() {
		<-ctx.Done()
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	return g.Log.Read(ctx, from, limit, wait)
}

// bench is a log, a list and instances' control loops over real sockets.
type bench struct {
	store  *logstore.Store
	logURL string
	list   *list.List
	lists  *standin.Server
	logs   *standin.Server
	nodes  map[string]*node
	count  int
	sent   atomic.Int64 // bytes between instances
}

// countedConn counts what is written.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (b *bench) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := peer.DialPlain(ctx, address)
	return countedConn{conn, &b.sent}, err
}

// node is one instance's control loop.
type node struct {
	*Loop
	log  *gatedLog
	stop func()
}

func newBench() *bench {
	b := openBench(testKeep)
	DeferCleanup(b.close)
	return b
}

func openBench(keep int) *bench {
	b := &bench{store: logstore.New(logstore.Config{MaxRecords: keep}), list: list.New(0), nodes: map[string]*node{}}
	logs, err := standin.Serve(b.store.Handler())
	Expect(err).NotTo(HaveOccurred())
	b.logURL = logs.URL
	b.lists, err = standin.Serve(b.list.Handler())
	Expect(err).NotTo(HaveOccurred())
	b.logs = logs
	return b
}

func (b *bench) close() {
	for _, n := range b.nodes {
		n.stop()
	}
	b.logs.Close()
	b.lists.Close()
}

// handler serves the calls that control answers.
type handler struct{ loop *Loop }

func (h handler) Handle(ctx context.Context, from peer.Session, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindHeartbeat:
		beat, err := peer.Decode[Heartbeat](body)
		if err == nil {
			h.loop.HandleHeartbeat(ctx, from, beat)
		}
		return nil, err
	case peer.KindTargets:
		return h.loop.HandleTargets(body)
	case peer.KindRecords:
		return h.loop.HandleRecords(ctx, body)
	case peer.KindState:
		return h.loop.HandleState(ctx, body)
	default:
		return nil, fmt.Errorf("kind %d", kind)
	}
}
func (handler) SessionEnded(peer.Session) {}

// start runs one more instance.
func (b *bench) start(cut bool) *node {
	b.count++
	id := fmt.Sprint("entry-", b.count)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := member.Peer{ID: id, Incarnation: int64(b.count), DataCentre: "north", Address: listener.Addr().String()}
	pool := peer.NewPool(peer.Hello{ID: id, Incarnation: self.Incarnation, Deployment: "site"}, nil)
	pool.UseDialer(b.dial)
	n := &node{log: &gatedLog{Log: platform.NewLog(b.logURL)}}
	n.log.cut.Store(cut)
	n.Loop = New(Options{
		Self: self, Deployment: "site", Clock: clock.System{}, Log: n.log, List: platform.NewInstanceList(b.lists.URL),
		Orders: func(dc string) *platform.Orders { return platform.NewOrders(b.lists.URL, dc) },
		Peers:  pool, Events: events.New(id, nil, time.Now),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = n.Run(ctx); done <- struct{}{} }()
	go func() {
		_ = peer.NewServer("site", handler{n.Loop}, nil).Serve(ctx, listener)
		done <- struct{}{}
	}()
	b.list.Set(platform.ListedInstance{ID: id, Incarnation: self.Incarnation, DataCentre: "north", Address: self.Address, State: platform.InstanceLive})
	n.stop = func() {
		delete(b.nodes, id)
		b.list.Remove(id)
		cancel()
		pool.Close()
		<-done
		<-done
	}
	b.nodes[id] = n
	return n
}

func (b *bench) configure(n *node) record.Offset {
	res, err := n.Append(context.Background(), n.Snapshot().ConfigOffset, record.Config{YAML: []byte(testConfig)})
	Expect(err).NotTo(HaveOccurred())
	return res.Offset
}

// pass appends records until the log has trimmed its first n.
func (b *bench) pass(n int64) {
	for {
		first, _ := b.store.Records()
		if first > n {
			return
		}
		var batch [][]byte
		for range 100 {
			data, err := record.Encode(uuid.New(), "x", 0, record.UsageSent{Window: 1})
			Expect(err).NotTo(HaveOccurred())
			batch = append(batch, data)
		}
		_, err := platform.NewLog(b.logURL).Append(context.Background(), batch)
		Expect(err).NotTo(HaveOccurred())
		// The instances keep up, as they do at the log's real rate.
		_, kept := b.store.Records()
		end := record.Offset(first) + record.Offset(len(kept)) - 1
		for _, node := range b.nodes {
			if !node.log.cut.Load() {
				Eventually(func() record.Offset { return node.Snapshot().Offset }, "30s").Should(BeNumerically(">=", end))
			}
		}
	}
}

func inForce(n *node) func() record.Offset {
	return func() record.Offset { return n.Snapshot().ConfigOffset }
}

func happened(n *node, name string) func() bool {
	return func() bool {
		for _, e := range n.Events.Since(0).Events {
			if e.Name == name {
				return true
			}
		}
		return false
	}
}

var _ = Describe("Following the log", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("keeps the configuration when retention passes and every instance is replaced", func() {
		old := []*node{b.start(false), b.start(false)}
		at := b.configure(old[0])
		for _, n := range old {
			Eventually(inForce(n), "30s").Should(Equal(at))
		}
		for _, n := range old {
			first, _ := b.store.Records()
			b.pass(first + testKeep)
			replacement := b.start(false)
			Eventually(inForce(replacement), "30s").Should(Equal(at))
			n.stop()
		}
		for _, n := range b.nodes {
			Expect(happened(n, "joined from a state")()).To(BeTrue())
			Expect(n.Snapshot().ConfigOffset).To(Equal(at))
		}
	})

	It("serves nothing when neither the log nor a peer has a state", func() {
		b.pass(1)
		n := b.start(false)
		Eventually(happened(n, "no state to join from"), "30s").Should(BeTrue())
		Expect(n.Snapshot().Config).To(BeNil())
		Expect(n.Snapshot().Offset).To(BeZero())
	})

	It("joins from a peer while the log is down, and is not fresh", func() {
		old := b.start(false)
		at := b.configure(old)
		Eventually(inForce(old), "30s").Should(Equal(at))
		b.store.SetDown(true)
		n := b.start(false)
		Eventually(inForce(n), "30s").Should(Equal(at))
		Eventually(func() bool { return n.Snapshot().Fresh(n.Clock.Now(), 2*time.Second) }, "30s").Should(BeFalse())
	})

	It("refuses the state of a peer that is older than what the log keeps", func() {
		lagging := b.start(false)
		b.configure(lagging)
		Eventually(func() bool { return lagging.Snapshot().Config != nil }, "30s").Should(BeTrue())
		lagging.log.cut.Store(true)
		Eventually(happened(lagging, "log read failed"), "30s").Should(BeTrue())
		b.pass(lastOffset(lagging) + 1)
		n := b.start(false)
		Eventually(happened(n, "no state to join from"), "30s").Should(BeTrue())
		Expect(n.Snapshot().Config).To(BeNil())
	})

	It("follows the log through a peer while cut off from it, and stays fresh", func() {
		reader, cut := b.start(false), b.start(false)
		at := b.configure(reader)
		Eventually(inForce(cut), "30s").Should(Equal(at))
		Eventually(func() int { return len(cut.Snapshot().Peers) }, "30s").Should(Equal(1))
		cut.log.cut.Store(true)
		next := b.configure(reader)
		Eventually(inForce(cut), "30s").Should(Equal(next))
		began := cut.Clock.Now()
		Eventually(func() time.Duration { return cut.Snapshot().FreshAt }, "30s").Should(BeNumerically(">", began))
	})
})

var _ = Describe("A log that hangs for one instance", func() {
	It("does not hold up what its peers know", func() {
		b := newBench()
		reader, hung := b.start(false), b.start(false)
		at := b.configure(reader)
		Eventually(inForce(hung), "30s").Should(Equal(at))
		Eventually(func() int { return len(hung.Snapshot().Peers) }, "30s").Should(Equal(1))
		hung.log.hangs.Store(true)
		reads, proofs, last := hung.log.reads.Load(), 0, hung.Snapshot().FreshAt
		Eventually(func() int {
			if at := hung.Snapshot().FreshAt; at > last {
				last = at
				proofs++
			}
			return proofs
		}, "60s", "5ms").Should(BeNumerically(">=", 4))
		Expect(hung.log.reads.Load()-reads).To(BeNumerically("<=", 3), "half of the proofs come without asking the log")
	})
})

func lastOffset(n *node) int64 { return int64(n.Snapshot().Offset) }

// corruptState changes a control loop's state behind its back.
type corruptState struct{ change func(l *Loop) }

func (m corruptState) handle(l *Loop) { m.change(l) }

var _ = Describe("Digests", func() {
	It("stops the control roles of the one instance that differs, which then joins again", func() {
		b := newBench()
		nodes := []*node{b.start(false), b.start(false), b.start(false)}
		at := b.configure(nodes[0])
		for _, n := range nodes {
			Eventually(inForce(n), "30s").Should(Equal(at))
			Eventually(func() int { return len(n.Snapshot().Peers) }, "30s").Should(Equal(2))
		}
		b.pass(1) // so that a checkpoint is in the log
		bad := nodes[1]
		bad.post(context.Background(), corruptState{func(l *Loop) { l.state.HashChain[0] ^= 1 }})
		Eventually(happened(bad, "control halted"), "30s").Should(BeTrue())
		Eventually(happened(bad, "joined from a state"), "30s").Should(BeTrue())
		Eventually(func() string { return bad.Snapshot().Halted }, "30s").Should(BeEmpty())
		Expect(happened(nodes[0], "control halted")()).To(BeFalse())
		Expect(happened(nodes[2], "control halted")()).To(BeFalse())
	})

	DescribeTable("majority", func(agree, differ, unknown int, lost bool) {
		a := newAgreement()
		var live []string
		for i := range agree + differ + unknown {
			live = append(live, fmt.Sprint(i))
			if i < agree+differ {
				a.matches[fmt.Sprint(i)] = i < agree
			}
		}
		Expect(a.lacksMajority(live)).To(Equal(lost))
	},
		Entry("alone", 0, 0, 0, false), Entry("one of two", 0, 1, 0, true),
		Entry("one peer differs, one agrees", 1, 1, 0, false), Entry("one of three", 0, 2, 0, true),
		Entry("one peer differs, one is not compared yet", 0, 1, 1, false),
		Entry("half of four", 1, 2, 0, true), Entry("most agree", 10, 2, 0, false),
	)
})

var _ = Describe("Newer records", func() {
	It("halt the control roles of a build that cannot read them", func() {
		b := newBench()
		n := b.start(false)
		at := b.configure(n)
		Eventually(func() bool { _, held := n.Held(DeploymentLease, 0); return held }, "30s").Should(BeTrue())
		n.post(context.Background(), corruptState{func(l *Loop) { l.state.Format = 2 }})
		data, err := record.Marshal(record.Envelope{ID: uuid.New(), Kind: record.KindKeyWithdraw, Version: 2, Body: []byte{0xa0}})
		Expect(err).NotTo(HaveOccurred())
		_, err = platform.NewLog(b.logURL).Append(context.Background(), [][]byte{data})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return n.Snapshot().Halted }, "30s").Should(Equal(haltFormat))
		_, held := n.Held(DeploymentLease, 0)
		Expect(held).To(BeFalse())
		Expect(n.Snapshot().ConfigOffset).To(Equal(at))
		Eventually(func() bool { return n.Snapshot().Fresh(n.Clock.Now(), 2*time.Second) }, "30s").Should(BeFalse())
	})
})

var _ = Describe("Hand-over", func() {
	It("releases the lease, and another instance takes it", func() {
		b := newBench()
		nodes := []*node{b.start(false), b.start(false)}
		b.configure(nodes[0])
		var holder *node
		Eventually(func() *node { holder = b.holderOf(); return holder }, "30s").ShouldNot(BeNil())
		term := holder.Snapshot().Leases[DeploymentLease].Term
		holder.ReleaseLeases(context.Background())
		other := nodes[0]
		if other == holder {
			other = nodes[1]
		}
		Eventually(func() bool { _, held := other.Held(DeploymentLease, 0); return held }, "30s").Should(BeTrue())
		Expect(happened(other, "lease released")()).To(BeTrue())
		guard, _ := other.Held(DeploymentLease, 0)
		Expect(guard.Fencing).To(BeNumerically(">", term))
		_, held := holder.Held(DeploymentLease, 0)
		Expect(held).To(BeFalse())
	})
})
