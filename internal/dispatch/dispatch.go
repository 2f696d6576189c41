// Package dispatch admits requests to targets. The instance that owns a target holds
// its admission queue. Other instances request a slot from the owner over a peer
// session and then send the request to the target directly, so that responses take no
// extra hop.
//
// No guarantee depends on single ownership: during a change of ownership two owners
// may both grant slots and exceed the target's concurrency for a moment. A request
// that is still queued at an owner has not been sent to the target. When the owner
// fails, becomes suspect or loses the ownership, it is therefore safe to resubmit the
// request to the next owner. The code that calls Admit sends the request and finishes
// its grant.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/admit"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

// ErrRefused is wrapped by every RefusedError.
var ErrRefused = errors.New("not admitted")

// RefusedError reports that the owner refused a request. The request has not run.
type RefusedError struct {
	Target     string
	Reason     admit.Reason
	RetryAfter time.Duration // estimated time until a slot is free; zero: unknown
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %q refused the request: %s", e.Target, e.Reason)
}

// Unwrap makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Request is a request for one slot at a target.
type Request struct {
	Flow   string      `cbor:"1,keyasint"`
	Weight float64     `cbor:"2,keyasint"`
	Cost   float64     `cbor:"3,keyasint"` // estimated tokens
	Class  admit.Class `cbor:"4,keyasint"`
}

// ControlState provides snapshots of the control state and accepts the loads of the
// targets that this instance owns.
type ControlState interface {
	Snapshot() *control.Snapshot
	SetOwnLoads(ctx context.Context, loads []control.TargetLoad)
}

// Dispatcher holds the queues of the targets that this instance owns and requests
// slots of other targets from their owners. It is safe for concurrent use.
type Dispatcher struct {
	measures *measure.Measures // nil: finished grants are not recorded
	state    ControlState
	peers    *peer.Pool
	clock    clock.Clock

	mu          sync.Mutex
	queues      map[string]*queue // by target
	nextID      uint64
	table       *route.Table // routing table that the queues were last reconciled with
	remoteWaits map[uint64]remoteWait
	nextWaitID  uint64

	inFlight     *inFlight
	loadFailures *loadFailures
}

// New returns a dispatcher. Grant ids start at a random number, so that a late finish
// message for an earlier incarnation releases no current grant.
func New(state ControlState, peers *peer.Pool, c clock.Clock) *Dispatcher {
	return &Dispatcher{
		state: state, peers: peers, clock: c, nextID: rand.Uint64() >> 1,
		queues: map[string]*queue{}, remoteWaits: map[uint64]remoteWait{}, inFlight: newInFlight(), loadFailures: newLoadFailures(),
	}
}

// SetMeasures sets the measures that record the costs of finished grants. It must be
// called before Admit.
func (d *Dispatcher) SetMeasures(m *measure.Measures) { d.measures = m }

// Grant is a slot at a target, held until Finish.
type Grant struct {
	finish func(cost float64)
	once   sync.Once
}

// Finish releases the slot and reports the cost in tokens. It must be called once the
// request has ended; later calls do nothing.
func (g *Grant) Finish(cost float64) { g.once.Do(func() { g.finish(cost) }) }

// maxOwners is the number of remote owners that are tried before this instance admits
// the request itself.
const maxOwners = 2

// Admit waits for a slot at the target. It returns a *RefusedError if the request was
// refused, an error of the call to the owner, or ctx's error. After an error the
// request has not run.
func (d *Dispatcher) Admit(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	d.inFlight.begin(t.ID)
	grant, err := d.admitAtOwner(ctx, t, r)
	if err != nil {
		d.inFlight.end(t.ID)
		return nil, err
	}
	class := measure.Caller
	if r.Class == admit.ClassSample {
		class = measure.Sample
	}
	return &Grant{finish: func(cost float64) {
		d.inFlight.end(t.ID)
		if d.measures != nil {
			d.measures.RecordWork(t.DataCentre, t.Cheap, class, cost)
		}
		grant.finish(cost)
	}}, nil
}

// admitAtOwner requests a slot from the target's owner and, if that one fails, from the
// next owner. After maxOwners owners, or if an owner is this instance or not in the list
// of peers, it admits the request at this instance.
func (d *Dispatcher) admitAtOwner(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	var tried []string
	for len(tried) < maxOwners {
		s := d.state.Snapshot()
		owner := t.Owner
		if len(tried) > 0 {
			owner = nextOwner(s, t.ID, tried)
		}
		status, found := s.PeerByID[owner]
		if owner == s.Self.ID || !found {
			break
		}
		grant, err := d.admitRemote(ctx, status, t, r, len(tried) > 0)
		if err == nil || ctx.Err() != nil || !shouldTryNextOwner(err) {
			return grant, err
		}
		tried = append(tried, owner)
	}
	return d.admitLocal(ctx, t, r)
}

// shouldTryNextOwner reports whether to request the slot from the next owner, because
// this one was unreachable, disconnected or suspect, or does not own the queue.
func shouldTryNextOwner(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == admit.NotOwner
	}
	return errors.Is(err, peer.ErrLost) || errors.Is(err, peer.ErrUnreachable) || errors.Is(err, errOwnerSuspect)
}

// nextOwner returns the target's owner by rendezvous hash among the owners that were not
// tried.
func nextOwner(s *control.Snapshot, target string, tried []string) string {
	candidates := slices.DeleteFunc(slices.Clone(s.Owners), func(id string) bool { return slices.Contains(tried, id) })
	return member.Owner(target, candidates)
}

// admitLocal waits for a slot in this instance's own queue, even if this instance is not
// in the list of owners.
func (d *Dispatcher) admitLocal(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	id, decision, err := d.wait(ctx, peer.Session{}, admitRequest{Target: t.ID, Service: t.Service, Request: r, Timeout: timeLeft(ctx), Force: true})
	if err != nil {
		return nil, fmt.Errorf("admission to target %q: %w", t.ID, err)
	}
	if decision.Reason != 0 {
		return nil, &RefusedError{t.ID, decision.Reason, decision.RetryAfter}
	}
	return &Grant{finish: func(cost float64) { d.finish(peer.Session{}, t.ID, id, cost) }}, nil
}

// timeLeft returns the time until ctx's deadline, at least 1 ns, or zero if ctx has no
// deadline.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(time.Until(deadline), 1)
	}
	return 0
}
