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

// errOwnerSuspect ends the wait at an owner that has stopped sending heartbeats.
var errOwnerSuspect = errors.New("the owner has stopped sending heartbeats")

// admitRequest is the message of a remote request for a slot.
type admitRequest struct {
	Target  string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Request Request `cbor:"3,keyasint"`
	// Timeout is the time to the caller's deadline; zero: none.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Force asks an instance that is not the owner: the owner has failed.
	Force bool `cbor:"5,keyasint"`
}

// admitReply is the owner's answer: a grant when Reason is zero.
type admitReply struct {
	Grant      uint64        `cbor:"1,keyasint"`
	Reason     admit.Reason  `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
}

// finishMessage ends a remote grant.
type finishMessage struct {
	Target string  `cbor:"1,keyasint"`
	Grant  uint64  `cbor:"2,keyasint"`
	Cost   float64 `cbor:"3,keyasint"` // tokens used
}

// remoteWait is a request that waits at another instance.
type remoteWait struct {
	owner  string
	cancel context.CancelCauseFunc
}

// admitRemote asks the owner for a slot. A grant that comes after the caller has
// gone is returned at once.
func (d *Dispatcher) admitRemote(ctx context.Context, owner member.Status, t *route.Target, r Request, insist bool) (*Grant, error) {
	waitCtx, done := d.remoteWaitContext(ctx, owner.ID)
	defer done()
	call := admitRequest{Target: t.ID, Service: t.Service, Request: r, Timeout: timeLeft(ctx), Force: insist}
	late := func(body []byte) {
		if reply, err := peer.Decode[admitReply](body); err == nil && reply.Reason == 0 {
			d.finishRemote(context.WithoutCancel(ctx), owner.Address, finishMessage{Target: t.ID, Grant: reply.Grant})
		}
	}
	var reply admitReply
	err := d.peers.CallWithLateReply(waitCtx, owner.Address, peer.KindAdmit, call, &reply, late)
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

// finishRemote returns a slot. A lost session has returned it already.
func (d *Dispatcher) finishRemote(ctx context.Context, address string, note finishMessage) {
	_ = d.peers.Send(ctx, address, peer.KindFinish, note)
}

// remoteWaitContext returns a context that ends when the owner is suspected.
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

// cancelSuspectWaits ends the waits at owners that are suspected or gone.
func (d *Dispatcher) cancelSuspectWaits() {
	s := d.loop.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.remoteWaits {
		if p, known := s.PeerByID[w.owner]; !known || p.Suspect {
			w.cancel(errOwnerSuspect)
		}
	}
}

// HandleAdmit answers a peer's request for a slot.
func (d *Dispatcher) HandleAdmit(ctx context.Context, from peer.Session, body []byte) (any, error) {
	call, err := peer.Decode[admitRequest](body)
	if err != nil {
		return nil, err
	}
	id, v, err := d.wait(ctx, from, call)
	if err != nil {
		return nil, err
	}
	return admitReply{Grant: id, Reason: v.Reason, RetryAfter: v.RetryAfter}, nil
}

// HandleFinish takes a peer's note that a grant has ended.
func (d *Dispatcher) HandleFinish(from peer.Session, body []byte) error {
	note, err := peer.Decode[finishMessage](body)
	if err != nil {
		return err
	}
	d.finish(from, note.Target, note.Grant, note.Cost)
	return nil
}
