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
	tickInterval         = 50 * time.Millisecond
	minConcurrentSamples = 16   // samples generated at once, also before targets are known
	maxOpenGroups        = 4096 // groups that a trainer may have open
	meanTokensWindow     = 64   // samples that the typical length is averaged over
)

// owner is the runtime of one trainer at the holder of its lease.
type owner struct {
	m       *Manager
	trainer string
	term    record.Offset
	ctx     context.Context //nolint:containedctx // ends with the owner's term
	cancel  context.CancelFunc

	restored     chan struct{} // closed once the mirrors have been asked
	workReady    chan struct{}
	ledgerSlot   chan struct{} // one step of the ledger at a time
	minVersion   atomic.Int64  // oldest version that the trainer would take
	mirrorSender *mirrorSender

	mu            sync.Mutex
	state         *sample.Owner
	meanTokens    float64                 // tokens of a finished sample, averaged over the latest
	waitingSince  time.Duration           // when the trainer began to ask for the next batch; zero: it does not
	stepFirstSeen map[int64]time.Duration // when open steps were first seen
	lastDelivered *sample.Batch           // last handed over, for the pages of a forwarded answer
}

func newOwner(m *Manager, trainer string, term record.Offset, s *control.Snapshot) *owner {
	ctx, cancel := context.WithCancel(m.ctx)
	ledger := s.Deliveries[trainer]
	ledger.Trainer = trainer
	o := &owner{
		m: m, trainer: trainer, term: term, ctx: ctx, cancel: cancel,
		restored: make(chan struct{}), workReady: make(chan struct{}, 1), ledgerSlot: make(chan struct{}, 1),
		mirrorSender: newMirrorSender(trainer, term),
	}
	o.state = sample.NewOwner(limits(s, s.Config.Trainer(trainer)), ledger)
	return o
}

// limits bounds an owner by what its service can run and by what a trainer can
// still take before it goes stale.
func limits(s *control.Snapshot, t *config.Trainer) sample.Limits {
	slots := 0
	for _, target := range s.RoutingTable.Targets(t.Service) {
		slots += target.Capacity
	}
	return sample.Limits{
		MaxStaleness: int64(t.MaxStaleness),
		MaxRunning:   max(slots, minConcurrentSamples),
		MaxBuffered:  (t.MaxStaleness + 1) * t.GroupsPerStep * t.GroupSize,
		MaxGroups:    maxOpenGroups,
	}
}

// run fetches what a former owner left, then keeps samples running until the
// lease has moved on.
func (o *owner) run() {
	defer o.cancel()
	defer o.m.removeOwner(o)
	o.restore()
	go o.runMirror()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for o.holdsLease(0) {
		o.startSamples()
		select {
		case <-o.ctx.Done():
			return
		case <-o.workReady:
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
	if c := o.state.Snapshot(); len(c.Groups) > 0 {
		o.m.Events.Record("samples restored", events.F("trainer", o.trainer),
			events.F("groups", fmt.Sprint(len(c.Groups))), events.F("samples", fmt.Sprint(len(c.Samples))))
	}
}

// awaitRestore returns once the owner knows what a former one left.
func (o *owner) awaitRestore(ctx context.Context) error {
	select {
	case <-o.restored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startSamples starts the samples that the limits allow.
func (o *owner) startSamples() {
	s := o.m.Loop.Snapshot()
	t := s.Config.Trainer(o.trainer)
	if t == nil {
		return
	}
	o.refreshDeliveryState()
	o.mu.Lock()
	o.state.SetLimits(limits(s, t))
	jobs := o.state.StartJobs()
	o.mu.Unlock()
	for _, job := range jobs {
		go o.produce(t, job)
	}
}

// runMirror keeps the mirror up to date between hand-overs.
func (o *owner) runMirror() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-ticker.C:
		}
		if o.mirrorSender.needsSync() {
			o.syncMirror(o.ctx, backgroundMirrorTimeout)
		}
	}
}

// signalWork makes the owner look for samples to start.
func (o *owner) signalWork() {
	select {
	case o.workReady <- struct{}{}:
	default:
	}
}

// refreshDeliveryState takes over the ledger as the log has it now.
func (o *owner) refreshDeliveryState() {
	ledger := o.m.Loop.Snapshot().Deliveries[o.trainer]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.SetDeliveryState(ledger)
}

func (o *owner) submit(g sample.Group) error {
	o.mu.Lock()
	err := o.state.Submit(g)
	o.mu.Unlock()
	if err == nil {
		o.mirrorSender.add(sample.Snapshot{Groups: []sample.Group{g}})
		o.signalWork()
	}
	return err
}

// finish takes a generated sample.
func (o *owner) finish(job sample.Job, s sample.Sample) {
	o.mu.Lock()
	err := o.state.Finish(job.Index, s)
	if o.meanTokens == 0 {
		o.meanTokens = float64(s.Tokens())
	}
	o.meanTokens += (float64(s.Tokens()) - o.meanTokens) / meanTokensWindow
	o.mu.Unlock()
	if err != nil {
		o.m.Events.Record("sample dropped", events.F("sample", s.ID), events.F("error", err.Error()))
		return
	}
	o.mirrorSender.add(sample.Snapshot{Samples: []sample.Sample{s}})
	o.signalWork()
}

// recordFirstToken notes the version of a sample's first token.
func (o *owner) recordFirstToken(job sample.Job, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordFirstVersion(job, version)
}

func (o *owner) abandon(job sample.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Requeue(job)
}

// offer acknowledges what the trainer has, records the next batch if one is
// ready, and returns the open batch once it is whole and fresh.
func (o *owner) offer(ctx context.Context, req NextRequest) (*sample.Batch, error) {
	if err := o.awaitRestore(ctx); err != nil {
		return nil, err
	}
	select {
	case o.ledgerSlot <- struct{}{}:
		defer func() { <-o.ledgerSlot }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	o.refreshDeliveryState()
	if err := o.acknowledge(ctx, req.Ack); err != nil {
		return nil, err
	}
	if err := o.propose(ctx, req); err != nil {
		return nil, err
	}
	o.mu.Lock()
	batch, err := o.state.Offer(req.Version)
	o.minVersion.Store(o.state.MinVersion())
	o.mu.Unlock()
	if err != nil || batch == nil {
		o.signalWork()
		return nil, err
	}
	handed, err := o.deliver(ctx, batch)
	if err == nil {
		o.recordStaleness(handed, req.Version)
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
		o.recordUsage(batch)
	}
	o.signalWork()
	return nil
}

// propose records the next batch, if one is ready, before it is offered.
func (o *owner) propose(ctx context.Context, req NextRequest) error {
	o.mu.Lock()
	batch, ok := o.state.Propose(sample.Request{
		Version: req.Version, MaxGroups: req.MaxGroups, MinGroups: max(req.MinGroups, 1), WaitForExpiring: o.withinStepDeadline(req),
	})
	supersedes := o.state.DeliveryState().LastOffset
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

// withinStepDeadline reports whether the trainer may still be kept waiting for stragglers:
// no longer than its step's deadline.
func (o *owner) withinStepDeadline(req NextRequest) bool {
	now := o.m.Clock.Now()
	if o.waitingSince == 0 && req.MaxGroups > 0 {
		o.waitingSince = now
	}
	t := o.m.Loop.Snapshot().Config.Trainer(o.trainer)
	return t != nil && now-o.waitingSince < t.StepDeadline
}

// deliver mirrors the contents and checks the lease as the last step.
func (o *owner) deliver(ctx context.Context, batch *sample.Batch) (*sample.Batch, error) {
	o.syncMirror(ctx, mirrorTimeout)
	if !o.holdsLease(o.m.Loop.Snapshot().Config.Control.OrderFlight) {
		return nil, fmt.Errorf("trainer %q: %w", o.trainer, ErrNoOwner)
	}
	o.mu.Lock()
	o.lastDelivered, o.waitingSince = batch, 0
	o.mu.Unlock()
	o.m.Events.Record("batch offered", events.F("trainer", o.trainer),
		events.F("batch", fmt.Sprint(batch.Number)), events.F("samples", fmt.Sprint(len(batch.Samples))))
	return batch, nil
}
