package control

import (
	"context"
	"fmt"
	"maps"
	"sync"
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
	inboxSize    = 1024 // messages
)

// DeploymentLease is the name of the lease whose holder sends orders and bills usage.
const DeploymentLease = "deployment"

// TrainerLease returns the name of the lease that a trainer's owner holds.
func TrainerLease(trainer string) string { return record.TrainerLease(trainer) }

// Options are the identity and the clients of a Loop.
type Options struct {
	Self       member.Peer
	Deployment string
	Clock      clock.Clock
	Log        LogClient
	List       *platform.InstanceList
	Orders     func(dataCentre string) *platform.Orders // client of a data centre's order interface
	Peers      *peer.Pool
	Events     *events.Recorder
}

// Loop holds an instance's control state. Only the control goroutine changes the state;
// other goroutines send it messages and read the snapshots that it publishes.
type Loop struct {
	Options
	holder string // name of this incarnation in leases, see HolderName

	inbox      chan message
	done       chan struct{} // closed when the control goroutine has ended
	snapshot   atomic.Pointer[Snapshot]
	heldLeases atomic.Pointer[map[string]HeldLease]
	appender   *appender
	recent     *recentLog
	// heartbeatHook adds other packages' data to each heartbeat; see OnHeartbeat.
	heartbeatHook  atomic.Pointer[func(*Heartbeat)]
	requestCounter atomic.Pointer[RequestCounter]
	unreadable     sync.Map // text of the latest *platform.UnreadableError by list

	// The fields below belong to the control goroutine.
	state             *fold.State
	leases            map[string]*lease.Machine
	members           *member.Table
	targets           map[string][]platform.Target // by data centre
	targetsAt         map[string]time.Duration     // when the list in targets was requested, by data centre
	loads             map[string]TargetLoad        // by target
	loadsAt           map[string]time.Duration     // earliest time at which the load was measured, by target
	loadReporter      map[string]string            // peer that last reported the load, by target
	targetsReportedBy map[string][]string          // by peer; targets whose loads the peer reports
	ownLoads          []TargetLoad
	waiters           map[record.ID]chan fold.Result
	pendingResults    []waiterResult // sent once the snapshot contains their records
	freshAt           time.Duration  // when the applied offset was last confirmed as the log's end
	routing           *routing
	keys              *KeyIndex
	keyDigests        map[string][32]byte // by key id
	caughtUp          bool                // the end of the log has been reached at least once
	halted            string              // why the control roles have stopped; empty while they run
	digests           *digestComparison
	remoteSummaries   map[string]receivedSummary // by data centre
	view              *membershipView
	logView           *logView
	peerHealth        map[string]PeerHealth // by peer; replaced at every change

	encodedState        []record.Checkpoint // the state as last encoded for a peer
	encodedStateAt      time.Duration
	checkpointOffset    record.Offset // state.Checkpoint.Offset at the last check
	checkpointChangedAt time.Duration // when checkpointOffset last changed
	checkpointSent      record.Offset // applied offset of the checkpoint that this instance last wrote
	checkpointSentAt    time.Duration

	keysVersion         uint64
	keyCount            int             // number of keys when the index last matched the state
	outOfService        map[string]bool // by target
	outOfServiceFencing record.Offset   // fencing number of the lease holder that set outOfService
	health              recordedHealth
	claimants           []string // the owners by which the claim delays were last set
	releasing           bool     // ReleaseLeases has been called
	claimsStopped       bool     // Leave has been called
	drainTracker        *drain.Tracker
	idleSince           map[string]time.Duration // since when drained targets are idle on all instances; replaced at every change
	drains              map[string]record.Offset // copy of state.Drains, replaced at every change
}

// New returns a loop with an empty state. It reads the log once Run is called.
func New(o Options) *Loop {
	l := &Loop{
		Options:           o,
		holder:            HolderName(o.Self),
		inbox:             make(chan message, inboxSize),
		done:              make(chan struct{}),
		state:             fold.New(),
		drainTracker:      drain.New(),
		leases:            map[string]*lease.Machine{},
		targets:           map[string][]platform.Target{},
		targetsAt:         map[string]time.Duration{},
		loads:             map[string]TargetLoad{},
		loadsAt:           map[string]time.Duration{},
		waiters:           map[record.ID]chan fold.Result{},
		routing:           newRouting(),
		recent:            newRecentLog(),
		digests:           newDigestComparison(),
		remoteSummaries:   map[string]receivedSummary{},
		loadReporter:      map[string]string{},
		targetsReportedBy: map[string][]string{},
	}
	l.health = newRecordedHealth()
	l.indexKeys()
	l.members = member.NewTable(o.Self, time.Second)
	l.checkpointChangedAt = o.Clock.Now()
	l.appender = newAppender(o.Log, o.Clock, o.Events)
	l.heldLeases.Store(&map[string]HeldLease{})
	l.publish()
	return l
}

// HolderName returns the name of an instance's incarnation in leases.
func HolderName(p member.Peer) string { return fmt.Sprintf("%s@%d", p.ID, p.Incarnation) }

// Holder returns this instance's name in leases.
func (l *Loop) Holder() string { return l.holder }

// Snapshot returns the latest published state.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run reads the log, polls the platform, sends heartbeats and maintains the control
// state until ctx ends.
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

// post sends a message to the control goroutine. It blocks until the message is
// queued, the control goroutine has ended, or ctx ends.
func (l *Loop) post(ctx context.Context, m message) {
	select {
	case l.inbox <- m:
	case <-l.done:
	case <-ctx.Done():
	}
}

// tryPost sends a message to the control goroutine, or drops it if the inbox is full. It is
// for messages that peers repeat: they must not delay the peers' other messages.
func (l *Loop) tryPost(m message) {
	select {
	case l.inbox <- m:
	default:
	}
}

// OnHeartbeat sets a function that may add to each heartbeat before it is sent.
func (l *Loop) OnHeartbeat(f func(*Heartbeat)) { l.heartbeatHook.Store(&f) }

// SetOwnLoads sets the loads of the targets that this instance owns.
func (l *Loop) SetOwnLoads(ctx context.Context, loads []TargetLoad) { l.post(ctx, ownLoads{loads}) }

// ReleaseLeases ends the use of all leases at once, releases each lease when the calls
// made under it have ended, and ends this instance's ownership of queues.
func (l *Loop) ReleaseLeases(ctx context.Context) { l.post(ctx, releaseLeases{}) }

// onRecordApplied updates what depends on a record after it has been applied.
func (l *Loop) onRecordApplied(now time.Duration, res fold.Result) {
	l.Events.Observe(res.Envelope.Timestamp)
	l.recordLogEvent(res)
	switch b := res.Body.(type) {
	case record.Lease:
		l.leaseMachine(b.Name).Observe(now, res.Envelope.ID, res.Verdict, l.state.Leases[b.Name])
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

// waiterResult is the result of an applied record for the waiter that appended it.
type waiterResult struct {
	to     chan<- fold.Result
	result fold.Result
}

// notifyWaiters sends results to the callers of Append. It runs after publish, so that
// the snapshot contains a record before its caller receives the result.
func (l *Loop) notifyWaiters() {
	for _, r := range l.pendingResults {
		r.to <- r.result
	}
	l.pendingResults = l.pendingResults[:0]
}

func (l *Loop) onConfigRecord(res fold.Result) {
	cfg := l.state.Config()
	if res.Verdict != fold.Accepted || cfg == nil {
		return
	}
	l.applyConfig()
	if len(l.state.Keys) != l.keyCount { // the configuration removed accounts with their keys
		l.indexKeys()
	}
}

// applyConfig passes the current configuration's timing to the members and leases.
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
	return lease.Timing{Duration: cfg.Control.LeaseTerm, DriftMargin: cfg.Control.DriftMargin}
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
	l.ownLoads = m.loads
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
		l.leaseMachine(name)
	}
	l.updateClaimDelays()
	now := l.Clock.Now()
	for _, m := range l.leases {
		if a := m.Tick(now, newID); a != nil {
			l.appendLease(now, a)
		}
	}
}

// appendLease queues a lease record. The record is not sent after its term, since it could
// then only cause a newer record to be rejected. A record that cannot be queued is treated
// like one that is lost on the way to the log.
func (l *Loop) appendLease(now time.Duration, a *lease.AppendRequest) {
	data, err := l.encode(a.ID, l.state.Applied, a.Supersedes, a.Body)
	if err == nil {
		err = l.appender.submit(&entry{id: a.ID, class: classUrgent, data: [][]byte{data}, expiresAt: now + a.Body.Duration})
	}
	if err != nil {
		l.Events.Record("lease record lost", events.F("lease", a.Body.Name), events.F("error", err.Error()))
	}
}

func (l *Loop) leaseMachine(name string) *lease.Machine {
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
