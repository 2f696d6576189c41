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

// jumpClock is the machine's clock, which the test sets forward as if the process
// had been paused.
type jumpClock struct {
	clock.System
	ahead atomic.Int64
}

func (c *jumpClock) Now() time.Duration { return c.System.Now() + time.Duration(c.ahead.Load()) }

func (c *jumpClock) pause(d time.Duration) { c.ahead.Add(int64(d)) }

const lonelyYAML = `
deployment: site
dataCentres: [{name: north}]
cost: {limitPerHour: 20}
control: {leaseTerm: 2s, driftMargin: 100ms, heartbeat: 200ms, orderFlight: 300ms}
accounts: [{name: shop}]
`

// bench is one instance in charge, with the stand-ins that it calls.
type bench struct {
	clock   *jumpClock
	loop    *control.Loop
	orders  *orders.Platform
	billing *billing.Sink
	usage   *platform.Usage
	client  *platform.Orders
	events  *events.Recorder
}

// serve runs a stand-in for the time of the test.
func serve(t *testing.T, h http.Handler) string {
	s, err := standin.Serve(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.URL
}

func newBench(t *testing.T) *bench {
	b := &bench{clock: &jumpClock{}, billing: billing.New(), events: events.New("a", nil, time.Now)}
	b.orders = orders.New(nil, time.Hour, false) // it ignores fencing numbers
	ordersURL := serve(t, b.orders.Handler())
	b.client = platform.NewOrders(ordersURL, "north")
	b.usage = platform.NewUsage(serve(t, b.billing.Handler()))
	pool := peer.NewPool(peer.Hello{ID: "a", Incarnation: 1, Deployment: "site"}, nil)
	b.loop = control.New(control.Options{
		Self: member.Peer{ID: "a", Incarnation: 1, DataCentre: "north"}, Deployment: "site", Clock: b.clock,
		Log: platform.NewLog(serve(t, logstore.New(logstore.Config{}).Handler())), List: platform.NewInstanceList(serve(t, list.New(0).Handler())),
		Orders: func(string) *platform.Orders { return b.client }, Peers: pool, Events: b.events,
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

// takeCharge returns once the instance holds the lease with the flight time left.
func (b *bench) takeCharge(g *WithT) control.HeldLease {
	_, err := b.loop.Append(context.Background(), 0, record.Config{YAML: []byte(lonelyYAML)})
	g.Expect(err).NotTo(HaveOccurred())
	var guard control.HeldLease
	g.Eventually(func() (held bool) {
		guard, held = b.loop.Held(control.DeploymentLease, time.Second)
		return held
	}, "30s").Should(BeTrue())
	return guard
}

func TestPausedHolderSendsNoOrder(t *testing.T) {
	for name, test := range map[string]struct {
		pause   time.Duration // between the announcement and the write
		fencing record.Offset // of the announcement, less the term's
		arrive  int
	}{
		"not paused":                 {0, 0, 1},
		"paused past the lease":      {time.Minute, 0, 0},
		"announced by a former term": {0, -1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t)
			guard := b.takeCharge(g)
			c := New(Options{Loop: b.loop, Clock: b.clock, Events: b.events, Orders: func(string) *platform.Orders {
				b.clock.pause(test.pause) // after the first check, before the connection
				return b.client
			}})
			open := &plan.OpenOrder{
				Order:   record.OrderIntent{OrderID: "o", Action: record.ActionStart, Service: "s", DataCentre: "north"},
				Fencing: guard.Fencing + test.fencing,
			}
			err := c.send(context.Background(), b.loop.Snapshot(), open)
			g.Expect(err == nil).To(Equal(test.arrive == 1), "%v", err)
			g.Expect(b.orders.ReceivedOrders()).To(HaveLen(test.arrive))
		})
	}
}

func TestPausedHolderSendsNoReport(t *testing.T) {
	for name, test := range map[string]struct {
		pause  time.Duration
		arrive int
	}{
		"not paused":            {0, 1},
		"paused past the lease": {time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBench(t)
			guard := b.takeCharge(g)
			check := leaseCheck(b.loop, guard.Fencing, 300*time.Millisecond)
			b.clock.pause(test.pause)
			err := b.usage.ReportIf(context.Background(), platform.UsageReport{Window: 1}, check)
			g.Expect(err == nil).To(Equal(test.arrive == 1), "%v", err)
			g.Expect(b.billing.Reports()).To(HaveLen(test.arrive))
		})
	}
}
