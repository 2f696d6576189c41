package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/plan"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/billing"
	"github.com/amaranthfold/amaranthfold/internal/standin/list"
	"github.com/amaranthfold/amaranthfold/internal/standin/logstore"
	"github.com/amaranthfold/amaranthfold/internal/standin/orders"
)

// pausableClock is the system's clock plus an offset. A test advances it to simulate a
// pause of the process.
type pausableClock struct {
	clock.System
	offset atomic.Int64
}

func (c *pausableClock) Now() time.Duration { return c.System.Now() + time.Duration(c.offset.Load()) }

func (c *pausableClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

const singleInstanceYAML = `
deployment: site
dataCentres: [{name: north}]
cost: {limitPerHour: 20}
control: {leaseTerm: 2s, driftMargin: 100ms, heartbeat: 200ms, orderFlight: 300ms}
accounts: [{name: shop}]
`

// holderFixture is one instance that acquires the deployment's lease, with the stand-ins
// that it calls: in-memory servers in place of the platform's services.
type holderFixture struct {
	clock        *pausableClock
	loop         *control.Loop
	orders       *orders.Platform
	billing      *billing.Sink
	usage        *platform.Usage
	ordersClient *platform.Orders
	events       *events.Recorder
}

// serveStandIn serves a stand-in until the test ends and returns its URL.
func serveStandIn(t *testing.T, h http.Handler) string {
	s, err := standin.Serve(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.URL
}

func newHolderFixture(t *testing.T) *holderFixture {
	b := &holderFixture{clock: &pausableClock{}, billing: billing.New(), events: events.New("a", nil, time.Now)}
	b.orders = orders.New(nil, time.Hour, false) // the stand-in does not check fencing numbers
	ordersURL := serveStandIn(t, b.orders.Handler())
	b.ordersClient = platform.NewOrders(ordersURL, "north")
	b.usage = platform.NewUsage(serveStandIn(t, b.billing.Handler()))
	pool := peer.NewPool(peer.Hello{ID: "a", Incarnation: 1, Deployment: "site"}, nil)
	b.loop = control.New(control.Options{
		Self: member.Peer{ID: "a", Incarnation: 1, DataCentre: "north"}, Deployment: "site", Clock: b.clock,
		Log: platform.NewLog(serveStandIn(t, logstore.New(logstore.Config{}).Handler())), List: platform.NewInstanceList(serveStandIn(t, list.New(0).Handler())),
		Orders: func(string) *platform.Orders { return b.ordersClient }, Peers: pool, Events: b.events,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
	})
	return b
}

// awaitLease applies the configuration and waits until the instance holds the lease for
// at least another second, more than the flight time.
func (b *holderFixture) awaitLease(g *WithT) control.HeldLease {
	_, err := b.loop.Append(context.Background(), 0, record.Config{YAML: []byte(singleInstanceYAML)})
	g.Expect(err).NotTo(HaveOccurred())
	var lease control.HeldLease
	g.Eventually(func() (held bool) {
		lease, held = b.loop.Held(control.DeploymentLease, time.Second)
		return held
	}, "30s").Should(BeTrue())
	return lease
}

func TestPausedHolderSendsNoOrder(t *testing.T) {
	for name, test := range map[string]struct {
		pause    time.Duration // between the order's announcement and its sending
		fencing  record.Offset // of the announcement, relative to the current term's
		wantSent int
	}{
		"not paused":                   {0, 0, 1},
		"paused past the lease's end":  {time.Minute, 0, 0},
		"announced in an earlier term": {0, -1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newHolderFixture(t)
			lease := b.awaitLease(g)
			c := New(Options{Loop: b.loop, Clock: b.clock, Events: b.events, Orders: func(string) *platform.Orders {
				b.clock.advance(test.pause) // after the first lease check, before the connection
				return b.ordersClient
			}})
			open := &plan.OpenOrder{
				Order:   record.OrderIntent{OrderID: "o", Action: record.ActionStart, Service: "s", DataCentre: "north"},
				Fencing: lease.Fencing + test.fencing,
			}
			err := c.send(context.Background(), b.loop.Snapshot(), open)
			g.Expect(err == nil).To(Equal(test.wantSent == 1), "%v", err)
			g.Expect(b.orders.ReceivedOrders()).To(HaveLen(test.wantSent))
		})
	}
}

func TestPausedHolderSendsNoReport(t *testing.T) {
	for name, test := range map[string]struct {
		pause    time.Duration
		wantSent int
	}{
		"not paused":                  {0, 1},
		"paused past the lease's end": {time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newHolderFixture(t)
			lease := b.awaitLease(g)
			check := leaseCheck(b.loop, lease.Fencing, 300*time.Millisecond)
			b.clock.advance(test.pause)
			err := b.usage.ReportIf(context.Background(), platform.UsageReport{Window: 1}, check)
			g.Expect(err == nil).To(Equal(test.wantSent == 1), "%v", err)
			g.Expect(b.billing.Reports()).To(HaveLen(test.wantSent))
		})
	}
}
