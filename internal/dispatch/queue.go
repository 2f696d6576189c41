package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// queue is the admission queue of one target with the channels on which decisions are
// delivered. The maps' keys are request ids; the id of a grant is that of its request.
type queue struct {
	admit   *admit.Queue
	service string
	waiting map[uint64]chan admit.Decision
	remote  map[uint64]peer.Session // peer sessions of requests that wait or hold a slot
}

// wait enqueues the request at this instance and waits for the decision. Unless Force
// is set, the request is refused if this instance is not in the list of owners.
func (d *Dispatcher) wait(ctx context.Context, from peer.Session, req admitRequest) (uint64, admit.Decision, error) {
	if !req.Force && !d.mayOwn() {
		return 0, admit.Decision{Reason: admit.NotOwner}, nil
	}
	id, decided := d.enqueue(from, req)
	select {
	case decision := <-decided:
		return id, decision, nil
	case <-ctx.Done():
		d.cancel(req.Target, id, decided)
		return 0, admit.Decision{}, ctx.Err()
	}
}

// mayOwn reports whether this instance is in the list of owners. It is removed from
// the list while it terminates.
func (d *Dispatcher) mayOwn() bool {
	s := d.state.Snapshot()
	_, found := slices.BinarySearch(s.Owners, s.Self.ID)
	return found
}

// enqueue submits the request to the target's queue and returns its id and the channel
// that receives the decision.
func (d *Dispatcher) enqueue(from peer.Session, req admitRequest) (uint64, chan admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(req.Target, req.Service)
	d.nextID++
	id := d.nextID
	decided := make(chan admit.Decision, 1)
	q.waiting[id] = decided
	if from.ID != "" {
		q.remote[id] = from
	}
	now := d.clock.Now()
	deadline := time.Duration(0)
	if req.Timeout > 0 {
		deadline = now + req.Timeout
	}
	q.deliver(q.admit.Submit(now, admit.Request{
		ID: id, Flow: req.Request.Flow, Weight: max(req.Request.Weight, minWeight),
		Cost: max(req.Request.Cost, 0), Class: min(req.Request.Class, admit.ClassSample), Deadline: deadline,
	}))
	return id, decided
}

// minWeight is the minimum weight of a request. It prevents a division by zero after a
// malformed weight from a peer.
const minWeight = 1e-3

// deliver sends the decisions to the goroutines that wait for them.
func (q *queue) deliver(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decision.Reason != 0 {
			delete(q.remote, decision.ID)
		}
		if decided, ok := q.waiting[decision.ID]; ok {
			delete(q.waiting, decision.ID)
			decided <- decision
		}
	}
}

// cancel removes a request whose caller no longer waits. If it has been granted
// meanwhile, its slot is released.
func (d *Dispatcher) cancel(target string, id uint64, decided chan admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil {
		return
	}
	delete(q.waiting, id)
	delete(q.remote, id)
	if q.admit.Cancel(id) {
		return
	}
	select {
	case decision := <-decided:
		if decision.Reason == 0 {
			q.deliver(q.admit.Finish(d.clock.Now(), id, 0))
		}
	default:
	}
}

// finish releases a slot. It does nothing unless the instance of the session holds the
// grant. The zero Session means this instance.
func (d *Dispatcher) finish(from peer.Session, target string, id uint64, cost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil || q.remote[id].ID != from.ID {
		return
	}
	delete(q.remote, id)
	q.deliver(q.admit.Finish(d.clock.Now(), id, max(cost, 0)))
}

// SessionEnded removes the waiting requests and releases the slots of a session that
// ended.
func (d *Dispatcher) SessionEnded(from peer.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		for id, holder := range q.remote {
			if holder != from {
				continue
			}
			delete(q.remote, id)
			if !q.admit.Cancel(id) {
				q.deliver(q.admit.Finish(d.clock.Now(), id, 0))
			}
		}
	}
}

// queue returns the target's queue, created if missing, with the limits that are
// configured now.
func (d *Dispatcher) queue(target, service string) *queue {
	q := d.queues[target]
	limits := d.limits(service)
	if q == nil {
		q = &queue{
			admit: admit.New(limits), service: service,
			waiting: map[uint64]chan admit.Decision{}, remote: map[uint64]peer.Session{},
		}
		d.queues[target] = q
	}
	q.admit.SetLimits(limits)
	return q
}

// idleCredit is how far a flow that was idle may exceed its fair share in a burst, in
// multiples of the target's slot count.
const idleCredit = 16

// callerReserveDivisor is the ratio of the target's slots to those that are reserved for
// callers, which samples never hold: 1/8 of the slots, rounded down.
const callerReserveDivisor = 8

// limits returns the limits of a target of the service; all are zero if the service is
// not configured.
func (d *Dispatcher) limits(service string) admit.Limits {
	cfg := d.state.Snapshot().Config
	if cfg == nil || cfg.Service(service) == nil {
		return admit.Limits{}
	}
	s := cfg.Service(service)
	return admit.Limits{
		Concurrency: s.Concurrency, Queue: s.QueueLimit,
		CallerReserve: s.Concurrency / callerReserveDivisor, SampleShare: s.SampleShare, IdleCredit: idleCredit,
	}
}

// Load returns the numbers of requests granted and waiting at an owned target.
func (d *Dispatcher) Load(target string) (granted, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil {
		return 0, 0
	}
	return q.admit.Load()
}

// Expire refuses requests whose deadline has passed.
func (d *Dispatcher) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		q.deliver(q.admit.Expire(d.clock.Now()))
	}
}

// reconcile applies changes of targets and owners to the queues. Requests that wait for
// a target that was removed, is unavailable or has another owner are refused. Empty
// queues of targets that this instance does not own are dropped.
func (d *Dispatcher) reconcile() {
	s := d.state.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.RoutingTable != d.table {
		d.table = s.RoutingTable
		for id, q := range d.queues {
			q.updateTarget(s, s.Target(q.service, id))
		}
	}
	for id, q := range d.queues {
		granted, waiting := q.admit.Load()
		if granted+waiting == 0 && !owns(s, s.Target(q.service, id)) {
			delete(d.queues, id)
		}
	}
}

// updateTarget refuses the waiting requests if the target was removed, is unavailable
// or is owned by another instance.
func (q *queue) updateTarget(s *control.Snapshot, t *route.Target) {
	switch {
	case t == nil || t.Unavailable:
		q.deliver(q.admit.Suspend())
	case t.Owner != s.Self.ID && t.Owner != "":
		q.admit.Resume()
		q.deliver(q.admit.RejectWaiting(admit.NotOwner))
	default:
		q.admit.Resume()
	}
}

// owns reports whether the target exists and this instance owns it.
func owns(s *control.Snapshot, t *route.Target) bool { return t != nil && t.Owner == s.Self.ID }
