// Package samples runs the owners of trainers: it generates the samples that
// core/sample asks for, mirrors them to a peer in another data centre, offers
// numbered batches, and forwards trainers' calls to the instance that holds the
// trainer's lease.
package samples

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/measure"
	"github.com/amaranthfold/amaranthfold/internal/metering"
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	appendTimeout     = 5 * time.Second
	batchPollInterval = 20 * time.Millisecond
	maxBatchWait      = 30 * time.Second // of one request for a batch
)

// Errors of trainers' calls.
var (
	ErrNoOwner        = errors.New("no instance owns the trainer at the moment")
	ErrUnknownTrainer = errors.New("trainer does not exist")
)

// Options are what a Manager works with.
type Options struct {
	Loop     *control.Loop
	Dispatch *dispatch.Dispatcher
	Engines  *engine.Client
	Peers    *peer.Pool
	Meter    *metering.Meter
	Clock    clock.Clock
	Events   *events.Recorder
	Measures *measure.Measures // nil: none
}

// Manager answers trainers. It is safe for concurrent use.
type Manager struct {
	Options
	scorer  *scorerClient
	mirrors *mirrorStore
	ctx     context.Context //nolint:containedctx // generation outlives the call that asked for it

	mu     sync.Mutex
	owners map[string]*owner
}

// New returns a manager whose generations end with ctx.
func New(ctx context.Context, o Options) *Manager {
	return &Manager{Options: o, ctx: ctx, owners: map[string]*owner{}, scorer: newScorerClient(), mirrors: newMirrorStore()}
}

// SubmitRequest adds groups to a trainer's work.
type SubmitRequest struct {
	Groups []sample.Group `json:"groups" cbor:"1,keyasint"`
}

// NextRequest asks for the next batch.
type NextRequest struct {
	Version    int64 `json:"version" cbor:"1,keyasint"` // weight version that the trainer has reached
	MaxGroups  int   `json:"groups" cbor:"2,keyasint"`  // at most
	Ack        int64 `json:"ack" cbor:"3,keyasint"`     // last batch received; zero: none
	WaitMillis int64 `json:"waitMillis" cbor:"4,keyasint"`
	MinGroups  int   `json:"minGroups,omitempty" cbor:"5,keyasint"` // fewer only when nothing more is to come
}

// trainerConfig returns the trainer's configuration. An instance that has not read
// the log to its end can't tell that a trainer does not exist.
func (m *Manager) trainerConfig(s *control.Snapshot, trainer string) (*config.Trainer, error) {
	if s.Config != nil && s.Config.Trainer(trainer) != nil {
		return s.Config.Trainer(trainer), nil
	}
	if s.Config == nil || !s.Fresh(m.Clock.Now(), s.Config.Control.FreshFor) {
		return nil, fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	return nil, fmt.Errorf("trainer %q: %w", trainer, ErrUnknownTrainer)
}

// localOwner returns the runtime of a trainer whose lease this instance holds.
func (m *Manager) localOwner(trainer string) (*owner, error) {
	guard, held := m.Loop.Held(control.TrainerLease(trainer), 0)
	s := m.Loop.Snapshot()
	if _, err := m.trainerConfig(s, trainer); err != nil {
		return nil, err
	}
	// Batches of former holders stand before the acquisition in the log: a
	// snapshot that has it has their last ledger.
	if !held || s.Offset < guard.Fencing {
		return nil, fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[trainer]
	if o != nil && o.term == guard.Fencing {
		return o, nil
	}
	if o != nil {
		o.cancel()
	}
	o = newOwner(m, trainer, guard.Fencing, s)
	m.owners[trainer] = o
	go o.run()
	return o, nil
}

// removeOwner drops an owner whose lease has moved on.
func (m *Manager) removeOwner(o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[o.trainer] == o {
		delete(m.owners, o.trainer)
	}
}

// Run takes up the trainers whose lease this instance holds, so that their
// groups are generated before they call, and prunes mirrors, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	return clock.Every(ctx, tickInterval, m.startOwners)
}

// startOwners begins with the trainers whose lease this instance has got.
func (m *Manager) startOwners() {
	s := m.Loop.Snapshot()
	m.mirrors.prune(m.Clock.Now(), s)
	if s.Config == nil {
		return
	}
	for i := range s.Config.Trainers {
		_, _ = m.localOwner(s.Config.Trainers[i].Name) // most are held elsewhere
	}
}

// submit adds groups to the trainer's work.
func (m *Manager) submit(ctx context.Context, t *config.Trainer, req SubmitRequest) error {
	o, err := m.localOwner(t.Name)
	if err != nil {
		return err
	}
	if err := o.awaitRestore(ctx); err != nil {
		return err
	}
	var errs []error
	for _, g := range req.Groups {
		if g.Size == 0 {
			g.Size = t.GroupSize
		}
		errs = append(errs, o.submit(g))
	}
	o.syncMirror(ctx, mirrorTimeout)
	return errors.Join(errs...)
}

// next acknowledges the last batch and returns the next, or nil if none is
// ready within the wait.
func (m *Manager) next(ctx context.Context, trainer string, req NextRequest) (*sample.Batch, error) {
	wait := min(time.Duration(req.WaitMillis)*time.Millisecond, maxBatchWait)
	asked := time.Now()
	defer func() { m.Measures.RecordTrainerWait(trainer, time.Since(asked)) }()
	deadline := asked.Add(wait)
	for {
		o, err := m.localOwner(trainer)
		if err != nil {
			return nil, err
		}
		batch, err := o.offer(ctx, req)
		if err != nil || batch != nil || time.Now().After(deadline) {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(batchPollInterval):
		}
	}
}

// leaseHolderAddress returns the address of the instance that holds the trainer's lease.
func (m *Manager) leaseHolderAddress(trainer string) (string, error) {
	s := m.Loop.Snapshot()
	id, _, _ := strings.Cut(s.Leases[control.TrainerLease(trainer)].Holder, "@")
	p, known := s.PeerByID[id]
	if !known {
		return "", fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	return p.Address, nil
}

// holdsLease reports whether the owner is still in charge for need longer.
func (o *owner) holdsLease(need time.Duration) bool {
	guard, held := o.m.Loop.Held(control.TrainerLease(o.trainer), need)
	return held && guard.Fencing == o.term
}

// appendRecord appends on behalf of the owner and follows the ledger that
// results, whatever became of the record. A record that lost a race is not
// accepted and no error: the owner follows the one that won.
func (o *owner) appendRecord(ctx context.Context, supersedes record.Offset, body record.Body) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := o.m.Loop.Append(ctx, supersedes, body)
	for res.Offset > 0 && o.m.Loop.Snapshot().Offset < res.Offset && ctx.Err() == nil {
		time.Sleep(time.Millisecond) // the snapshot follows the result at once
	}
	o.refreshDeliveryState()
	if errors.Is(err, control.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
