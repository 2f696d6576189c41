// Package samples runs the owners of trainers: it generates the samples that
// core/sample asks for, offers numbered batches, and forwards trainers' calls to
// the instance that holds the trainer's lease.
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
	"github.com/amaranthfold/amaranthfold/internal/peer"
)

const (
	appendTimeout = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// Errors of trainers' calls.
var (
	ErrNoOwner        = errors.New("no instance owns the trainer at the moment")
	ErrUnknownTrainer = errors.New("trainer does not exist")
	ErrBadBatch       = errors.New("batch number does not match")
)

// Options are what a Manager works with.
type Options struct {
	Loop     *control.Loop
	Dispatch *dispatch.Dispatcher
	Engines  *engine.Client
	Peers    *peer.Pool
	Clock    clock.Clock
	Events   *events.Recorder
}

// Manager answers trainers. It is safe for concurrent use.
type Manager struct {
	Options
	scorer *scorerClient
	ctx    context.Context //nolint:containedctx // generation outlives the call that asked for it

	mu     sync.Mutex
	owners map[string]*owner
}

// owner is the runtime of one trainer at the holder of its lease.
type owner struct {
	term record.Offset

	mu    sync.Mutex
	state *sample.Owner
	open  *sample.Batch // offered and not acknowledged
}

// New returns a manager whose generations end with ctx.
func New(ctx context.Context, o Options) *Manager {
	return &Manager{Options: o, ctx: ctx, owners: map[string]*owner{}, scorer: newScorerClient()}
}

// SubmitRequest adds groups to a trainer's work.
type SubmitRequest struct {
	Groups []sample.Group `json:"groups" cbor:"1,keyasint"`
}

// NextRequest asks for the next batch.
type NextRequest struct {
	Version    int64 `json:"version" cbor:"1,keyasint"` // weight version that the trainer has reached
	Groups     int   `json:"groups" cbor:"2,keyasint"`  // at most
	Ack        int64 `json:"ack" cbor:"3,keyasint"`     // last batch received; zero: none
	WaitMillis int64 `json:"waitMillis" cbor:"4,keyasint"`
}

// local returns the runtime of a trainer whose lease this instance holds.
func (m *Manager) local(trainer string) (*owner, *config.Trainer, error) {
	cfg := m.Loop.Snapshot().Config
	if cfg == nil || cfg.Trainer(trainer) == nil {
		return nil, nil, fmt.Errorf("trainer %q: %w", trainer, ErrUnknownTrainer)
	}
	t := cfg.Trainer(trainer)
	guard, held := m.Loop.Held(control.TrainerLease(trainer), 0)
	if !held {
		return nil, t, fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[trainer]
	if o == nil || o.term != guard.Fencing {
		o = &owner{term: guard.Fencing, state: sample.NewOwner(t.MaxStaleness)}
		m.owners[trainer] = o
	}
	return o, t, nil
}

// submit starts the generation of new groups.
func (m *Manager) submit(trainer string, req SubmitRequest) error {
	o, t, err := m.local(trainer)
	if err != nil {
		return err
	}
	for _, g := range req.Groups {
		if g.Size == 0 {
			g.Size = t.GroupSize
		}
		o.mu.Lock()
		jobs, err := o.state.Submit(g)
		o.mu.Unlock()
		if err != nil {
			return err
		}
		m.generateAll(o, t, jobs)
	}
	return nil
}

// next acknowledges the last batch and returns the next, or nil if none is
// ready within the wait.
func (m *Manager) next(ctx context.Context, trainer string, req NextRequest) (*sample.Batch, error) {
	deadline := time.Now().Add(time.Duration(req.WaitMillis) * time.Millisecond)
	for {
		o, t, err := m.local(trainer)
		if err != nil {
			return nil, err
		}
		batch, err := m.offer(ctx, o, t, req)
		if err != nil || batch != nil || time.Now().After(deadline) {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// offer returns the open batch, or records and returns a new one.
func (m *Manager) offer(ctx context.Context, o *owner, t *config.Trainer, req NextRequest) (*sample.Batch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := m.acknowledge(ctx, o, t.Name, req.Ack); err != nil {
		return nil, err
	}
	if o.open != nil {
		return o.open, nil
	}
	ready, again := o.state.Next(req.Version, req.Groups)
	m.generateAll(o, t, again)
	if len(ready) == 0 {
		return nil, nil
	}
	return m.record(ctx, o, t.Name, ready)
}

// record writes the batch's ids to the ledger before the batch is first offered.
func (m *Manager) record(ctx context.Context, o *owner, trainer string, ready []sample.Sample) (*sample.Batch, error) {
	ledger := m.Loop.Snapshot().Ledgers[trainer]
	batch := &sample.Batch{Number: ledger.Number + 1, Samples: ready}
	ids := make([]string, len(ready))
	for i := range ready {
		ids[i] = ready[i].ID
	}
	body := record.Batch{Trainer: trainer, Number: batch.Number, Samples: ids}
	if _, err := m.Loop.Append(ctx, ledger.Current, body); err != nil {
		return nil, fmt.Errorf("batch %d of trainer %q: %w", batch.Number, trainer, err)
	}
	o.open = batch
	o.state.Delivered(ready)
	m.Events.Record("batch offered", events.F("trainer", trainer), events.F("batch", fmt.Sprint(batch.Number)))
	return batch, nil
}

// acknowledge closes the batch that the trainer says it has. Idempotent.
func (m *Manager) acknowledge(ctx context.Context, o *owner, trainer string, number int64) error {
	ledger := m.Loop.Snapshot().Ledgers[trainer]
	if number == 0 || number < ledger.Number || ledger.Acked && number == ledger.Number {
		return nil
	}
	if number > ledger.Number {
		return fmt.Errorf("trainer %q acknowledged batch %d, the last is %d: %w", trainer, number, ledger.Number, ErrBadBatch)
	}
	if _, err := m.Loop.Append(ctx, 0, record.BatchAck{Trainer: trainer, Number: number}); err != nil {
		return fmt.Errorf("acknowledge batch %d of trainer %q: %w", number, trainer, err)
	}
	o.open = nil
	return nil
}

// holder returns the address of the instance that holds the trainer's lease.
func (m *Manager) holder(trainer string) (string, error) {
	s := m.Loop.Snapshot()
	id, _, _ := strings.Cut(s.Leases[control.TrainerLease(trainer)].Holder, "@")
	p, known := s.PeerByID[id]
	if !known {
		return "", fmt.Errorf("trainer %q: %w", trainer, ErrNoOwner)
	}
	return p.Address, nil
}
