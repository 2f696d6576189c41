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

// fakeState is a ControlState with a snapshot that tests replace.
type fakeState struct {
	atomic.Pointer[control.Snapshot]
}

func (l *fakeState) Snapshot() *control.Snapshot                       { return l.Load() }
func (l *fakeState) SetOwnLoads(context.Context, []control.TargetLoad) {}

// testInstance is an instance reduced to a dispatcher and a peer server.
type testInstance struct {
	*Dispatcher
	state   *fakeState
	address string
	stop    context.CancelFunc
	// holdReplies, if set, delays replies to admission requests until it is closed.
	holdReplies chan struct{}
}

func (n *testInstance) Handle(ctx context.Context, from peer.Session, kind peer.Kind, body []byte) (any, error) {
	if kind == peer.KindFinish {
		return nil, n.HandleFinish(from, body)
	}
	if n.holdReplies == nil {
		return n.HandleAdmit(ctx, from, body)
	}
	reply, err := n.HandleAdmit(context.WithoutCancel(ctx), from, body)
	<-n.holdReplies
	return reply, err
}

// startInstances runs instances a, b and c. Instance b owns target t, which has the
// given number of slots.
func startInstances(t testing.TB, slots int) (a, b, c *testInstance) {
	cfg := &config.Config{Services: []config.Service{{Name: "s", Kind: config.KindPlain, Concurrency: slots, QueueLimit: 8}}}
	instances := map[string]*testInstance{}
	byID := map[string]member.Status{}
	for _, id := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		pool := peer.NewPool(peer.Hello{ID: id, Incarnation: 1, Deployment: "d"}, nil)
		n := &testInstance{state: &fakeState{}, address: listener.Addr().String()}
		n.Dispatcher = New(n.state, pool, clock.System{})
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = cancel
		var serving sync.WaitGroup
		serving.Go(func() { _ = peer.NewServer("d", n, nil).Serve(ctx, listener) })
		t.Cleanup(func() { pool.Close(); cancel(); serving.Wait() })
		instances[id] = n
		byID[id] = member.Status{Peer: member.Peer{ID: id, Address: n.address}}
	}
	table := route.NewTable([]route.Target{{ID: "t", Service: "s", Owner: "b", Capacity: slots}})
	for id, n := range instances {
		n.state.Store(&control.Snapshot{
			Self: byID[id].Peer, Config: cfg, Owners: []string{"a", "b", "c"}, PeerByID: byID, RoutingTable: table,
		})
	}
	return instances["a"], instances["b"], instances["c"]
}

// updateSnapshot publishes a changed copy of the instance's snapshot.
func (n *testInstance) updateSnapshot(f func(s *control.Snapshot)) {
	s := *n.state.Snapshot()
	f(&s)
	n.state.Store(&s)
}

var (
	testTarget  = &route.Target{ID: "t", Service: "s", Owner: "b"}
	testRequest = Request{Flow: "acc", Weight: 1, Cost: 1}
)

// queueLoad returns the numbers of granted and of waiting requests for target t at n.
func queueLoad(n *testInstance) [2]int {
	granted, waiting := n.Load("t")
	return [2]int{granted, waiting}
}

// admitResult is the result of a call of Admit.
type admitResult struct {
	grant *Grant
	err   error
}

// admitAsync calls Admit for target t at n and returns a channel for the result.
func admitAsync(ctx context.Context, n *testInstance) chan admitResult {
	done := make(chan admitResult, 1)
	go func() {
		g, err := n.Admit(ctx, testTarget, testRequest)
		done <- admitResult{g, err}
	}()
	return done
}

func TestLateGrantIsReleased(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := startInstances(t, 1)
	b.holdReplies = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 0}), "granted at the owner, reply in flight")
	cancel()
	g.Expect((<-done).err).To(MatchError(context.Canceled))
	close(b.holdReplies)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestCancelledRequestIsRemovedFromTheQueue(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := startInstances(t, 1)
	held, err := a.Admit(context.Background(), testTarget, testRequest)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 1}))
	cancel()
	g.Expect((<-done).err).To(MatchError(context.Canceled))
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 0}))
	held.Finish(1)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestWaitingRequestIsResubmittedToTheNextOwner(t *testing.T) {
	for name, fail := range map[string]func(a, b *testInstance){
		"the owner stops":              func(_, b *testInstance) { b.stop() },
		"the owner is suspect":         func(a, _ *testInstance) { a.markSuspect("b"); a.cancelSuspectWaits() },
		"the target has another owner": func(_, b *testInstance) { b.setOwner("c"); b.reconcile() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, b, c := startInstances(t, 1)
			held, err := b.Admit(context.Background(), testTarget, testRequest)
			g.Expect(err).NotTo(HaveOccurred())
			defer held.Finish(1)
			done := admitAsync(context.Background(), a)
			g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 1}))
			fail(a, b)
			got := <-done
			g.Expect(got.err).NotTo(HaveOccurred())
			next := map[string]*testInstance{"a": a, "c": c}[member.Owner("t", []string{"a", "c"})]
			g.Expect(queueLoad(next)).To(Equal([2]int{1, 0}))
			got.grant.Finish(1)
			g.Eventually(func() [2]int { return queueLoad(next) }, "10s").Should(Equal([2]int{0, 0}))
		})
	}
}

// markSuspect makes peer id, and only that, suspect in the instance's snapshot.
func (n *testInstance) markSuspect(id string) {
	n.updateSnapshot(func(s *control.Snapshot) {
		byID := map[string]member.Status{}
		for k, v := range s.PeerByID {
			v.Suspect = k == id
			byID[k] = v
		}
		s.PeerByID = byID
	})
}

// setOwner sets the owner of target t in the instance's snapshot.
func (n *testInstance) setOwner(owner string) {
	n.updateSnapshot(func(s *control.Snapshot) {
		s.RoutingTable = route.NewTable([]route.Target{{ID: "t", Service: "s", Owner: owner}})
	})
}

func TestQueueOfARemovedTargetIsRefusedAndDropped(t *testing.T) {
	g := NewWithT(t)
	_, b, _ := startInstances(t, 1)
	held, err := b.Admit(context.Background(), testTarget, testRequest)
	g.Expect(err).NotTo(HaveOccurred())
	done := admitAsync(context.Background(), b)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 1}))
	b.updateSnapshot(func(s *control.Snapshot) { s.RoutingTable = route.NewTable(nil) })
	b.reconcile()
	g.Expect((<-done).err).To(Equal(&RefusedError{Target: "t", Reason: admit.TargetLeaving}))
	g.Expect(b.queues).To(HaveLen(1), "the queue stays while a request is in flight")
	held.Finish(1)
	b.reconcile()
	g.Expect(b.queues).To(BeEmpty())
}

func TestInstanceOutsideTheOwnersAcceptsNoRemoteRequests(t *testing.T) {
	g := NewWithT(t)
	a, b, c := startInstances(t, 1)
	b.updateSnapshot(func(s *control.Snapshot) { s.Owners = []string{"a", "c"} })
	grant, err := a.Admit(context.Background(), testTarget, testRequest)
	g.Expect(err).NotTo(HaveOccurred())
	defer grant.Finish(1)
	g.Expect(queueLoad(b)).To(Equal([2]int{0, 0}))
	next := map[string]*testInstance{"a": a, "c": c}[member.Owner("t", []string{"a", "c"})]
	g.Expect(queueLoad(next)).To(Equal([2]int{1, 0}))
}

func TestOnlyTheGrantedInstanceReleasesASlot(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := startInstances(t, 1)
	grant, err := a.Admit(context.Background(), testTarget, testRequest)
	g.Expect(err).NotTo(HaveOccurred())
	for id := range b.queues["t"].remote {
		b.finish(peer.Session{ID: "c"}, "t", id, 1)
	}
	g.Expect(queueLoad(b)).To(Equal([2]int{1, 0}))
	grant.Finish(1)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{0, 0}))
}

func TestDeadlineIsSentToTheOwner(t *testing.T) {
	g := NewWithT(t)
	a, b, _ := startInstances(t, 1)
	held, err := b.Admit(context.Background(), testTarget, testRequest)
	g.Expect(err).NotTo(HaveOccurred())
	defer held.Finish(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	done := admitAsync(ctx, a)
	g.Eventually(func() [2]int { return queueLoad(b) }, "10s").Should(Equal([2]int{1, 1}))
	b.clock = offsetClock{2 * time.Hour}
	b.Expire()
	g.Expect((<-done).err).To(Equal(&RefusedError{Target: "t", Reason: admit.DeadlinePassed}))
}

// offsetClock is the system clock plus an offset.
type offsetClock struct{ offset time.Duration }

func (c offsetClock) Now() time.Duration { return clock.System{}.Now() + c.offset }
func (c offsetClock) Wall() time.Time    { return time.Now().Add(c.offset) }
