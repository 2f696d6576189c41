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
	minConcurrentSamples = 16   // lower bound of MaxRunning, also while the service has no target
	maxOpenGroups        = 4096 // submitted and not acknowledged, of one trainer
	meanTokensWindow     = 64   // samples in the moving average of the sample length
)

// owner generates and delivers the samples of one trainer while this instance holds the
// trainer's lease, for one term. The batches recorded in the log are authoritative: the
// owner reads them from the snapshot and records a batch before it delivers it.
type owner struct {
	m       *Manager
	trainer string
	term    record.Offset
	ctx     context.Context //nolint:containedctx // cancelled when the owner's term ends
	cancel  context.CancelFunc

	restored     chan struct{} // closed when the mirrored groups and samples have been restored
	workReady    chan struct{} // signals that samples may be startable
	deliverySlot chan struct{} // semaphore of one: serialises acknowledge, propose and deliver
	minVersion   atomic.Int64  // oldest weight version that the trainer's latest request accepts
	mirrorSender *mirrorSender

	mu            sync.Mutex
	state         *sample.Owner
	meanTokens    float64                 // moving average of the tokens of finished samples
	waitingSince  time.Duration           // first request since the last delivery; zero: none
	stepFirstSeen map[int64]time.Duration // by step number, of the open steps
	lastDelivered *sample.Batch           // source of the further pages of a forwarded reply
}

// newOwner returns an owner for the term that starts from the trainer's delivery state in
// s. The caller must start run.
func newOwner(m *Manager, trainer string, term record.Offset, s *control.Snapshot) *owner {
	ctx, cancel := context.WithCancel(m.ctx)
	deliveries := s.Deliveries[trainer]
	deliveries.Trainer = trainer
	o := &owner{
		m: m, trainer: trainer, term: term, ctx: ctx, cancel: cancel,
		restored: make(chan struct{}), workReady: make(chan struct{}, 1), deliverySlot: make(chan struct{}, 1),
		mirrorSender: newMirrorSender(trainer, term, m.Clock.Now()),
	}
	o.state = sample.NewOwner(limits(s, s.Config.Trainer(trainer)), deliveries)
	return o
}

// limits returns the owner's limits. MaxRunning is the number of slots of the service's
// targets, but at least minConcurrentSamples. MaxBuffered is the samples of MaxStaleness+1
// steps: more would be too stale for the trainer when they are delivered.
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

// run restores the groups and samples of former owners from the mirrors, then starts
// samples until the lease is no longer held.
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

// restore adds the groups and samples of former owners that the mirrors hold.
func (o *owner) restore() {
	defer close(o.restored)
	mirrored := o.m.fetchMirrors(o.ctx, o.trainer)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range mirrored {
		o.state.Restore(c)
	}
	if c := o.state.Snapshot(); len(c.Groups) > 0 {
		o.m.Events.Record("samples restored", events.F("trainer", o.trainer),
			events.F("groups", fmt.Sprint(len(c.Groups))), events.F("samples", fmt.Sprint(len(c.Samples))))
	}
}

// awaitRestore waits until restore is complete. It fails when ctx ends first.
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

// runMirror syncs the mirror in the background, in addition to the sync at each submission
// and delivery.
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

// signalWork makes run start samples without waiting for the next tick.
func (o *owner) signalWork() {
	select {
	case o.workReady <- struct{}{}:
	default:
	}
}

// refreshDeliveryState sets the delivery state to that of the current snapshot.
func (o *owner) refreshDeliveryState() {
	deliveries := o.m.Loop.Snapshot().Deliveries[o.trainer]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.SetDeliveryState(deliveries)
}

// submit adds a group and queues it for the mirror.
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

// finish records a generated sample, updates the mean length and queues the sample for
// the mirror.
func (o *owner) finish(job sample.GenerationRequest, s sample.Sample) {
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

// recordFirstToken records the weight version of a sample's first token.
func (o *owner) recordFirstToken(job sample.GenerationRequest, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.RecordFirstVersion(job, version)
}

// requeue makes a sample whose generation or scoring failed available to StartJobs again.
func (o *owner) requeue(job sample.GenerationRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Requeue(job)
}

// nextBatch acknowledges the batch that the trainer has received and records the next batch
// if one is ready. It returns the open batch (recorded and not acknowledged) if all its
// samples are finished and fresh enough for the trainer's version, otherwise nil.
func (o *owner) nextBatch(ctx context.Context, req NextRequest) (*sample.Batch, error) {
	if err := o.awaitRestore(ctx); err != nil {
		return nil, err
	}
	select {
	case o.deliverySlot <- struct{}{}:
		defer func() { <-o.deliverySlot }()
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
	batch, err := o.state.OpenBatch(req.Version)
	o.minVersion.Store(o.state.MinVersion())
	o.mu.Unlock()
	if err != nil || batch == nil {
		o.signalWork()
		return nil, err
	}
	delivered, err := o.deliver(ctx, batch)
	if err == nil {
		o.recordStaleness(delivered, req.Version)
	}
	return delivered, err
}

// acknowledge records in the log that the trainer has received the batch, and counts its
// samples if the record is accepted. It is idempotent.
func (o *owner) acknowledge(ctx context.Context, number int64) error {
	o.mu.Lock()
	needsRecord, err := o.state.Acknowledge(number)
	batch := o.state.OpenSamples()
	o.mu.Unlock()
	if err != nil || !needsRecord {
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

// propose records the next batch in the log if one is ready. A batch is delivered only
// after that.
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

// withinStepDeadline reports whether the trainer has waited less than its step deadline.
// Until then no batch is proposed while a running sample would be too stale for the
// trainer's next version. It sets waitingSince at the first request since the last
// delivery. The caller must hold mu.
func (o *owner) withinStepDeadline(req NextRequest) bool {
	now := o.m.Clock.Now()
	if o.waitingSince == 0 && req.MaxGroups > 0 {
		o.waitingSince = now
	}
	t := o.m.Loop.Snapshot().Config.Trainer(o.trainer)
	return t != nil && now-o.waitingSince < t.StepDeadline
}

// deliver syncs the mirror and then, as the last step before the batch is returned, checks
// that the lease is held for at least OrderFlight longer. It fails with ErrNoOwner if it is
// not, so that a former owner delivers no batch.
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
