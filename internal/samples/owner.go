package samples

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/core/sample"
	"github.com/amaranthfold/amaranthfold/internal/control"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

const (
	pumpInterval = 50 * time.Millisecond
	minRunning   = 16   // samples generated at once, also before targets are known
	maxGroups    = 4096 // groups that a trainer may have open
	typicalOver  = 64   // samples that the typical length is averaged over
)

// owner is the runtime of one trainer at the holder of its lease.
type owner struct {
	m       *Manager
	trainer string
	term    record.Offset
	ctx     context.Context //nolint:containedctx // ends with the owner's term
	cancel  context.CancelFunc

	restored chan struct{} // closed once the mirrors have been asked
	wake     chan struct{}
	serial   chan struct{} // one step of the ledger at a time
	floor    atomic.Int64  // oldest version that the trainer would take
	replica  *replica

	mu      sync.Mutex
	state   *sample.Owner
	typical float64                 // tokens of a finished sample, averaged over the latest
	askedAt time.Duration           // when the trainer began to ask for the next batch; zero: it does not
	seen    map[int64]time.Duration // when open steps were first seen
	offered *sample.Batch           // last handed over, for the pages of a forwarded answer
}

func newOwner(m *Manager, trainer string, term record.Offset, s *control.Snapshot) *owner {
	ctx, cancel := context.WithCancel(m.ctx)
	ledger := s.Ledgers[trainer]
	ledger.Trainer = trainer
	o := &owner{
		m: m, trainer: trainer, term: term, ctx: ctx, cancel: cancel,
		restored: make(chan struct{}), wake: make(chan struct{}, 1), serial: make(chan struct{}, 1),
		replica: newReplica(trainer, term),
	}
	o.state = sample.NewOwner(limits(s, s.Config.Trainer(trainer)), ledger)
	return o
}

// limits bounds an owner by what its service can run and by what a trainer can
// still take before it goes stale.
func limits(s *control.Snapshot, t *config.Trainer) sample.Limits {
	slots := 0
	for _, target := range s.Targets.Targets(t.Service) {
		slots += target.Capacity
	}
	return sample.Limits{
		MaxStaleness: int64(t.MaxStaleness),
		Running:      max(slots, minRunning),
		Buffered:     (t.MaxStaleness + 1) * t.GroupsPerStep * t.GroupSize,
		Groups:       maxGroups,
	}
}

// run fetches what a former owner left, then keeps samples running until the
// lease has moved on.
func (o *owner) run() {
	defer o.cancel()
	defer o.m.forget(o)
	o.restore()
	go o.mirror()
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for o.held(0) {
		o.pump()
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-ticker.C:
		}
	}
}

func (o *owner) restore() {
	defer close(o.restored)
	found := o.m.fetchMirrors(o.ctx, o.trainer)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range found {
		o.state.Restore(c)
	}
	if c := o.state.Contents(); len(c.Groups) > 0 {
		o.m.Events.Record("samples restored", events.F("trainer", o.trainer),
			events.F("groups", fmt.Sprint(len(c.Groups))), events.F("samples", fmt.Sprint(len(c.Samples))))
	}
}

// await returns once the owner knows what a former one left.
func (o *owner) await(ctx context.Context) error {
	select {
	case <-o.restored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pump starts the samples that the limits allow.
func (o *owner) pump() {
	s := o.m.Loop.Snapshot()
	t := s.Config.Trainer(o.trainer)
	if t == nil {
		return
	}
	o.follow()
	o.mu.Lock()
	o.state.SetLimits(limits(s, t))
	jobs := o.state.Take()
	o.mu.Unlock()
	for _, job := range jobs {
		go o.produce(t, job)
	}
}

// mirror keeps the mirror up to date between hand-overs.
func (o *owner) mirror() {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		}
		if o.replica.dirty() {
			o.flush(o.ctx, mirrorPeriod)
		}
	}
}

// nudge makes the owner look for samples to start.
func (o *owner) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// follow takes over the ledger as the log has it now.
func (o *owner) follow() {
	ledger := o.m.Loop.Snapshot().Ledgers[o.trainer]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Follow(ledger)
}

func (o *owner) submit(g sample.Group) error {
	o.mu.Lock()
	err := o.state.Submit(g)
	o.mu.Unlock()
	if err == nil {
		o.replica.add(sample.Contents{Groups: []sample.Group{g}})
		o.nudge()
	}
	return err
}

// finish takes a generated sample.
func (o *owner) finish(job sample.Job, s sample.Sample) {
	o.mu.Lock()
	err := o.state.Finish(job.Index, s)
	if o.typical == 0 {
		o.typical = float64(s.Tokens())
	}
	o.typical += (float64(s.Tokens()) - o.typical) / typicalOver
	o.mu.Unlock()
	if err != nil {
		o.m.Events.Record("sample dropped", events.F("sample", s.ID), events.F("error", err.Error()))
		return
	}
	o.replica.add(sample.Contents{Samples: []sample.Sample{s}})
	o.nudge()
}

// began notes the version of a sample's first token.
func (o *owner) began(job sample.Job, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Began(job, version)
}

func (o *owner) abandon(job sample.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Abandon(job)
}

// offer acknowledges what the trainer has, records the next batch if one is
// ready, and returns the open batch once it is whole and fresh.
func (o *owner) offer(ctx context.Context, req NextRequest) (*sample.Batch, error) {
	if err := o.await(ctx); err != nil {
		return nil, err
	}
	select {
	case o.serial <- struct{}{}:
		defer func() { <-o.serial }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	o.follow()
	if err := o.acknowledge(ctx, req.Ack); err != nil {
		return nil, err
	}
	if err := o.propose(ctx, req); err != nil {
		return nil, err
	}
	o.mu.Lock()
	batch, err := o.state.Offer(req.Version)
	o.floor.Store(o.state.Floor())
	o.mu.Unlock()
	if err != nil || batch == nil {
		o.nudge()
		return nil, err
	}
	handed, err := o.handOver(ctx, batch)
	if err == nil {
		o.measure(handed, req.Version)
	}
	return handed, err
}

// acknowledge records that the trainer has the batch. Idempotent.
func (o *owner) acknowledge(ctx context.Context, number int64) error {
	o.mu.Lock()
	needed, err := o.state.Acknowledge(number)
	batch := o.state.OpenSamples()
	o.mu.Unlock()
	if err != nil || !needed {
		return err
	}
	accepted, err := o.appendRecord(ctx, 0, record.BatchAck{Trainer: o.trainer, Number: number})
	if err != nil {
		return fmt.Errorf("acknowledge batch %d of trainer %q: %w", number, o.trainer, err)
	}
	if accepted {
		o.bill(batch)
	}
	o.nudge()
	return nil
}

// propose records the next batch, if one is ready, before it is offered.
func (o *owner) propose(ctx context.Context, req NextRequest) error {
	o.mu.Lock()
	batch, ok := o.state.Propose(sample.Request{
		Version: req.Version, Groups: req.Groups, Least: max(req.MinGroups, 1), Hold: o.mayHold(req),
	})
	supersedes := o.state.Ledger().Current
	o.mu.Unlock()
	if !ok {
		return nil
	}
	batch.Term = o.term
	if _, err := o.appendRecord(ctx, supersedes, batch); err != nil {
		return fmt.Errorf("batch %d of trainer %q: %w", batch.Number, o.trainer, err)
	}
	return nil
}

// mayHold reports whether the trainer may still be kept waiting for stragglers:
// no longer than its step's deadline.
func (o *owner) mayHold(req NextRequest) bool {
	now := o.m.Clock.Now()
	if o.askedAt == 0 && req.Groups > 0 {
		o.askedAt = now
	}
	t := o.m.Loop.Snapshot().Config.Trainer(o.trainer)
	return t != nil && now-o.askedAt < t.StepDeadline
}

// handOver mirrors the contents and checks the lease as the last step.
func (o *owner) handOver(ctx context.Context, batch *sample.Batch) (*sample.Batch, error) {
	o.flush(ctx, mirrorTimeout)
	if !o.held(o.m.Loop.Snapshot().Config.Control.OrderFlight) {
		return nil, fmt.Errorf("trainer %q: %w", o.trainer, ErrNoOwner)
	}
	o.mu.Lock()
	o.offered, o.askedAt = batch, 0
	o.mu.Unlock()
	o.m.Events.Record("batch offered", events.F("trainer", o.trainer),
		events.F("batch", fmt.Sprint(batch.Number)), events.F("samples", fmt.Sprint(len(batch.Samples))))
	return batch, nil
}
