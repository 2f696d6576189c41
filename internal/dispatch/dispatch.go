// Package dispatch admits requests to targets. The queue of a target lives at
// the instance that owns it; other instances ask the owner for a slot over drpc
// and then call the target themselves, so that answers take no extra hop.
//
// Ownership serves performance only: two owners of a target for a moment
// overcommit it. An owner that is lost, suspected or no longer the owner has run
// nothing for those who wait there, so they ask the next one.
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

// ErrRefused wraps a refusal. The request has not run.
var ErrRefused = errors.New("not admitted")

// RefusedError is an owner's refusal: the request has not run.
type RefusedError struct {
	Target     string
	Reason     admit.Reason
	RetryAfter time.Duration // likely time until a slot; zero: unknown
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

// ControlState is the control state that a dispatcher reads and reports to.
type ControlState interface {
	Snapshot() *control.Snapshot
	SetOwnLoads(ctx context.Context, loads []control.TargetLoad)
}

// Dispatcher holds the queues that this instance owns. It is safe for
// concurrent use.
type Dispatcher struct {
	measures *measure.Measures // nil: none
	loop     ControlState
	peers    *peer.Pool
	clock    clock.Clock

	mu          sync.Mutex
	queues      map[string]*queue // by target
	nextID      uint64
	table       *route.Table // that the queues were last compared with
	remoteWaits map[uint64]remoteWait
	nextWaitID  uint64

	inFlight     *inFlight
	loadFailures *loadFailures
}

// New returns a dispatcher. Its grants are numbered from a random start, so that
// a note meant for an earlier process ends none of them.
func New(loop ControlState, peers *peer.Pool, c clock.Clock) *Dispatcher {
	return &Dispatcher{
		loop: loop, peers: peers, clock: c, nextID: rand.Uint64() >> 1,
		queues: map[string]*queue{}, remoteWaits: map[uint64]remoteWait{}, inFlight: newInFlight(), loadFailures: newLoadFailures(),
	}
}

// SetMeasures makes finished grants count as work. It is called before Admit.
func (d *Dispatcher) SetMeasures(m *measure.Measures) { d.measures = m }

// Grant is a slot at a target. Finish must be called once.
type Grant struct {
	finish func(cost float64)
	once   sync.Once
}

// Finish returns the slot and tells the tokens used.
func (g *Grant) Finish(cost float64) { g.once.Do(func() { g.finish(cost) }) }

// maxOwners is how many owners are asked before the instance admits by itself.
const maxOwners = 2

// Admit waits for a slot at the target. The error is a *RefusedError, or a
// failure to reach the owner, or ctx's; in every case nothing has run.
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

// admitAtOwner asks the target's owner, then the next ones, then admits here.
func (d *Dispatcher) admitAtOwner(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	var tried []string
	for len(tried) < maxOwners {
		s := d.loop.Snapshot()
		owner := t.Owner
		if len(tried) > 0 {
			owner = nextOwner(s, t.ID, tried)
		}
		status, known := s.PeerByID[owner]
		if owner == s.Self.ID || !known {
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

// shouldTryNextOwner reports whether another owner may be asked: the first was not reached,
// was lost or suspected, or does not own the queue.
func shouldTryNextOwner(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == admit.NotOwner
	}
	return errors.Is(err, peer.ErrLost) || errors.Is(err, peer.ErrUnreachable) || errors.Is(err, errOwnerSuspect)
}

// nextOwner returns the owner of the target if those tried were gone.
func nextOwner(s *control.Snapshot, target string, tried []string) string {
	rest := slices.DeleteFunc(slices.Clone(s.Owners), func(id string) bool { return slices.Contains(tried, id) })
	return member.Owner(target, rest)
}

func (d *Dispatcher) admitLocal(ctx context.Context, t *route.Target, r Request) (*Grant, error) {
	id, v, err := d.wait(ctx, peer.Session{}, admitRequest{Target: t.ID, Service: t.Service, Request: r, Timeout: timeLeft(ctx), Force: true})
	if err != nil {
		return nil, fmt.Errorf("admission to target %q: %w", t.ID, err)
	}
	if v.Reason != 0 {
		return nil, &RefusedError{t.ID, v.Reason, v.RetryAfter}
	}
	return &Grant{finish: func(cost float64) { d.finish(peer.Session{}, t.ID, id, cost) }}, nil
}

// timeLeft is the time to ctx's deadline; zero: none.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(time.Until(deadline), 1)
	}
	return 0
}
