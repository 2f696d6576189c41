// Package dispatch admits requests to targets. The queue of a target lives at
// the instance that owns it; other instances ask the owner for a slot over drpc
// and then call the target themselves, so that answers take no extra hop.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// ErrRefused wraps a refusal. The request has not run.
var ErrRefused = errors.New("not admitted")

// RefusedError is an owner's refusal: the request has not run.
type RefusedError struct {
	Target string
	Reason admit.Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %q refused the request: %s", e.Target, e.Reason)
}

// Unwrap makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Request asks for a slot.
type Request struct {
	Flow   string      `cbor:"1,keyasint"`
	Weight float64     `cbor:"2,keyasint"`
	Cost   float64     `cbor:"3,keyasint"` // estimated tokens
	Class  admit.Class `cbor:"4,keyasint"`
}

// admitCall is the message of a remote request for a slot.
type admitCall struct {
	Target  string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Request Request `cbor:"3,keyasint"`
	// Patience is the time to the caller's deadline; zero: none.
	Patience time.Duration `cbor:"4,keyasint"`
}

// admitReply is the owner's answer: a grant when Reason is zero.
type admitReply struct {
	Grant  uint64       `cbor:"1,keyasint"`
	Reason admit.Reason `cbor:"2,keyasint"`
}

// finishNote ends a remote grant.
type finishNote struct {
	Target string  `cbor:"1,keyasint"`
	Grant  uint64  `cbor:"2,keyasint"`
	Cost   float64 `cbor:"3,keyasint"` // tokens used
}

// Dispatcher holds the queues that this instance owns. It is safe for
// concurrent use.
type Dispatcher struct {
	loop  *control.Loop
	peers *peer.Pool
	clock clock.Clock

	mu     sync.Mutex
	queues map[string]*queue // by target
	nextID uint64
}

// queue is one owned target's queue with the goroutines that wait on it.
type queue struct {
	admit   *admit.Queue
	service string
	waiting map[uint64]chan admit.Reason
	remote  map[uint64]peer.Session // grants and requests of other instances
}

// New returns a dispatcher.
func New(loop *control.Loop, peers *peer.Pool, c clock.Clock) *Dispatcher {
	return &Dispatcher{loop: loop, peers: peers, clock: c, queues: map[string]*queue{}}
}

// Grant is a slot at a target. Finish must be called once.
type Grant struct {
	finish func(cost float64)
	once   sync.Once
}

// Finish returns the slot and tells the tokens used.
func (g *Grant) Finish(cost float64) { g.once.Do(func() { g.finish(cost) }) }

// Admit waits for a slot at the target. The error is a *RefusedError, or a
// failure to reach the owner, or ctx's; in every case nothing has run.
func (d *Dispatcher) Admit(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	s := d.loop.Snapshot()
	if t.Owner == "" || t.Owner == s.Self.ID {
		return d.admitLocal(ctx, t, r)
	}
	owner, known := s.PeerByID[t.Owner]
	if !known {
		return d.admitLocal(ctx, t, r)
	}
	return d.admitRemote(ctx, owner.Address, t, r)
}

func (d *Dispatcher) admitRemote(ctx context.Context, address string, t *route.Target, r Request) (*Grant, error) {
	call := admitCall{Target: t.ID, Service: t.Service, Request: r}
	if deadline, ok := ctx.Deadline(); ok {
		call.Patience = time.Until(deadline)
	}
	var reply admitReply
	if err := d.peers.Call(ctx, address, peer.KindAdmit, call, &reply); err != nil {
		return nil, fmt.Errorf("admission to target %q: %w", t.ID, err)
	}
	if reply.Reason != 0 {
		return nil, &RefusedError{t.ID, reply.Reason}
	}
	return &Grant{finish: func(cost float64) {
		note := finishNote{Target: t.ID, Grant: reply.Grant, Cost: cost}
		// A lost session returns its slots at the owner.
		_ = d.peers.Send(context.WithoutCancel(ctx), address, peer.KindFinish, note)
	}}, nil
}

func (d *Dispatcher) admitLocal(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	patience := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		patience = time.Until(deadline)
	}
	id, reason, err := d.wait(ctx, peer.Session{}, admitCall{t.ID, t.Service, r, patience})
	if err != nil {
		return nil, fmt.Errorf("admission to target %q: %w", t.ID, err)
	}
	if reason != 0 {
		return nil, &RefusedError{t.ID, reason}
	}
	return &Grant{finish: func(cost float64) { d.finish(t.ID, id, cost) }}, nil
}

// HandleAdmit answers a peer's request for a slot.
func (d *Dispatcher) HandleAdmit(ctx context.Context, from peer.Session, body []byte) (any, error) {
	call, err := peer.Decode[admitCall](body)
	if err != nil {
		return nil, err
	}
	id, reason, err := d.wait(ctx, from, call)
	if err != nil {
		return nil, err
	}
	return admitReply{Grant: id, Reason: reason}, nil
}

// HandleFinish takes a peer's note that a grant has ended.
func (d *Dispatcher) HandleFinish(body []byte) error {
	note, err := peer.Decode[finishNote](body)
	if err != nil {
		return err
	}
	d.finish(note.Target, note.Grant, note.Cost)
	return nil
}

// wait queues the request at this instance and waits for the decision.
func (d *Dispatcher) wait(ctx context.Context, from peer.Session, call admitCall) (uint64, admit.Reason, error) {
	id, decided := d.submit(from, call)
	select {
	case reason := <-decided:
		return id, reason, nil
	case <-ctx.Done():
		d.withdraw(call.Target, id, decided)
		return 0, 0, ctx.Err()
	}
}

func (d *Dispatcher) submit(from peer.Session, call admitCall) (uint64, chan admit.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(call.Target, call.Service)
	d.nextID++
	id := d.nextID
	decided := make(chan admit.Reason, 1)
	q.waiting[id] = decided
	if from.ID != "" {
		q.remote[id] = from
	}
	now := d.clock.Now()
	deadline := time.Duration(0)
	if call.Patience > 0 {
		deadline = now + call.Patience
	}
	q.settle(q.admit.Submit(now, admit.Request{
		ID: id, Flow: call.Request.Flow, Weight: max(call.Request.Weight, minWeight),
		Cost: call.Request.Cost, Class: call.Request.Class, Deadline: deadline,
	}))
	return id, decided
}

// minWeight keeps a peer's malformed weight from dividing by zero.
const minWeight = 1e-3

// settle hands decisions to the goroutines that wait for them.
func (q *queue) settle(verdicts []admit.Verdict) {
	for _, v := range verdicts {
		if v.Reason != 0 {
			delete(q.remote, v.ID)
		}
		if decided, ok := q.waiting[v.ID]; ok {
			delete(q.waiting, v.ID)
			decided <- v.Reason
		}
	}
}

// withdraw takes back a request that nobody waits for, granted or not.
func (d *Dispatcher) withdraw(target string, id uint64, decided chan admit.Reason) {
	d.mu.Lock()
	q := d.queues[target]
	delete(q.waiting, id)
	delete(q.remote, id)
	waiting := q.admit.Cancel(id)
	d.mu.Unlock()
	if waiting {
		return
	}
	select {
	case reason := <-decided:
		if reason == 0 {
			d.finish(target, id, 0)
		}
	default:
	}
}

func (d *Dispatcher) finish(target string, id uint64, cost float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[target]
	if q == nil {
		return
	}
	delete(q.remote, id)
	q.settle(q.admit.Finish(d.clock.Now(), id, cost))
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
				q.settle(q.admit.Finish(d.clock.Now(), id, 0))
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
			waiting: map[uint64]chan admit.Reason{}, remote: map[uint64]peer.Session{},
		}
		d.queues[target] = q
	}
	q.admit.SetLimits(limits)
	return q
}

// callerReserve is the part of a target's slots that samples leave free.
const callerReserve = 8

func (d *Dispatcher) limits(service string) admit.Limits {
	cfg := d.loop.Snapshot().Config
	if cfg == nil || cfg.Service(service) == nil {
		return admit.Limits{}
	}
	s := cfg.Service(service)
	return admit.Limits{Concurrency: s.Concurrency, Queue: s.QueueLimit, CallerReserve: s.Concurrency / callerReserve}
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
		q.settle(q.admit.Expire(d.clock.Now()))
	}
}
