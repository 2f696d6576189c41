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
	testLogKeep = 1000 // records; the smallest value that the configuration accepts
	testConfig  = "deployment: site\ndataCentres: [{name: north}]\ncost: {limitPerHour: 1}\naccounts: [{name: shop}]\n" +
		"control: {leaseTerm: 1500ms, driftMargin: 100ms, heartbeat: 100ms, orderFlight: 100ms, freshFor: 2s, logKeep: 1000}\n"
)

// faultyLog is one instance's client of the log, whose calls a test can make fail or hang.
type faultyLog struct {
	*platform.Log
	fails atomic.Bool // appends and reads fail
	hangs atomic.Bool // reads time out
	reads atomic.Int64
}

func (g *faultyLog) Append(ctx context.Context, records [][]byte) ([]int64, error) {
	if g.fails.Load() {
		return nil, platform.ErrUnavailable
	}
	return g.Log.Append(ctx, records)
}

func (g *faultyLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.ReadReply, error) {
	g.reads.Add(1)
	if g.fails.Load() {
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	if g.hangs.Load() {
		<-ctx.Done()
		return platform.ReadReply{}, platform.ErrUnavailable
	}
	return g.Log.Read(ctx, from, limit, wait)
}

// fixture holds a log, a list of instances and the instances' control loops, connected
// over real sockets.
type fixture struct {
	store      *logstore.Store
	logURL     string
	list       *list.List
	listServer *standin.Server
	logServer  *standin.Server
	instances  map[string]*instance
	started    int
	sentBytes  atomic.Int64 // bytes sent between instances
}

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (f *fixture) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := peer.DialPlain(ctx, address)
	return countingConn{conn, &f.sentBytes}, err
}

// instance is one instance's control loop.
type instance struct {
	*Loop
	log  *faultyLog
	stop func()
}

func newFixture() *fixture {
	f := openFixture(testLogKeep)
	DeferCleanup(f.close)
	return f
}

func openFixture(maxRecords int) *fixture {
	f := &fixture{store: logstore.New(logstore.Config{MaxRecords: maxRecords}), list: list.New(0), instances: map[string]*instance{}}
	logServer, err := standin.Serve(f.store.Handler())
	Expect(err).NotTo(HaveOccurred())
	f.logURL = logServer.URL
	f.listServer, err = standin.Serve(f.list.Handler())
	Expect(err).NotTo(HaveOccurred())
	f.logServer = logServer
	return f
}

func (f *fixture) close() {
	for _, n := range f.instances {
		n.stop()
	}
	f.logServer.Close()
	f.listServer.Close()
}

// handler serves peers' calls to the control loop.
type handler struct{ loop *Loop }

func (h handler) Handle(ctx context.Context, from peer.Session, kind peer.Kind, body []byte) (any, error) {
	switch kind {
	case peer.KindHeartbeat:
		heartbeat, err := peer.Decode[Heartbeat](body)
		if err == nil {
			h.loop.HandleHeartbeat(ctx, from, heartbeat)
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

// start starts another instance. Its log client fails if logFails is set.
func (f *fixture) start(logFails bool) *instance {
	f.started++
	id := fmt.Sprint("entry-", f.started)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := member.Peer{ID: id, Incarnation: int64(f.started), DataCentre: "north", Address: listener.Addr().String()}
	pool := peer.NewPool(peer.Hello{ID: id, Incarnation: self.Incarnation, Deployment: "site"}, nil)
	pool.UseDialer(f.dial)
	n := &instance{log: &faultyLog{Log: platform.NewLog(f.logURL)}}
	n.log.fails.Store(logFails)
	n.Loop = New(Options{
		Self: self, Deployment: "site", Clock: clock.System{}, Log: n.log, List: platform.NewInstanceList(f.listServer.URL),
		Orders: func(dc string) *platform.Orders { return platform.NewOrders(f.listServer.URL, dc) },
		Peers:  pool, Events: events.New(id, nil, time.Now),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = n.Run(ctx); done <- struct{}{} }()
	go func() {
		_ = peer.NewServer("site", handler{n.Loop}, nil).Serve(ctx, listener)
		done <- struct{}{}
	}()
	f.list.Set(platform.ListedInstance{ID: id, Incarnation: self.Incarnation, DataCentre: "north", Address: self.Address, State: platform.InstanceLive})
	n.stop = func() {
		delete(f.instances, id)
		f.list.Remove(id)
		cancel()
		pool.Close()
		<-done
		<-done
	}
	f.instances[id] = n
	return n
}

func (f *fixture) configure(n *instance) record.Offset {
	res, err := n.Append(context.Background(), n.Snapshot().ConfigOffset, record.Config{YAML: []byte(testConfig)})
	Expect(err).NotTo(HaveOccurred())
	return res.Offset
}

// trimLog appends records until the log has trimmed the first n.
func (f *fixture) trimLog(n int64) {
	for {
		first, _ := f.store.Records()
		if first > n {
			return
		}
		var batch [][]byte
		for range 100 {
			data, err := record.Encode(uuid.New(), "x", 0, record.UsageSent{Window: 1})
			Expect(err).NotTo(HaveOccurred())
			batch = append(batch, data)
		}
		_, err := platform.NewLog(f.logURL).Append(context.Background(), batch)
		Expect(err).NotTo(HaveOccurred())
		// Wait until the instances have applied the records: at the rate of appends of a real
		// log they keep up.
		_, kept := f.store.Records()
		end := record.Offset(first) + record.Offset(len(kept)) - 1
		for _, inst := range f.instances {
			if !inst.log.fails.Load() {
				Eventually(func() record.Offset { return inst.Snapshot().Offset }, "30s").Should(BeNumerically(">=", end))
			}
		}
	}
}

func configOffset(n *instance) func() record.Offset {
	return func() record.Offset { return n.Snapshot().ConfigOffset }
}

func hasEvent(n *instance, name string) func() bool {
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
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("keeps the configuration when the log is trimmed and every instance is replaced", func() {
		old := []*instance{f.start(false), f.start(false)}
		at := f.configure(old[0])
		for _, n := range old {
			Eventually(configOffset(n), "30s").Should(Equal(at))
		}
		for _, n := range old {
			first, _ := f.store.Records()
			f.trimLog(first + testLogKeep)
			replacement := f.start(false)
			Eventually(configOffset(replacement), "30s").Should(Equal(at))
			n.stop()
		}
		for _, n := range f.instances {
			Expect(hasEvent(n, "joined from a state")()).To(BeTrue())
			Expect(n.Snapshot().ConfigOffset).To(Equal(at))
		}
	})

	It("leaves an instance without a state when neither the log nor a peer has one", func() {
		f.trimLog(1)
		n := f.start(false)
		Eventually(hasEvent(n, "no state to join from"), "30s").Should(BeTrue())
		Expect(n.Snapshot().Config).To(BeNil())
		Expect(n.Snapshot().Offset).To(BeZero())
	})

	It("restores its state from a peer while the log is down, and is not fresh", func() {
		old := f.start(false)
		at := f.configure(old)
		Eventually(configOffset(old), "30s").Should(Equal(at))
		f.store.SetDown(true)
		n := f.start(false)
		Eventually(configOffset(n), "30s").Should(Equal(at))
		Eventually(func() bool { return n.Snapshot().Fresh(n.Clock.Now(), 2*time.Second) }, "30s").Should(BeFalse())
	})

	It("rejects a peer's state that is older than the log's first kept record", func() {
		lagging := f.start(false)
		f.configure(lagging)
		Eventually(func() bool { return lagging.Snapshot().Config != nil }, "30s").Should(BeTrue())
		lagging.log.fails.Store(true)
		Eventually(hasEvent(lagging, "log read failed"), "30s").Should(BeTrue())
		f.trimLog(lastOffset(lagging) + 1)
		n := f.start(false)
		Eventually(hasEvent(n, "no state to join from"), "30s").Should(BeTrue())
		Expect(n.Snapshot().Config).To(BeNil())
	})

	It("follows the log through a peer while the log is unreachable, and stays fresh", func() {
		reader, isolated := f.start(false), f.start(false)
		at := f.configure(reader)
		Eventually(configOffset(isolated), "30s").Should(Equal(at))
		Eventually(func() int { return len(isolated.Snapshot().Peers) }, "30s").Should(Equal(1))
		isolated.log.fails.Store(true)
		next := f.configure(reader)
		Eventually(configOffset(isolated), "30s").Should(Equal(next))
		failedAt := isolated.Clock.Now()
		Eventually(func() time.Duration { return isolated.Snapshot().FreshAt }, "30s").Should(BeNumerically(">", failedAt))
	})
})

var _ = Describe("A log that hangs for one instance", func() {
	It("does not delay the records that the instance fetches from peers", func() {
		f := newFixture()
		reader, hung := f.start(false), f.start(false)
		at := f.configure(reader)
		Eventually(configOffset(hung), "30s").Should(Equal(at))
		Eventually(func() int { return len(hung.Snapshot().Peers) }, "30s").Should(Equal(1))
		hung.log.hangs.Store(true)
		reads, confirmations, last := hung.log.reads.Load(), 0, hung.Snapshot().FreshAt
		Eventually(func() int {
			if at := hung.Snapshot().FreshAt; at > last {
				last = at
				confirmations++
			}
			return confirmations
		}, "60s", "5ms").Should(BeNumerically(">=", 4))
		Expect(hung.log.reads.Load()-reads).To(BeNumerically("<=", 3), "half of the confirmations come without a read of the log")
	})
})

func lastOffset(n *instance) int64 { return int64(n.Snapshot().Offset) }

// corruptState changes a control loop's state without a log record.
type corruptState struct{ change func(l *Loop) }

func (m corruptState) handle(l *Loop) { m.change(l) }

var _ = Describe("Digests", func() {
	It("stop the control roles of the one instance that differs, which then restores its state", func() {
		f := newFixture()
		instances := []*instance{f.start(false), f.start(false), f.start(false)}
		at := f.configure(instances[0])
		for _, n := range instances {
			Eventually(configOffset(n), "30s").Should(Equal(at))
			Eventually(func() int { return len(n.Snapshot().Peers) }, "30s").Should(Equal(2))
		}
		f.trimLog(1) // so that the log contains a checkpoint
		diverged := instances[1]
		diverged.post(context.Background(), corruptState{func(l *Loop) { l.state.HashChain[0] ^= 1 }})
		Eventually(hasEvent(diverged, "control halted"), "30s").Should(BeTrue())
		Eventually(hasEvent(diverged, "joined from a state"), "30s").Should(BeTrue())
		Eventually(func() string { return diverged.Snapshot().Halted }, "30s").Should(BeEmpty())
		Expect(hasEvent(instances[0], "control halted")()).To(BeFalse())
		Expect(hasEvent(instances[2], "control halted")()).To(BeFalse())
	})

	DescribeTable("majority", func(agree, differ, notCompared int, lacks bool) {
		a := newDigestComparison()
		var expected []string
		for i := range agree + differ + notCompared {
			expected = append(expected, fmt.Sprint(i))
			if i < agree+differ {
				a.matches[fmt.Sprint(i)] = i < agree
			}
		}
		Expect(a.lacksMajority(expected)).To(Equal(lacks))
	},
		Entry("alone", 0, 0, 0, false), Entry("one of two", 0, 1, 0, true),
		Entry("one peer differs, one agrees", 1, 1, 0, false), Entry("one of three", 0, 2, 0, true),
		Entry("one peer differs, one is not compared yet", 0, 1, 1, false),
		Entry("half of four", 1, 2, 0, true), Entry("most agree", 10, 2, 0, false),
	)
})

var _ = Describe("Records of a newer format", func() {
	It("halt the control roles of a build that cannot read them", func() {
		f := newFixture()
		n := f.start(false)
		at := f.configure(n)
		Eventually(func() bool { _, held := n.Held(DeploymentLease, 0); return held }, "30s").Should(BeTrue())
		n.post(context.Background(), corruptState{func(l *Loop) { l.state.Format = 2 }})
		data, err := record.Marshal(record.Envelope{ID: uuid.New(), Kind: record.KindKeyWithdraw, Version: 2, Body: []byte{0xa0}})
		Expect(err).NotTo(HaveOccurred())
		_, err = platform.NewLog(f.logURL).Append(context.Background(), [][]byte{data})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return n.Snapshot().Halted }, "30s").Should(Equal(haltFormat))
		_, held := n.Held(DeploymentLease, 0)
		Expect(held).To(BeFalse())
		Expect(n.Snapshot().ConfigOffset).To(Equal(at))
		Eventually(func() bool { return n.Snapshot().Fresh(n.Clock.Now(), 2*time.Second) }, "30s").Should(BeFalse())
	})
})

var _ = Describe("Hand-over", func() {
	It("releases the deployment lease, which another instance then acquires", func() {
		f := newFixture()
		instances := []*instance{f.start(false), f.start(false)}
		f.configure(instances[0])
		var holder *instance
		Eventually(func() *instance { holder = f.leaseHolder(); return holder }, "30s").ShouldNot(BeNil())
		term := holder.Snapshot().Leases[DeploymentLease].Term
		holder.ReleaseLeases(context.Background())
		other := instances[0]
		if other == holder {
			other = instances[1]
		}
		Eventually(func() bool { _, held := other.Held(DeploymentLease, 0); return held }, "30s").Should(BeTrue())
		Expect(hasEvent(other, "lease released")()).To(BeTrue())
		heldLease, _ := other.Held(DeploymentLease, 0)
		Expect(heldLease.Fencing).To(BeNumerically(">", term))
		_, held := holder.Held(DeploymentLease, 0)
		Expect(held).To(BeFalse())
	})
})
