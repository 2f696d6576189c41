// Package orders is a stand-in for the platform's interface that starts and
// stops targets by data centre. The caller provides a Factory that starts the
// process of a target. An order is executed once per order id, and every order
// received is recorded for tests to inspect. Fault switches make the interface of
// a data centre unavailable, drop responses, crash targets and reclaim the cheap
// targets of a data centre. A cheap target is a spot (preemptible) one: it can be
// reclaimed with all others of its data centre at short notice.
package orders

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/platform"
	"github.com/amaranthfold/amaranthfold/internal/standin"
)

// Instance is a running target's process.
type Instance interface {
	URL() string
	AnnounceReclaim() // from now on, it reports that it will be reclaimed
	Kill()            // stops at once, without notice
}

// Factory starts the process of a target.
type Factory func(service, dataCentre, id string, cheap bool) (Instance, error)

// ReceivedOrder is an order as it was received.
type ReceivedOrder struct {
	platform.Order
	DataCentre string
	At         time.Time
	Fenced     bool // rejected because its fencing number was stale
}

// Platform starts and stops targets, and holds the state behind the interface.
type Platform struct {
	mu               sync.Mutex
	factory          Factory
	startDelay       time.Duration
	checksFencing    bool
	targets          map[string]*target
	repliesByOrderID map[string]platform.OrderReply // of executed orders
	highestFencing   map[string]int64               // highest received, by data centre
	received         []ReceivedOrder
	down             map[string]bool // data centres whose interface is unavailable
	cheapUnavailable map[string]bool // data centres that start no cheap targets
	dropResponses    int             // number of next orders whose responses are dropped
	lastTargetNumber int
}

type target struct {
	platform.Target
	process   Instance
	startedAt time.Time
	stoppedAt time.Time
}

// BilledInterval is the time for which a target is billed. It starts at the order, so
// that it includes the start of the target.
type BilledInterval struct {
	Target, Service, DataCentre string
	Cheap                       bool
	From, To                    time.Time // To is zero until the target stops
}

// New returns a platform without targets. The process of a target is started
// startDelay after the order.
// With checksFencing, orders with a fencing number below the highest received in
// the data centre are rejected.
func New(factory Factory, startDelay time.Duration, checksFencing bool) *Platform {
	return &Platform{
		factory: factory, startDelay: startDelay, checksFencing: checksFencing,
		targets: map[string]*target{}, repliesByOrderID: map[string]platform.OrderReply{}, highestFencing: map[string]int64{},
		down: map[string]bool{}, cheapUnavailable: map[string]bool{},
	}
}

// SetDown starts or ends an outage of one data centre's interface.
func (p *Platform) SetDown(dataCentre string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[dataCentre] = down
}

// SetCheapUnavailable makes orders for cheap targets in a data centre fail, or
// succeed again.
func (p *Platform) SetCheapUnavailable(dataCentre string, unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cheapUnavailable[dataCentre] = unavailable
}

// DropResponses drops the responses to the next n orders. The orders take effect.
func (p *Platform) DropResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = n
}

// Reclaim announces to all cheap targets of a data centre that they will be
// reclaimed, stops them after notice, and returns their number.
func (p *Platform) Reclaim(dataCentre string, notice time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, t := range p.targets {
		if t.DataCentre != dataCentre || !t.Cheap || t.State == platform.TargetStopped {
			continue
		}
		n++
		t.State = platform.TargetLeaving
		if t.process != nil {
			t.process.AnnounceReclaim()
		}
		time.AfterFunc(notice, func() { p.stop(id) })
	}
	return n
}

// Crash kills the process of one target without notice. The target stays listed
// as running.
func (p *Platform) Crash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil && t.process != nil {
		t.process.Kill()
	}
}

// FailTarget stops one target without an order, as if its machine had failed.
func (p *Platform) FailTarget(id string) { p.stop(id) }

// ReceivedOrders returns every order received, also rejected ones, oldest first.
// Orders that arrive during an outage are not received.
func (p *Platform) ReceivedOrders() []ReceivedOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedOrder(nil), p.received...)
}

// BilledIntervals returns the billed time of each target, sorted by target id.
func (p *Platform) BilledIntervals() []BilledInterval {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []BilledInterval
	for _, t := range p.targets {
		out = append(out, BilledInterval{t.ID, t.Service, t.DataCentre, t.Cheap, t.startedAt, t.stoppedAt})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

// KillAll stops every target.
func (p *Platform) KillAll() {
	p.mu.Lock()
	ids := make([]string, 0, len(p.targets))
	for id := range p.targets {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.stop(id)
	}
}

// Handler serves the order interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /dc/{dc}/orders", p.handleOrder)
	mux.HandleFunc("GET /dc/{dc}/targets", p.handleTargets)
	return mux
}

func (p *Platform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	reply, status, drop := p.executeOnce(r.PathValue("dc"), order)
	switch {
	case drop:
		standin.AbortConnection(w)
	case status != http.StatusOK:
		http.Error(w, http.StatusText(status), status)
	default:
		standin.WriteJSON(w, reply)
	}
}

// StartTarget starts a target without an order from a client and returns its id. The id is
// empty if the target is to be cheap and the data centre starts no cheap targets.
func (p *Platform) StartTarget(service, dataCentre string, cheap bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, _ := p.execute(dataCentre, platform.Order{Action: "start", Service: service, Cheap: cheap})
	return reply.Target
}

// executeOnce executes an order and returns its reply. For an order id that has been
// executed, it returns the first reply and executes nothing. drop reports whether the
// response is to be dropped.
func (p *Platform) executeOnce(dataCentre string, order platform.Order) (reply platform.OrderReply, status int, drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[dataCentre] {
		return reply, http.StatusServiceUnavailable, false
	}
	fenced := p.checksFencing && order.Fencing < p.highestFencing[dataCentre]
	p.received = append(p.received, ReceivedOrder{Order: order, DataCentre: dataCentre, At: time.Now(), Fenced: fenced})
	if fenced {
		return reply, http.StatusConflict, false
	}
	p.highestFencing[dataCentre] = max(p.highestFencing[dataCentre], order.Fencing)
	if !order.NotAfter.IsZero() && time.Now().After(order.NotAfter) {
		return reply, http.StatusUnprocessableEntity, false
	}
	reply, done := p.repliesByOrderID[order.ID]
	if !done {
		if reply, status = p.execute(dataCentre, order); status != http.StatusOK {
			return reply, status, false
		}
		p.repliesByOrderID[order.ID] = reply
	}
	if p.dropResponses > 0 {
		p.dropResponses--
		return reply, http.StatusOK, true
	}
	return reply, http.StatusOK, false
}

func (p *Platform) execute(dataCentre string, order platform.Order) (platform.OrderReply, int) {
	if order.Action == "stop" {
		t := p.targets[order.Target]
		if t == nil {
			return platform.OrderReply{}, http.StatusNotFound
		}
		go p.stop(order.Target)
		return platform.OrderReply{Target: order.Target}, http.StatusOK
	}
	if order.Cheap && p.cheapUnavailable[dataCentre] {
		return platform.OrderReply{}, http.StatusInsufficientStorage
	}
	p.lastTargetNumber++
	id := fmt.Sprintf("%s-%s-%d", order.Service, dataCentre, p.lastTargetNumber)
	p.targets[id] = &target{
		Target: platform.Target{
			ID: id, OrderID: order.ID, Service: order.Service, DataCentre: dataCentre,
			Cheap: order.Cheap, State: platform.TargetStarting,
		},
		startedAt: time.Now(),
	}
	time.AfterFunc(p.startDelay, func() { p.startProcess(id) })
	return platform.OrderReply{Target: id}, http.StatusOK
}

// startProcess starts the process of a target, unless the target has been stopped
// since its order. A target whose process fails to start is stopped.
func (p *Platform) startProcess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t.State != platform.TargetStarting {
		return
	}
	process, err := p.factory(t.Service, t.DataCentre, id, t.Cheap)
	if err != nil {
		t.State, t.stoppedAt = platform.TargetStopped, time.Now()
		return
	}
	t.process, t.URL, t.State = process, process.URL(), platform.TargetRunning
}

func (p *Platform) stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[id]
	if t.State == platform.TargetStopped {
		return
	}
	t.State, t.stoppedAt = platform.TargetStopped, time.Now()
	if t.process != nil {
		t.process.Kill()
	}
}

func (p *Platform) handleTargets(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.PathValue("dc")
	p.mu.Lock()
	down := p.down[dataCentre]
	reply := platform.TargetsReply{Targets: []platform.Target{}}
	for _, t := range p.targets {
		if t.DataCentre == dataCentre && t.State != platform.TargetStopped {
			reply.Targets = append(reply.Targets, t.Target)
		}
	}
	p.mu.Unlock()
	if down {
		http.Error(w, "order interface is down", http.StatusServiceUnavailable)
		return
	}
	sort.Slice(reply.Targets, func(i, j int) bool { return reply.Targets[i].ID < reply.Targets[j].ID })
	standin.WriteJSON(w, reply)
}
