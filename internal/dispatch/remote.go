package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// errOwnerSuspect is the cause that ends the wait at an owner that is suspect or no
// longer in the list of peers.
var errOwnerSuspect = errors.New("the owner has stopped sending heartbeats")

// admitRequest is the body of a KindAdmit call.
type admitRequest struct {
	Target  string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Request Request `cbor:"3,keyasint"`
	// Timeout is the time until the caller's deadline; zero: no deadline.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Force makes the receiver skip the check that it is in the list of owners. It is
	// set after an earlier owner has failed.
	Force bool `cbor:"5,keyasint"`
}

// admitReply is the owner's reply: a grant if Reason is zero, else a refusal.
type admitReply struct {
	Grant      uint64        `cbor:"1,keyasint"`
	Reason     admit.Reason  `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// finishMessage is the body of a KindFinish message, which ends a remote grant.
type finishMessage struct {
	Target string  `cbor:"1,keyasint"`
	Grant  uint64  `cbor:"2,keyasint"`
	Cost   float64 `cbor:"3,keyasint"` // tokens used
}

// remoteWait is a request of this instance that waits at an owner.
type remoteWait struct {
	owner  string
	cancel context.CancelCauseFunc
}

// admitRemote requests a slot from the owner. A grant that arrives after ctx has ended
// is released at once.
func (d *Dispatcher) admitRemote(ctx context.Context, owner member.Status, t *route.Target, r Request, force bool) (*Grant, error) {
	waitCtx, done := d.remoteWaitContext(ctx, owner.ID)
	defer done()
	req := admitRequest{Target: t.ID, Service: t.Service, Request: r, Timeout: timeLeft(ctx), Force: force}
	onLateReply := func(body []byte) {
		if reply, err := peer.Decode[admitReply](body); err == nil && reply.Reason == 0 {
			d.finishRemote(context.WithoutCancel(ctx), owner.Address, finishMessage{Target: t.ID, Grant: reply.Grant})
		}
	}
	var reply admitReply
	err := d.peers.CallWithLateReply(waitCtx, owner.Address, peer.KindAdmit, req, &reply, onLateReply)
	if cause := context.Cause(waitCtx); err != nil && ctx.Err() == nil && errors.Is(cause, errOwnerSuspect) {
		err = cause
	}
	if err != nil {
		return nil, fmt.Errorf("admission to target %q at %q: %w", t.ID, owner.ID, err)
	}
	if reply.Reason != 0 {
		return nil, &RefusedError{t.ID, reply.Reason, reply.RetryAfter}
	}
	return &Grant{finish: func(cost float64) {
		d.finishRemote(context.WithoutCancel(ctx), owner.Address, finishMessage{Target: t.ID, Grant: reply.Grant, Cost: cost})
	}}, nil
}

// finishRemote releases a slot at its owner. An error of Send is ignored: the owner
// releases all slots of a session that has ended.
func (d *Dispatcher) finishRemote(ctx context.Context, address string, msg finishMessage) {
	_ = d.peers.Send(ctx, address, peer.KindFinish, msg)
}

// remoteWaitContext returns a context that also ends when the owner becomes suspect, and
// a function that releases it.
func (d *Dispatcher) remoteWaitContext(ctx context.Context, owner string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextWaitID++
	id := d.nextWaitID
	d.remoteWaits[id] = remoteWait{owner, cancel}
	return ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.remoteWaits, id)
		cancel(nil)
	}
}

// cancelSuspectWaits ends the waits at owners that are suspect or no longer in the list
// of peers.
func (d *Dispatcher) cancelSuspectWaits() {
	s := d.state.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.remoteWaits {
		if p, found := s.PeerByID[w.owner]; !found || p.Suspect {
			w.cancel(errOwnerSuspect)
		}
	}
}

// HandleAdmit handles a peer's request for a slot and returns the admitReply.
func (d *Dispatcher) HandleAdmit(ctx context.Context, from peer.Session, body []byte) (any, error) {
	req, err := peer.Decode[admitRequest](body)
	if err != nil {
		return nil, err
	}
	id, decision, err := d.wait(ctx, from, req)
	if err != nil {
		return nil, err
	}
	return admitReply{Grant: id, Reason: decision.Reason, RetryAfter: decision.RetryAfter}, nil
}

// HandleFinish handles a peer's finish message and releases the slot.
func (d *Dispatcher) HandleFinish(from peer.Session, body []byte) error {
	msg, err := peer.Decode[finishMessage](body)
	if err != nil {
		return err
	}
	d.finish(from, msg.Target, msg.Grant, msg.Cost)
	return nil
}
