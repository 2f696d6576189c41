// Package samples runs the owners of trainers. The owner of a trainer is the instance
// that holds the trainer's lease; a Manager on every instance accepts the trainers'
// calls and forwards them to the owner.
//
// An owner generates the samples that core/sample schedules, mirrors groups and
// finished samples to a peer in another data centre, and delivers numbered batches. A
// batch is recorded in the log before it is first delivered; until it is acknowledged, it
// is delivered again with the same sample ids, also by a later owner. Trainers must
// acknowledge the last batch with their next request, and submit groups again that the
// owner reports as unknown.
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
	appendTimeout     = 5 * time.Second // of one record, until the local snapshot includes it
	batchPollInterval = 20 * time.Millisecond
	maxBatchWait      = 30 * time.Second // of one request for a batch
)

// Errors returned to trainers.
var (
	ErrNoOwner        = errors.New("no instance owns the trainer at the moment")
	ErrUnknownTrainer = errors.New("trainer does not exist")
)

// Options holds the dependencies of a Manager.
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

// Manager handles trainers' calls, runs the owners of the trainers whose leases this
// instance holds, and keeps mirrored samples for the owners of other instances. It is
// safe for concurrent use.
type Manager struct {
	Options
	scorer  *scorerClient
	mirrors *mirrorStore
	ctx     context.Context //nolint:containedctx // generation outlives the request

	mu     sync.Mutex
	owners map[string]*owner
}

// New returns a manager. Sample generation ends when ctx is done.
func New(ctx context.Context, o Options) *Manager {
	return &Manager{Options: o, ctx: ctx, owners: map[string]*owner{}, scorer: newScorerClient(), mirrors: newMirrorStore()}
}

// SubmitRequest submits groups whose samples are to be generated for a trainer.
type SubmitRequest struct {
	Groups []sample.Group `json:"groups" cbor:"1,keyasint"`
}

// NextRequest requests the next batch.
type NextRequest struct {
	Version    int64 `json:"version" cbor:"1,keyasint"` // weight version that the trainer has reached
	MaxGroups  int   `json:"groups" cbor:"2,keyasint"`  // maximum number of groups in the batch
	Ack        int64 `json:"ack" cbor:"3,keyasint"`     // number of the last batch received; zero: none
	WaitMillis int64 `json:"waitMillis" cbor:"4,keyasint"`
	// MinGroups is the minimum number of groups in the batch. It does not apply once no
	// sample is left to be generated.
	MinGroups int `json:"minGroups,omitempty" cbor:"5,keyasint"`
}

// trainerConfig returns the trainer's configuration. It fails with ErrUnknownTrainer if
// the trainer does not exist, and with ErrNoOwner if that cannot be decided, because the
// snapshot has no configuration or is older than FreshFor.
func (m *Manager) trainerConfig(s *control.Snapshot, trainer string) (*config.Trainer, error) {
	if s.Config != nil && s.Config.Trainer(trainer) != nil {
		return s.Config.Trainer(trainer), nil
	}
	if s.Config == nil || !s.Fresh(m.Clock.Now(), s.Config.Control.FreshFor) {
		return nil, fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	return nil, fmt.Errorf("trainer %q: %w", trainer, ErrUnknownTrainer)
}

// localOwner returns the owner of a trainer whose lease this instance holds, and starts
// it if the lease is new. It fails with ErrNoOwner if the lease is not held.
func (m *Manager) localOwner(trainer string) (*owner, error) {
	lease, held := m.Loop.Held(control.TrainerLease(trainer), 0)
	s := m.Loop.Snapshot()
	if _, err := m.trainerConfig(s, trainer); err != nil {
		return nil, err
	}
	// Batches of former holders precede the lease acquisition in the log. A snapshot at
	// or past the acquisition's offset therefore contains all of them.
	if !held || s.Offset < lease.Fencing {
		return nil, fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[trainer]
	if o != nil && o.term == lease.Fencing {
		return o, nil
	}
	if o != nil {
		o.cancel()
	}
	o = newOwner(m, trainer, lease.Fencing, s)
	m.owners[trainer] = o
	go o.run()
	return o, nil
}

// removeOwner removes an owner that has ended, unless a later term has replaced it.
func (m *Manager) removeOwner(o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners[o.trainer] == o {
		delete(m.owners, o.trainer)
	}
}

// Run starts owners for the trainers whose leases this instance holds, so that samples
// are generated before the trainer calls, and prunes the mirrored groups and samples. It
// returns when ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	return clock.Every(ctx, tickInterval, m.startOwners)
}

// startOwners prunes the mirror store and starts owners for the trainers whose leases this
// instance holds.
func (m *Manager) startOwners() {
	s := m.Loop.Snapshot()
	m.mirrors.prune(m.Clock.Now(), s)
	if s.Config == nil {
		return
	}
	for i := range s.Config.Trainers {
		_, _ = m.localOwner(s.Config.Trainers[i].Name) // fails for leases that other instances hold
	}
}

// submit adds the groups to the trainer's owner and syncs the mirror. It returns the
// joined errors of the groups that were not accepted.
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

// next acknowledges the last batch and returns the next one, or nil if none is ready
// within the requested wait.
func (m *Manager) next(ctx context.Context, trainer string, req NextRequest) (*sample.Batch, error) {
	wait := min(time.Duration(req.WaitMillis)*time.Millisecond, maxBatchWait)
	start := time.Now()
	defer func() { m.Measures.RecordTrainerWait(trainer, time.Since(start)) }()
	deadline := start.Add(wait)
	for {
		o, err := m.localOwner(trainer)
		if err != nil {
			return nil, err
		}
		batch, err := o.nextBatch(ctx, req)
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

// leaseHolderAddress returns the address of the peer that holds the trainer's lease. It
// fails with ErrNoOwner if there is no such peer.
func (m *Manager) leaseHolderAddress(trainer string) (string, error) {
	s := m.Loop.Snapshot()
	id, _, _ := strings.Cut(s.Leases[control.TrainerLease(trainer)].Holder, "@")
	p, known := s.PeerByID[id]
	if !known {
		return "", fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	return p.Address, nil
}

// holdsLease reports whether this instance still holds the trainer's lease in the owner's
// term, for at least minRemaining longer.
func (o *owner) holdsLease(minRemaining time.Duration) bool {
	lease, held := o.m.Loop.Held(control.TrainerLease(o.trainer), minRemaining)
	return held && lease.Fencing == o.term
}

// appendRecord appends a record to the log and waits until the local snapshot has
// reached its offset. It then refreshes the delivery state, whether the record was
// accepted, rejected or its outcome is unknown. If another record has superseded this one,
// it returns false without an error, and the delivery state contains the other record.
func (o *owner) appendRecord(ctx context.Context, supersedes record.Offset, body record.Body) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := o.m.Loop.Append(ctx, supersedes, body)
	for res.Offset > 0 && o.m.Loop.Snapshot().Offset < res.Offset && ctx.Err() == nil {
		time.Sleep(time.Millisecond) // the snapshot is published right after the result
	}
	o.refreshDeliveryState()
	if errors.Is(err, control.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
