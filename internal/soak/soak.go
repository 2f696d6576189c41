// Package soak runs the built program as separate processes on loopback, injects random
// faults from outside them, and checks what callers, the trainer, the targets and the
// platform receive. Faults are injected by proxies that delay, blackhole, block one
// direction or reset connections, by signals to the processes, and by the fault switches
// of the stand-ins for the log and the engines.
//
// A request that crashes its targets comes again and again, and single instances lose their
// links to all targets. Callers' streams and the tasks of jobs must hold events of one software version,
// and at each event of a further run that run must have been asked to go on after the event before.
// Targets that name a limit must not get more requests than they may. The trainers of two models
// compete for the slots of the same engines. Engines differ in speed, and the targets of an
// evacuated data centre must not get requests, nor must engines that are about to be reclaimed, or
// are. A client that is no instance must get no answer from the listeners between
// instances. In some runs, plain targets that start again are cold and must get few requests,
// and in some, instances that start again find the latest second of the log only.
//
// Run is given the binary, a seed and the size of the run. It returns the numbers of jobs,
// results, requests and faults, and every broken promise. The seed fixes the faults and
// the load, but not the scheduling of the processes, so the same seed may not repeat a
// failure. The caller keeps the seed and the logs of a failed run.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Config describes a run.
type Config struct {
	Binary string // the built amaranthfold
	// EarlierBinary is an earlier build that the instances start with, if it is set. They are
	// replaced while the load runs.
	EarlierBinary string
	Dir           string        // for the settings and logs of the instances
	Seed          uint64        // of faults and load
	Duration      time.Duration // of load and faults
	// SettleTimeout is the limit for each instance to become ready, and for the accepted
	// jobs to complete after the faults have ended.
	SettleTimeout time.Duration
	Instances     int
	Engines       int
	Faults        int       // minimum number
	Out           io.Writer // receives a line per fault; nil: no output
}

// Report is the result of a run.
type Report struct {
	Jobs, Results, Requests, Faults int
	Violations                      []string // broken promises, with the time in the run
	Partial                         bool     // the run was cut off: what it did not reach is not checked
}

const (
	routeHost      = "soak.example" // host of every route
	plainTargets   = 2              // number of targets of the plain service
	slotsPerTarget = 8              // of the plain service
	slotsPerEngine = 3              // few, so that the runs of two models contend for them
)

// environment holds the platform, the targets and the instances of a run, and its results.
type environment struct {
	cfg       Config
	random    *rand.Rand
	logStore  *hostplatform.Store
	cloud     *hostplatform.Cloud
	servers   []*standin.Server
	targets   []*target
	instances []*process
	sockets   socketTable // finds the owners of connections
	started   time.Time

	mu            sync.Mutex
	resumedAt     time.Time // when a paused process or a link was last resumed
	keys          []string  // of the client account, oldest first
	configVersion int64
	announced     map[string]int64 // desired weight versions by model
	violations    []string
	coldPeriods   []coldPeriod
	limitPeriods  []limitPeriod
	evacuating    bool // a data centre is evacuated
	evacuations   []evacuation
	reclaiming    bool // the engines of a data centre are reclaimed
	reclamations  []reclamation
	disturbances  []period // in which instances may not read the log, or do not run
	crashes       int      // of targets, under the poison request
	report        Report
}

// target is an engine or a target of the plain service, reached through a proxy. The same
// stand-in serves both kinds.
type target struct {
	engine  *hostplatform.Engine
	proxy   *faultProxy
	limited bool // names a limit; guarded by the environment's mu, as is crashed
	crashed bool // it is down

	entryMu   sync.Mutex // held while the entry is written, and guards the fields below
	heartbeat int64
	leavesAt  time.Time // zero: no notice
	removed   bool
	coldUntil time.Time // zero: not cold

	statesCold bool // the entry says how long the target stays cold
}

// Run executes one seeded run. It fails when the environment cannot be set up; broken
// promises are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	e := &environment{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), logStore: hostplatform.NewStore(),
		cloud: hostplatform.NewCloud(), keys: []string{"key-0"}, announced: firstVersions(), started: time.Now(),
	}
	defer e.close()
	if err := e.setUp(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.runHeartbeats(ctx)
	for _, t := range e.targets[cfg.Engines:] {
		e.crashOnPoison(ctx, t)
	}
	for _, p := range e.instances {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	if err := e.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	load := newLoad(e)
	var wg sync.WaitGroup
	wg.Go(func() { load.run(ctx) })
	wg.Go(func() { e.injectFaults(ctx) })
	wg.Go(func() { e.upgradeInstances(ctx) })
	wg.Wait()
	e.clearFaults()
	load.waitForJobs(ctx)
	e.checkPoison(load)
	e.check(load)
	e.report.Violations, e.report.Partial = e.violations, ctx.Err() != nil
	return e.report, nil
}

// setUp starts the platform, the targets and the proxies and prepares the instances. The
// first cfg.Engines targets run both models, the others serve plain requests. Targets have two
// software versions.
func (e *environment) setUp() error {
	logAddress, err := e.serve(e.logStore)
	if err != nil {
		return err
	}
	if e.cfg.Seed%2 == 1 {
		e.cloud.LeaveUnchecked(leaseTerm, e.justResumed)
	}
	cloudAddress, err := e.serve(e.cloud)
	if err != nil {
		return err
	}
	for i := range e.cfg.Engines + plainTargets {
		engine := e.newEngine(i)
		address, err := e.serve(engine)
		if err != nil {
			return err
		}
		proxy, err := newFaultProxy(address, e.ownerOf)
		if err != nil {
			return err
		}
		e.targets = append(e.targets, &target{engine: engine, proxy: proxy, statesCold: i >= e.cfg.Engines && e.hasCold()})
	}
	e.writeConfig()
	for i := range e.cfg.Instances {
		proxy, err := newFaultProxy(logAddress, nil)
		if err != nil {
			return err
		}
		p, err := newProcess(e.cfg, i, proxy, cloudAddress, e.history())
		if err != nil {
			return err
		}
		e.instances = append(e.instances, p)
	}
	return nil
}

// newEngine returns the stand-in of the target with the index.
func (e *environment) newEngine(index int) *hostplatform.Engine {
	slots := slotsPerTarget
	if index < e.cfg.Engines {
		slots = slotsPerEngine
		if e.hasSeries() {
			slots = seriesSlotsPerEngine
		}
	}
	engine := hostplatform.NewEngine(fmt.Sprintf("t%d", index), models[0], slots)
	for _, model := range models[1:] {
		engine.AddModel(model)
	}
	engine.SetSoftware(softwareVersions[index/len(dataCentres)%len(softwareVersions)])
	fast, slow := slowInterval/4, slowInterval
	if e.hasSeries() {
		fast, slow = seriesInterval, seriesInterval*3/2
	}
	engine.SetEventInterval(fast)
	if index%3 == 2 {
		engine.SetEventInterval(slow)
	}
	engine.MarkRuns()
	return engine
}

// thawGrace is how long after a pause a call may arrive that was checked before it.
const thawGrace = 300 * time.Millisecond

// justResumed reports whether a paused process was resumed within thawGrace.
func (e *environment) justResumed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.resumedAt) < thawGrace
}

// resume continues a paused process.
func (e *environment) resume(p *process) {
	e.mu.Lock()
	e.resumedAt = time.Now()
	e.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// serve starts a stand-in and returns its address.
func (e *environment) serve(handler http.Handler) (string, error) {
	server, err := standin.Serve(handler)
	if err != nil {
		return "", err
	}
	e.servers = append(e.servers, server)
	return server.URL[len("http://"):], nil
}

func (e *environment) engines() []*target { return e.targets[:e.cfg.Engines] }

// runHeartbeats writes the targets' registry entries every 100 ms until the context ends.
func (e *environment) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for i, t := range e.targets {
			t.changeEntry(e.logStore, i < e.cfg.Engines, dataCentreOf(i), func() {})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// changeEntry calls change, which may change the fields that entryMu guards, and writes the
// target's registry entry.
func (t *target) changeEntry(log *hostplatform.Store, isEngine bool, dataCentre string, change func()) {
	t.entryMu.Lock()
	defer t.entryMu.Unlock()
	wasRemoved := t.removed
	change()
	if t.removed {
		if !wasRemoved {
			log.Put(platform.RegistryTopic, t.engine.ID, nil)
		}
		return
	}
	service, state := "desk", "ready"
	if isEngine {
		service = "models"
	}
	if !t.leavesAt.IsZero() {
		state = "draining"
	}
	entry := t.engine.RegistryEntry(service, t.proxy.address(), dataCentre, state)
	t.heartbeat++
	entry["sequence"] = t.heartbeat
	if !isEngine {
		delete(entry, "models")
	}
	if t.statesCold {
		entry["cold-remaining-ms"] = max(0, time.Until(t.coldUntil).Milliseconds())
	}
	if !t.leavesAt.IsZero() {
		entry["leaves_ms"] = max(1, time.Until(t.leavesAt).Milliseconds())
	}
	log.Put(platform.RegistryTopic, t.engine.ID, entry)
}

// writeConfig writes the configuration with the current keys and raises its version by 2.
func (e *environment) writeConfig() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configVersion += 2
	config := hostplatform.Config(e.configVersion, routeHost, e.keys, models[1:]...)
	e.stateColdRate(config)
	e.logStore.Put(platform.OperatorTopic, "config", config)
}

// awaitReady waits until every instance is ready, each for at most the settle timeout.
func (e *environment) awaitReady(ctx context.Context) error {
	for _, p := range e.instances {
		for deadline := time.Now().Add(e.cfg.SettleTimeout); !p.ready(); {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready after %s; its log is %s", p.name, e.cfg.SettleTimeout, p.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// recordViolation adds a broken promise to the report.
func (e *environment) recordViolation(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, fmt.Sprintf("%.3f s: ", time.Since(e.started).Seconds())+fmt.Sprintf(format, args...))
}

// printf writes a line to Config.Out, preceded by the seconds since the start of the run.
func (e *environment) printf(format string, args ...any) {
	if e.cfg.Out != nil {
		fmt.Fprintf(e.cfg.Out, "%8.3f "+format+"\n", append([]any{time.Since(e.started).Seconds()}, args...)...)
	}
}

// close kills the instances and closes proxies and stand-ins.
func (e *environment) close() {
	for _, p := range e.instances {
		p.kill()
		p.logProxy.close()
	}
	for _, t := range e.targets {
		t.proxy.close()
	}
	for _, s := range e.servers {
		s.Close()
	}
}

func writeFile(path, text string) error {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
