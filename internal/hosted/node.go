// Package hosted runs one instance of the rollout service on a platform that keeps
// its state: a log with conditional appends, a registry of targets and the operator's
// configuration.
//
// Every instance serves callers and trainers. Jobs, leases and usage counts are stored
// in the log (core/job), which also assigns each job to an instance, its runner. An
// instance keeps nothing on its own disk, so another one can continue its jobs after a
// kill. A caller's request is sent to a target again only if it has not run or is
// idempotent.
//
// New is given the settings. Load balancing over the instances and retries of refused
// requests are left to the caller.
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
	"github.com/amaranthfold/amaranthfold/core/peering"
	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
	"github.com/cespare/xxhash/v2"
)

// Config holds an instance's settings and the sources of its logs, time and randomness.
type Config struct {
	Settings  platform.Settings
	LogOutput io.Writer
	Clock     clock.Clock                                         // nil: the system's clock
	Random    *rand.Rand                                          // nil: seeded randomly
	Listen    func(network, address string) (net.Listener, error) // nil: net.Listen
	// DialTarget opens the connections to targets. nil: a net.Dialer
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	memoryLimitFraction = 0.7                    // of the instance's memory that Go may use before collections get frequent
	gcPercent           = 50                     // heap growth between collections; low, as peak memory is billed
	idleConnsPerTarget  = 24                     // idle connections kept to each target: two batches of twelve slots
	contentCacheDivisor = 16                     // the content cache gets 1/16 of the memory
	ejectFailures       = 3                      // consecutive failures that eject a target of a plain service
	ejectBase           = 500 * time.Millisecond // first ejection; each further one lasts twice as long
	ejectMax            = 4 * time.Second        // longest ejection
	ejectShare          = 0.7                    // largest fraction of a service's targets that may be ejected
)

// Instance is one instance of the service. Run starts all its goroutines.
type Instance struct {
	cfg          Config
	clock        clock.Clock
	events       *events.Recorder
	metrics      *metricSet
	self         string // name and incarnation; the writer and producer name in the log
	store        *platform.Store
	cloud        *platform.Cloud
	targetClient *http.Client

	stateLoop     *stateLoop
	pace          *followPace
	controlLog    *appender // appends to the control topic
	contentLog    *appender // appends to the content topic
	contentCache  *contentCache
	plainTargets  *plainTargets
	instanceLinks *instanceLinks
	allowances    *allowances
	links         *linkMonitor
	relays        *relays
	crashDetector *crashDetector
	poisonGuard   *poisonGuard
	runner        *runner
	resultWriter  *resultWriter
	scorer        *scorer
	controller    *controller
	usageCounter  *usageCounter
	stopping      chan struct{} // closed by Stop
	stopOnce      sync.Once
	dependencies  dependencyStatus
	logTransport  *logTransport

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns an instance that has not been started.
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
	if cfg.DialTarget == nil {
		cfg.DialTarget = (&net.Dialer{}).DialContext
	}
	in := &Instance{
		cfg: cfg, clock: cfg.Clock, random: cfg.Random,
		events:       events.New(s.Instance, cfg.LogOutput, cfg.Clock.Wall),
		metrics:      newMetricSet(),
		stateLoop:    newStateLoop(cfg.Clock, rejoinTimeout),
		pace:         newFollowPace(),
		contentCache: newContentCache(s.MemoryBytes / contentCacheDivisor),
		stopping:     make(chan struct{}),
	}
	in.links = newLinkMonitor(in, cfg.DialTarget)
	in.targetClient = &http.Client{Transport: platform.NewTargetTransport(idleConnsPerTarget, in.links.dialTarget), CheckRedirect: noRedirect}
	in.instanceLinks = newInstanceLinks(in)
	in.logTransport = newLogTransport(in, s.Store.Address)
	in.store = platform.NewStore(s.Store.Address, in.logTransport)
	in.self = fmt.Sprintf("%s/%x", s.Instance, in.rand64())
	if s.Cloud != "" {
		in.cloud = platform.NewCloud(s.Cloud)
	}
	in.controlLog = newAppender(&idempotentWriter{store: in.store, topic: controlTopic, producer: in.self},
		controlTopic, s.Store.CallBytes, in.trackAppends("log"))
	in.controlLog.onAppended = in.pace.expectRecords
	in.contentLog = newAppender(&failoverWriter{
		store: in.store, topic: contentTopic, partitions: s.Store.Partitions,
		partition: int(hash.Mix(xxhash.Sum64String(s.Instance)) % uint64(s.Store.Partitions)),
	}, contentTopic, s.Store.CallBytes, in.trackAppends("content"))
	in.plainTargets = newPlainTargets(retry.EjectionLimits{Failures: ejectFailures, BaseDuration: ejectBase, MaxDuration: ejectMax, Share: ejectShare})
	in.allowances = newAllowances(in)
	in.relays = newRelays(in)
	in.crashDetector = newCrashDetector(in)
	in.poisonGuard = newPoisonGuard(in)
	in.runner = newRunner(in)
	in.resultWriter = newResultWriter(in)
	in.scorer = newScorer(in)
	in.controller = newController(in)
	in.usageCounter = newUsageCounter(in)
	return in
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// trackAppends returns a function for the results of a topic's appends, which sets the
// status of the dependency name.append.
func (in *Instance) trackAppends(name string) func(error) {
	return func(err error) {
		if err == nil {
			in.dependencyRegained(name + ".append")
			return
		}
		in.dependencyLost(name+".append", err)
	}
}

// Run starts the instance. It returns when ctx ends, or with ErrStopped when the instance
// has drained after Stop.
func (in *Instance) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(in.cfg.Settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	in.log("instance started", events.F("incarnation", in.self), events.F("data_centre", in.cfg.Settings.DataCentre))
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range []func(context.Context) error{
		in.stateLoop.run, in.controlLog.run, in.contentLog.run,
		in.followLog, in.watchOperator, in.watchRegistry, in.publishWarmTargets,
		in.serveFront, in.serveReadiness, in.serveMetrics, in.servePeers, in.logTransport.run, in.announce,
		in.poisonGuard.run, in.links.run, in.runner.run, in.resultWriter.run, in.scorer.run, in.claimOrphans, in.controller.run, in.usageCounter.run,
	} {
		group.Go(func() error { return f(ctx) })
	}
	err := group.Wait()
	in.log("instance stopped", events.F("error", fmt.Sprint(err)))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// announce appends the InstanceStarted record, at once and every peering.AnnounceInterval. It
// publishes the incarnation, the address at which the instance listens for peers and the
// fingerprint of its key.
func (in *Instance) announce(ctx context.Context) error {
	started := &job.InstanceStarted{
		Instance: in.cfg.Settings.Instance, PeerAddress: in.cfg.Settings.Peers, StartedAt: in.clock.Wall().UnixMilli(),
		KeyFingerprint: in.instanceLinks.identity.Fingerprint(),
	}
	in.appendRecordAsync(job.Record{InstanceStarted: started})
	return clock.Every(ctx, peering.AnnounceInterval, func() { in.appendRecordAsync(job.Record{InstanceStarted: started}) })
}

// Stop starts the drain: the instance reports that it is not ready, so that the load
// balancer removes it, hands its jobs over and finishes the requests in flight. Run then
// returns ErrStopped.
func (in *Instance) Stop() { in.stopOnce.Do(func() { close(in.stopping) }) }

func (in *Instance) isStopping() bool {
	select {
	case <-in.stopping:
		return true
	default:
		return false
	}
}

func (in *Instance) rand64() uint64 {
	in.randomMu.Lock()
	defer in.randomMu.Unlock()
	return in.random.Uint64()
}

// jitter returns a random duration from zero to below limit.
func (in *Instance) jitter(limit time.Duration) time.Duration {
	return time.Duration(in.rand64() % uint64(max(1, limit)))
}

func (in *Instance) log(event string, fields ...events.Field) { in.events.Record(event, fields...) }

// encodeRecord sets the record's writer and time and encodes it.
func (in *Instance) encodeRecord(r job.Record) ([]byte, error) {
	r.Writer, r.At = in.self, in.clock.Wall().UnixMilli()
	return job.Encode(r)
}

// appendRecord appends one record to the control topic and waits for the outcome.
func (in *Instance) appendRecord(ctx context.Context, r job.Record) error {
	data, err := in.encodeRecord(r)
	if err != nil {
		return err
	}
	_, err = in.controlLog.append(ctx, data)
	return err
}

// appendRecordAsync queues one record for the control topic without waiting for the
// outcome. If the queue is full, it drops the record and logs that.
func (in *Instance) appendRecordAsync(r job.Record) {
	data, err := in.encodeRecord(r)
	if err != nil {
		in.log("record unencodable", events.F("error", err.Error()))
		return
	}
	if !in.controlLog.appendAsync(data) {
		in.log("record dropped", events.F("reason", "queue of the log is full"))
	}
}

// dependencyStatus holds which dependencies are unavailable, so that each loss and each
// recovery is logged once. A dependency is reading from or appending to one topic.
type dependencyStatus struct {
	mu   sync.Mutex
	lost map[string]bool
}

func (d *dependencyStatus) isLost(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[name]
}

func (d *dependencyStatus) set(name string, lost bool) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost == nil {
		d.lost = map[string]bool{}
	}
	changed = d.lost[name] != lost
	d.lost[name] = lost
	return changed
}

func (in *Instance) dependencyLost(name string, err error) {
	if in.dependencies.set(name, true) {
		in.log("dependency lost", events.F("dependency", name), events.F("error", err.Error()))
	}
}

func (in *Instance) dependencyRegained(name string) {
	if in.dependencies.set(name, false) {
		in.log("dependency regained", events.F("dependency", name))
	}
}

// Reload reads the settings file again, validates it and logs whether it has changed. The
// settings of a running instance are fixed: a changed file takes effect at the next
// start.
func (in *Instance) Reload(path string) {
	settings, err := platform.LoadSettings(path)
	switch {
	case err != nil:
		in.log("settings rejected", events.F("error", err.Error()))
	case settings != in.cfg.Settings:
		in.log("settings changed", events.F("effect", "at the next start"))
	default:
		in.log("settings unchanged")
	}
}
