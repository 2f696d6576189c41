// Package hosted runs one instance of the rollout service on a platform that
// keeps its state: a log with conditional appends, a registry of targets, the
// operator's configuration.
//
// Every instance serves callers and trainers. Jobs, leases and usage live in the
// log (core/job); the runner of a job is whoever has claimed it there. Nothing is
// kept on the machine.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/hash"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
	"github.com/cespare/xxhash/v2"
)

// Config is what an instance runs with.
type Config struct {
	Settings  platform.Settings
	LogOutput io.Writer
	Clock     clock.Clock
	Random    *rand.Rand                                          // nil: seeded by the system
	Listen    func(network, address string) (net.Listener, error) // nil: net.Listen
}

const (
	memoryLimitFraction = 0.7 // of the machine's memory that the heap may grow to before collections get frequent
	gcPercent           = 50  // heap growth between collections: memory is billed at its peak
	idleConnsPerTarget  = 24  // idle connections kept to each target: two batches of twelve slots
	contentCacheDivisor = 16  // of the machine's memory: texts and tasks kept to be read again
	ejectFailures       = 3   // failures in a row that eject a plain target
	ejectBase           = 500 * time.Millisecond
	ejectMax            = 4 * time.Second
	ejectShare          = 0.7 // of a service's targets that may be left out
)

// Instance is one instance.
type Instance struct {
	cfg     Config
	clock   clock.Clock
	events  *events.Recorder
	metrics *metricSet
	self    string // instance and incarnation
	store   *platform.Store
	cloud   *platform.Cloud
	targets *http.Client

	stateLoop    *stateLoop
	control      *appender
	content      *appender
	contentCache *contentCache
	plain        *plainTargets
	runner       *runner
	resultWriter *resultWriter
	controller   *controller
	usage        *usageCounter
	stopping     chan struct{} // closed by Stop
	stopOnce     sync.Once
	dependencies dependencyStatus
	logTransport *logTransport

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns an instance that has not started.
func New(cfg Config) *Instance {
	s := cfg.Settings
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	n := &Instance{
		cfg: cfg, clock: cfg.Clock, random: cfg.Random,
		events:       events.New(s.Instance, cfg.LogOutput, cfg.Clock.Wall),
		metrics:      newMetricSet(),
		targets:      &http.Client{Transport: platform.NewTargetTransport(idleConnsPerTarget), CheckRedirect: noRedirect},
		stateLoop:    newStateLoop(rejoinTimeout),
		contentCache: newContentCache(s.MemoryBytes / contentCacheDivisor),
		stopping:     make(chan struct{}),
	}
	n.logTransport = newLogTransport(n, s.Store.Address)
	n.store = platform.NewStore(s.Store.Address, n.logTransport)
	n.self = fmt.Sprintf("%s/%x", s.Instance, n.rand64())
	if s.Cloud != "" {
		n.cloud = platform.NewCloud(s.Cloud)
	}
	n.control = newAppender(&idempotentWriter{store: n.store, topic: controlTopic, producer: n.self},
		controlTopic, s.Store.CallBytes, n.trackAppends("log"))
	n.content = newAppender(&failoverWriter{
		store: n.store, topic: contentTopic, partitions: s.Store.Partitions,
		partition: int(hash.Mix(xxhash.Sum64String(s.Instance)) % uint64(s.Store.Partitions)),
	}, contentTopic, s.Store.CallBytes, n.trackAppends("content"))
	n.plain = newPlainTargets(retry.EjectionLimits{Failures: ejectFailures, Base: ejectBase, Max: ejectMax, Share: ejectShare})
	n.runner = newRunner(n)
	n.resultWriter = newResultWriter(n)
	n.controller = newController(n)
	n.usage = newUsageCounter(n)
	return n
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// trackAppends notes the outcomes of appends as signs of the store's health.
func (n *Instance) trackAppends(name string) func(error) {
	return func(err error) {
		if err == nil {
			n.dependencyRegained(name + ".append")
			return
		}
		n.dependencyLost(name+".append", err)
	}
}

// Run serves until ctx ends.
func (n *Instance) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(n.cfg.Settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	n.log("instance started", events.F("incarnation", n.self), events.F("data_centre", n.cfg.Settings.DataCentre))
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range []func(context.Context) error{
		n.stateLoop.run, n.control.run, n.content.run,
		n.followLog, n.watchOperator, n.watchRegistry,
		n.serveFront, n.serveReadiness, n.serveMetrics, n.servePeers, n.logTransport.run, n.announce,
		n.runner.run, n.resultWriter.run, n.claimOrphans, n.controller.run, n.usage.run,
	} {
		group.Go(func() error { return f(ctx) })
	}
	err := group.Wait()
	n.log("instance stopped", events.F("error", fmt.Sprint(err)))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// announceInterval keeps every instance's announcement within the log's retention.
const announceInterval = time.Minute

// announce tells the other instances that this incarnation has started, and where
// it listens for them.
func (n *Instance) announce(ctx context.Context) error {
	started := &job.InstanceStarted{
		Instance: n.cfg.Settings.Instance, PeerAddress: n.cfg.Settings.Peers, StartedAt: n.clock.Wall().UnixMilli(),
	}
	n.appendRecordAsync(job.Record{InstanceStarted: started})
	return clock.Every(ctx, announceInterval, func() { n.appendRecordAsync(job.Record{InstanceStarted: started}) })
}

// Stop takes the instance out of the balancer, hands its jobs over and finishes
// the requests in flight. Run returns when its context ends.
func (n *Instance) Stop() { n.stopOnce.Do(func() { close(n.stopping) }) }

func (n *Instance) isStopping() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

func (n *Instance) rand64() uint64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.random.Uint64()
}

// jitter returns a random span up to limit.
func (n *Instance) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.rand64() % uint64(max(1, limit)))
}

func (n *Instance) log(event string, fields ...events.Field) { n.events.Record(event, fields...) }

// encodeRecord encodes a record of this instance.
func (n *Instance) encodeRecord(r job.Record) ([]byte, error) {
	r.Writer, r.At = n.self, n.clock.Wall().UnixMilli()
	return job.Encode(r)
}

// appendRecord appends one record and waits for the store's answer.
func (n *Instance) appendRecord(ctx context.Context, r job.Record) error {
	data, err := n.encodeRecord(r)
	if err != nil {
		return err
	}
	_, err = n.control.append(ctx, data)
	return err
}

// appendRecordAsync appends one record that nobody waits for.
func (n *Instance) appendRecordAsync(r job.Record) {
	data, err := n.encodeRecord(r)
	if err != nil {
		n.log("record unencodable", events.F("error", err.Error()))
		return
	}
	if !n.control.appendAsync(data) {
		n.log("record dropped", events.F("reason", "queue of the log is full"))
	}
}

// dependencyStatus remembers which dependencies are lost, so that each loss is logged once.
type dependencyStatus struct {
	mu   sync.Mutex
	lost map[string]bool
}

func (l *dependencyStatus) isLost(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost[name]
}

func (l *dependencyStatus) set(name string, lost bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost == nil {
		l.lost = map[string]bool{}
	}
	changed = l.lost[name] != lost
	l.lost[name] = lost
	return changed
}

func (n *Instance) dependencyLost(name string, err error) {
	if n.dependencies.set(name, true) {
		n.log("dependency lost", events.F("dependency", name), events.F("error", err.Error()))
	}
}

func (n *Instance) dependencyRegained(name string) {
	if n.dependencies.set(name, false) {
		n.log("dependency regained", events.F("dependency", name))
	}
}

// Reload reads the settings file again. Its fields are fixed for a process's
// lifetime, so a changed file is checked and takes effect at the next start.
func (n *Instance) Reload(path string) {
	settings, err := platform.LoadSettings(path)
	switch {
	case err != nil:
		n.log("settings rejected", events.F("error", err.Error()))
	case settings != n.cfg.Settings:
		n.log("settings changed", events.F("effect", "at the next start"))
	default:
		n.log("settings unchanged")
	}
}
