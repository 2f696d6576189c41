package dispatch

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// fakeLoop holds a snapshot that tests replace.
type fakeLoop struct {
	atomic.Pointer[control.Snapshot]
}

func (l *fakeLoop) Snapshot() *control.Snapshot                       { return l.Load() }
func (l *fakeLoop) SetOwnLoads(context.Context, []control.TargetLoad) {}

// node is an instance as far as dispatch goes.
type node struct {
	*Dispatcher
	loop    *fakeLoop
	address string
	stop    context.CancelFunc
	// hold, if set, keeps back answers to calls for a slot until it is closed.
	hold chan struct{}
}

func (n *node) Handle(ctx context.Context, from peer.Session, kind peer.Kind, body []byte) (any, error) {
	if kind == peer.KindFinish {
		return nil, n.HandleFinish(from, body)
	}
	if n.hold == nil {
		return n.HandleAdmit(ctx, from, body)
	}
	reply, err := n.HandleAdmit(context.WithoutCancel(ctx), from, body)
	<-n.hold
	return reply, err
}

// start runs nodes a, b and c, of which b owns target t with the given slots.
func start(t testing.TB, slots int) (a, b, c *node) {
	cfg := &config.Config{Services: []config.Service{{Name: "s", Kind: config.KindPlain, Concurrency: slots, QueueLimit: 8}}}
	nodes := map[string]*node{}
	byID := map[string]member.Status{}
	for _, id := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		pool := peer.NewPool(peer.Hello{ID: id, Incarnation: 1, Deployment: "d"}, nil)
		n := &node{loop: &fakeLoop{}, address: listener.Addr().String()}
		n.Dispatcher = New(n.loop, pool, clock.System{})
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		var serving sync.WaitGroup
		serving.Go(func() { _ = peer.NewServer("d", n, nil).Serve(ctx, listener) })
		t.Cleanup(func() { pool.Close(); cancel(); serving.Wait() })
		nodes[id] = n
		byID[id] = member.Status{Peer: member.Peer{ID: id, Address: n.address}}
	}
	table := route.NewTable([]route.Target{{ID: "t", Service: "s", Owner: "b", Capacity: slots}})
	for id, n := range nodes {
		n.loop.Store(&control.Snapshot{
			Self: byID[id].Peer, Config: cfg, Owners: []string{"a", "b", "c"}, PeerByID: byID, RoutingTable: table,
		})
	}
	return nodes["a"], nodes["b"], nodes["c"]
}

// change publishes a changed copy of the node's snapshot.
func (n *node) change(f func(s *control.Snapshot)) {
	s := *n.loop.Snapshot()
	f(&s)
	n.loop.Store(&s)
}

var (
	target = &route.Target{ID: "t", Service: "s", Owner: "b"}
	ask    = Request{Flow: "acc", Weight: 1, Cost: 1}
)

func load(n *node) [2]int {
	granted, waiting := n.Load("t")
	return [2]int{granted, waiting}
}

type outcome struct {
	grant *Grant
	err   error
}

func admitAsync(ctx context.Context, n *node) chan outcome {
	done := make(chan outcome, 1)
	go func() {
		g, err := n.Admit(ctx, target, ask)
		done <- outcome{g, err}
	}()
	return done
}

func TestLateGrantIsReturned(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := start(t, 1)
	b.hold = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 0}), "granted at the owner, the answer on its way")
	cancel()
	g.Expect((<-done).err).To(MatchError(context.Canceled))
	close(b.hold)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestCancelledWaitLeavesTheQueue(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := start(t, 1)
	held, err := a.Admit(context.Background(), target, ask)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 1}))
	cancel()
	g.Expect((<-done).err).To(MatchError(context.Canceled))
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 0}))
	held.Finish(1)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestWaitMovesToTheNextOwner(t *testing.T) {
	for name, lose := range map[string]func(a, b *node){
		"the owner dies":            func(_, b *node) { b.stop() },
		"the owner is suspected":    func(a, _ *node) { a.suspect("b"); a.cancelSuspectWaits() },
		"the owner owns it no more": func(_, b *node) { b.own("c"); b.reconcile() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, b, c := start(t, 1)
			held, err := b.Admit(context.Background(), target, ask)
			g.Expect(err).NotTo(HaveOccurred())
			defer held.Finish(1)
			done := admitAsync(context.Background(), a)
			g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 1}))
			lose(a, b)
			got := <-done
			g.Expect(got.err).NotTo(HaveOccurred())
			next := map[string]*node{"a": a, "c": c}[member.Owner("t", []string{"a", "c"})]
			g.Expect(load(next)).To(Equal([2]int{1, 0}))
			got.grant.Finish(1)
			g.Eventually(func() [2]int { return load(next) }, "10s").Should(Equal([2]int{0, 0}))
		})
	}
}

func (n *node) suspect(id string) {
	n.change(func(s *control.Snapshot) {
		byID := map[string]member.Status{}
		for k, v := range s.PeerByID {
			v.Suspect = k == id
			byID[k] = v
		}
		s.PeerByID = byID
	})
}

func (n *node) own(owner string) {
	n.change(func(s *control.Snapshot) {
		s.RoutingTable = route.NewTable([]route.Target{{ID: "t", Service: "s", Owner: owner}})
	})
}

func TestTargetThatIsGoneRefusesAndDropsItsQueue(t *testing.T) {
	g := NewWithT(t)
	_, b, _ := start(t, 1)
	held, err := b.Admit(context.Background(), target, ask)
	g.Expect(err).NotTo(HaveOccurred())
	done := admitAsync(context.Background(), b)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 1}))
	b.change(func(s *control.Snapshot) { s.RoutingTable = route.NewTable(nil) })
	b.reconcile()
	g.Expect((<-done).err).To(Equal(&RefusedError{Target: "t", Reason: admit.TargetLeaving}))
	g.Expect(b.queues).To(HaveLen(1), "a request is in flight")
	held.Finish(1)
	b.reconcile()
	g.Expect(b.queues).To(BeEmpty())
}

func TestLeavingInstanceTakesNoNewWaits(t *testing.T) {
	g := NewWithT(t)
	a, b, c := start(t, 1)
	b.change(func(s *control.Snapshot) { s.Owners = []string{"a", "c"} })
	grant, err := a.Admit(context.Background(), target, ask)
	g.Expect(err).NotTo(HaveOccurred())
	defer grant.Finish(1)
	g.Expect(load(b)).To(Equal([2]int{0, 0}))
	next := map[string]*node{"a": a, "c": c}[member.Owner("t", []string{"a", "c"})]
	g.Expect(load(next)).To(Equal([2]int{1, 0}))
}

func TestOnlyTheHolderReturnsASlot(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := start(t, 1)
	grant, err := a.Admit(context.Background(), target, ask)
	g.Expect(err).NotTo(HaveOccurred())
	for id := range b.queues["t"].remote {
		b.finish(peer.Session{ID: "c"}, "t", id, 1)
	}
	g.Expect(load(b)).To(Equal([2]int{1, 0}))
	grant.Finish(1)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestDeadlineTravelsWithTheWait(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := start(t, 1)
	held, err := b.Admit(context.Background(), target, ask)
	g.Expect(err).NotTo(HaveOccurred())
	defer held.Finish(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return load(b) }, "10s").Should(Equal([2]int{1, 1}))
	b.clock = clockAhead{2 * time.Hour}
	b.Expire()
	g.Expect((<-done).err).To(Equal(&RefusedError{Target: "t", Reason: admit.DeadlinePassed}))
}

// clockAhead is the system's clock, moved forward.
type clockAhead struct{ by time.Duration }

func (c clockAhead) Now() time.Duration { return clock.System{}.Now() + c.by }
func (c clockAhead) Wall() time.Time    { return time.Now().Add(c.by) }
