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

// queue is one owned target's queue with the goroutines that wait on it.
type queue struct {
	admit   *admit.Queue
	service string
	waiting map[uint64]chan admit.Decision
	remote  map[uint64]peer.Session // grants and requests of other instances
}

// wait queues the request at this instance and waits for the decision.
func (d *Dispatcher) wait(ctx context.Context, from peer.Session, call admitRequest) (uint64, admit.Decision, error) {
	if !call.Force && !d.mayOwn() {
		return 0, admit.Decision{Reason: admit.NotOwner}, nil
	}
	id, decided := d.enqueue(from, call)
	select {
	case v := <-decided:
		return id, v, nil
	case <-ctx.Done():
		d.cancel(call.Target, id, decided)
		return 0, admit.Decision{}, ctx.Err()
	}
}

// mayOwn reports whether this instance owns queues: not while it leaves.
func (d *Dispatcher) mayOwn() bool {
	s := d.loop.Snapshot()
	_, found := slices.BinarySearch(s.Owners, s.Self.ID)
	return found
}

func (d *Dispatcher) enqueue(from peer.Session, call admitRequest) (uint64, chan admit.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(call.Target, call.Service)
	d.nextID++
	id := d.nextID
	decided := make(chan admit.Decision, 1)
	q.waiting[id] = decided
	if from.ID != "" {
		q.remote[id] = from
	}
	now := d.clock.Now()
	deadline := time.Duration(0)
	if call.Timeout > 0 {
		deadline = now + call.Timeout
	}
	q.deliver(q.admit.Submit(now, admit.Request{
		ID: id, Flow: call.Request.Flow, Weight: max(call.Request.Weight, minWeight),
		Cost: max(call.Request.Cost, 0), Class: min(call.Request.Class, admit.ClassSample), Deadline: deadline,
	}))
	return id, decided
}

// minWeight keeps a peer's malformed weight from dividing by zero.
const minWeight = 1e-3

// deliver hands decisions to the goroutines that wait for them.
func (q *queue) deliver(verdicts []admit.Decision) {
	for _, v := range verdicts {
		if v.Reason != 0 {
			delete(q.remote, v.ID)
		}
		if decided, ok := q.waiting[v.ID]; ok {
			delete(q.waiting, v.ID)
			decided <- v
		}
	}
}

// cancel takes back a request that nobody waits for, granted or not.
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
	case v := <-decided:
		if v.Reason == 0 {
			q.deliver(q.admit.Finish(d.clock.Now(), id, 0))
		}
	default:
	}
}

// finish returns a slot that from holds.
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

// SessionEnded returns the slots of a peer whose session broke.
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

// queue returns the target's queue with its limits as configured now.
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

// idleCredit is how many rounds of all slots a flow that idled may go ahead of
// its share.
const idleCredit = 16

// callerReserveDivisor is the part of a target's slots that samples leave free.
const callerReserveDivisor = 8

func (d *Dispatcher) limits(service string) admit.Limits {
	cfg := d.loop.Snapshot().Config
	if cfg == nil || cfg.Service(service) == nil {
		return admit.Limits{}
	}
	s := cfg.Service(service)
	return admit.Limits{
		Concurrency: s.Concurrency, Queue: s.QueueLimit,
		CallerReserve: s.Concurrency / callerReserveDivisor, SampleShare: s.SampleShare, IdleCredit: idleCredit,
	}
}

// Load returns the requests granted and waiting at an owned target.
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

// reconcile follows changes of targets and owners: what waits for a target that
// is gone or leaving, or that another instance owns, is refused, and queues that
// nobody needs any more are dropped.
func (d *Dispatcher) reconcile() {
	s := d.loop.Snapshot()
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

// updateTarget refuses what waits if the target may not serve it here.
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

func owns(s *control.Snapshot, t *route.Target) bool { return t != nil && t.Owner == s.Self.ID }
