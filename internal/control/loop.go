package control

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/drain"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/lease"
	"github.com/amaranthfold/amaranthfold/core/member"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/peer"
	"github.com/amaranthfold/amaranthfold/internal/platform"
)

const (
	tickInterval = 50 * time.Millisecond
	inboxSize    = 1024
)

// DeploymentLease is the lease of the instance in charge of orders and bills.
const DeploymentLease = "deployment"

// TrainerLease names the lease of a trainer's owner.
func TrainerLease(trainer string) string { return record.TrainerLease(trainer) }

// Options are what a Loop works with.
type Options struct {
	Self       member.Peer
	Deployment string
	Clock      clock.Clock
	Log        LogClient
	List       *platform.InstanceList
	Orders     func(dataCentre string) *platform.Orders
	Peers      *peer.Pool
	Events     *events.Recorder
}

// Loop owns an instance's control state.
type Loop struct {
	Options
	holder string // name in leases: instance and incarnation

	inbox      chan message
	done       chan struct{} // closed when the control goroutine has ended
	snapshot   atomic.Pointer[Snapshot]
	heldLeases atomic.Pointer[map[string]HeldLease]
	appender   *appender
	recent     *recentLog
	// heartbeatHook adds what other packages tell peers in each heartbeat.
	heartbeatHook  atomic.Pointer[func(*Heartbeat)]
	requestCounter atomic.Pointer[RequestCounter]

	// The rest belongs to the control goroutine.
	state             *fold.State
	leases            map[string]*lease.Machine
	members           *member.Table
	targets           map[string][]platform.Target // by data centre
	targetsAt         map[string]time.Duration     // when targets was asked for
	loads             map[string]TargetLoad        // by target
	loadsAt           map[string]time.Duration     // by when loads were true at the latest
	loadReporter      map[string]string            // peer that reported last, by target
	targetsReportedBy map[string][]string          // targets that a peer reports, by peer
	own               []TargetLoad
	waiters           map[record.ID]chan fold.Result
	pendingResults    []waiterResult // to be sent once their records are in the snapshot
	freshAt           time.Duration
	routing           *routing
	keys              *KeyIndex
	keyDigests        map[string][32]byte // by key id
	caughtUp          bool                // the log has once shown its end
	halted            string              // why the control roles have stopped; empty: they have not
	digests           *digestComparison
	remoteSummaries   map[string]receivedSummary // by data centre
	view              *membershipView
	logView           *logView
	peerHealth        map[string]PeerHealth // by peer; replaced by every change

	encodedState     []record.Checkpoint // the state as last given to a joining peer
	encodedStateAt   time.Duration
	checkpointSeen   record.Offset // state.Checkpoint.Offset when last looked at
	checkpointAt     time.Duration // when it changed
	checkpointSent   record.Offset // state of the checkpoint that this instance last wrote
	checkpointSentAt time.Duration

	keysVersion         uint64
	keyCount            int             // keys when the index was last known to match
	outOfService        map[string]bool // targets out of service
	outOfServiceFencing record.Offset   // holder that said so
	health              recordedHealth
	claimants           []string // instances that the claims are spaced over
	releasing           bool
	claimsStopped       bool
	drainWatch          *drain.Tracker
	idleSince           map[string]time.Duration // drained targets without requests; replaced by every change
	drains              map[string]record.Offset // copy of the state's, replaced by every change
}

// New returns a loop that has read nothing.
func New(o Options) *Loop {
	l := &Loop{
		Options:           o,
		holder:            HolderName(o.Self),
		inbox:             make(chan message, inboxSize),
		done:              make(chan struct{}),
		state:             fold.New(),
		drainWatch:        drain.New(),
		leases:            map[string]*lease.Machine{},
		targets:           map[string][]platform.Target{},
		targetsAt:         map[string]time.Duration{},
		loads:             map[string]TargetLoad{},
		loadsAt:           map[string]time.Duration{},
		waiters:           map[record.ID]chan fold.Result{},
		routing:           newRouting(),
		recent:            newRecentLog(),
		digests:           newAgreement(),
		remoteSummaries:   map[string]receivedSummary{},
		loadReporter:      map[string]string{},
		targetsReportedBy: map[string][]string{},
	}
	l.health = newHealth()
	l.indexKeys()
	l.members = member.NewTable(o.Self, time.Second)
	l.checkpointAt = o.Clock.Now()
	l.appender = newAppender(o.Log, o.Clock, o.Events)
	l.heldLeases.Store(&map[string]HeldLease{})
	l.publish()
	return l
}

// HolderName is how an incarnation of an instance is named in leases.
func HolderName(p member.Peer) string { return fmt.Sprintf("%s@%d", p.ID, p.Incarnation) }

// Holder returns this instance's name in leases.
func (l *Loop) Holder() string { return l.holder }

// Snapshot returns the latest published state.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run keeps the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.tail(ctx) })
	g.Go(func() error { return l.appender.run(ctx) })
	g.Go(func() error { return l.pollList(ctx) })
	g.Go(func() error { return l.pollTargets(ctx) })
	g.Go(func() error { return l.runHeartbeats(ctx) })
	g.Go(func() error { return l.loop(ctx) })
	return g.Wait()
}

func (l *Loop) loop(ctx context.Context) error {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			m.handle(l)
		case <-ticker.C:
			tick{}.handle(l)
		}
		l.publish()
		l.notifyWaiters()
	}
}

// post hands a message to the control goroutine.
func (l *Loop) post(ctx context.Context, m message) {
	select {
	case l.inbox <- m:
	case <-l.done:
	case <-ctx.Done():
	}
}

// tryPost hands over a message unless the control goroutine is far behind. What
// peers send again is offered, so that it never holds up their other messages.
func (l *Loop) tryPost(m message) {
	select {
	case l.inbox <- m:
	default:
	}
}

// OnHeartbeat sets a function that completes each heartbeat before it is sent.
func (l *Loop) OnHeartbeat(f func(*Heartbeat)) { l.heartbeatHook.Store(&f) }

// SetOwnLoads takes the loads of the targets that this instance owns.
func (l *Loop) SetOwnLoads(ctx context.Context, loads []TargetLoad) { l.post(ctx, ownLoads{loads}) }

// ReleaseLeases stops acting for every lease at once, releases each when the calls that
// it covered have ended, and stops owning queues.
func (l *Loop) ReleaseLeases(ctx context.Context) { l.post(ctx, releaseLeases{}) }

// onRecordApplied follows up on one record.
func (l *Loop) onRecordApplied(now time.Duration, res fold.Result) {
	l.Events.Observe(res.Envelope.Timestamp)
	l.recordLogEvent(res)
	switch b := res.Body.(type) {
	case record.Lease:
		l.machine(b.Name).Observe(now, res.Envelope.ID, res.Verdict, l.state.Leases[b.Name])
	case record.Config:
		l.onConfigRecord(res)
	case record.TargetDrain:
		l.drainsChanged()
	case record.KeyGrant:
		l.keyGranted(b.KeyID)
	case record.KeyWithdraw:
		l.keyWithdrawn(b.KeyID)
	}
	l.keyCount = len(l.state.Keys)
	if res.Envelope.Author == l.holder {
		l.appender.remove(res.Envelope.ID)
	}
	if w, ok := l.waiters[res.Envelope.ID]; ok {
		delete(l.waiters, res.Envelope.ID)
		l.pendingResults = append(l.pendingResults, waiterResult{w, res})
	}
}

// waiterResult is a folded record's result on its way to whoever appended it.
type waiterResult struct {
	to     chan<- fold.Result
	result fold.Result
}

// notifyWaiters tells appenders what became of their records. It follows publish:
// whoever learns that a record holds finds it in the snapshot.
func (l *Loop) notifyWaiters() {
	for _, a := range l.pendingResults {
		a.to <- a.result
	}
	l.pendingResults = l.pendingResults[:0]
}

func (l *Loop) onConfigRecord(res fold.Result) {
	cfg := l.state.Config()
	if res.Verdict != fold.Accepted || cfg == nil {
		return
	}
	l.applyConfig()
	if len(l.state.Keys) != l.keyCount { // keys of accounts that are gone
		l.indexKeys()
	}
}

// applyConfig follows up on the configuration in force.
func (l *Loop) applyConfig() {
	cfg := l.state.Config()
	if cfg == nil {
		return
	}
	l.members.SetHeartbeat(cfg.Control.Heartbeat)
	for _, m := range l.leases {
		m.SetTiming(timing(cfg))
	}
}

func timing(cfg *config.Config) lease.Timing {
	return lease.Timing{Term: cfg.Control.LeaseTerm, DriftMargin: cfg.Control.DriftMargin}
}

func (m listRead) handle(l *Loop) {
	peers := make([]member.Peer, 0, len(m.instances))
	listed := make(map[string]bool, len(m.instances))
	for _, i := range m.instances {
		listed[i.ID] = true
		peers = append(peers, member.Peer{
			ID: i.ID, Incarnation: i.Incarnation, DataCentre: i.DataCentre,
			Address: i.Address, Operator: i.Operator, Leaving: i.State == platform.InstanceLeaving,
		})
	}
	l.members.ApplyList(l.Clock.Now(), peers)
	l.digests.removeUnlisted(listed)
	maps.DeleteFunc(l.targetsReportedBy, func(id string, _ []string) bool { return !listed[id] })
}

func (m targetsRead) handle(l *Loop) { l.setTargets(m.dataCentre, m.targets) }

func (m targetsRequested) handle(l *Loop) { l.targetsAt[m.dataCentre] = m.at }

func (m ownLoads) handle(l *Loop) {
	l.own = m.loads
	for _, load := range m.loads {
		l.setLoad(load)
		l.loadsAt[load.Target] = l.Clock.Now() - loadReadTimeout
	}
}

func (m addWaiter) handle(l *Loop) { l.waiters[m.id] = m.result }

func (m removeWaiter) handle(l *Loop) { delete(l.waiters, m.id) }

func (releaseLeases) handle(l *Loop) {
	l.releasing = true
	l.members.SetLeaving()
	for _, m := range l.leases {
		m.StepDown(l.Clock.Now(), l.maxCallTime())
	}
}

func (tick) handle(l *Loop) {
	cfg := l.state.Config()
	if cfg == nil || l.halted != "" {
		return
	}
	l.recordHealthChanges()
	l.followDrains(l.Clock.Now())
	for _, name := range lease.Names(cfg, TrainerLease) {
		l.machine(name)
	}
	l.updateClaimDelays()
	now := l.Clock.Now()
	for _, m := range l.leases {
		if a := m.Tick(now, newID); a != nil {
			l.appendLease(now, a)
		}
	}
}

// appendLease queues a lease record until its term has passed; by then it could
// only void a newer one. A record that cannot be queued counts as lost.
func (l *Loop) appendLease(now time.Duration, a *lease.AppendRequest) {
	data, err := l.encode(a.ID, l.state.Applied, a.Supersedes, a.Body)
	if err == nil {
		err = l.appender.submit(&entry{id: a.ID, class: classUrgent, data: [][]byte{data}, expiresAt: now + a.Body.Duration})
	}
	if err != nil {
		l.Events.Record("lease record lost", events.F("lease", a.Body.Name), events.F("error", err.Error()))
	}
}

func (l *Loop) machine(name string) *lease.Machine {
	m := l.leases[name]
	if m == nil {
		t := lease.Timing{}
		if cfg := l.state.Config(); cfg != nil {
			t = timing(cfg)
		}
		m = lease.NewMachine(name, l.holder, t, l.Clock.Now())
		l.leases[name] = m
		m.SetClaimDelay(l.claimDelay(name))
		if l.releasing {
			m.StepDown(l.Clock.Now(), l.maxCallTime())
		}
		if l.claimsStopped {
			m.StopClaiming()
		}
	}
	return m
}
