// Package soak runs the real program as separate processes on loopback, injects
// faults from outside them, and checks what callers, trainers and targets see.
//
// A seed fixes the faults and the load, not the scheduling of the processes: a
// failure is kept with its seed and logs.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin"
	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// Config describes a run.
type Config struct {
	Binary        string        // the built amaranthfold
	Dir           string        // for settings and logs
	Seed          uint64        // of faults and load
	Duration      time.Duration // of load and faults
	SettleTimeout time.Duration // until everything that was accepted must be whole
	Instances     int
	Engines       int
	Faults        int
	Out           io.Writer // the faults as they come; nil: nowhere
}

// Report is what a run has seen.
type Report struct {
	Jobs, Results, Requests, Faults int
	Violations                      []string // promises that did not hold
}

const (
	host         = "soak.example"
	plainTargets = 2
	slots        = 8
)

// environment is the platform and the instances of a run.
type environment struct {
	cfg       Config
	random    *rand.Rand
	store     *hostplatform.Store
	cloud     *hostplatform.Cloud
	servers   []*standin.Server
	targets   []*target
	instances []*process
	started   time.Time

	mu            sync.Mutex
	keys          []string
	configVersion int64
	weightVersion int64
	violations    []string
	report        Report
}

// target is an engine or a plain target behind a link.
type target struct {
	engine *hostplatform.Engine
	link   *faultProxy
}

// Run carries out one seeded run.
func Run(ctx context.Context, cfg Config) (Report, error) {
	w := &environment{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), store: hostplatform.NewStore(),
		cloud: hostplatform.NewCloud(), keys: []string{"key-0"}, weightVersion: 1, started: time.Now(),
	}
	defer w.close()
	if err := w.build(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.heartbeats(ctx)
	for _, p := range w.instances {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	load := newLoad(w)
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx) })
	group.Go(func() { w.injectFaults(ctx) })
	group.Wait()
	w.clearFaults()
	load.waitForJobs(ctx)
	w.check(load)
	w.report.Violations = w.violations
	return w.report, nil
}

// build starts the platform, the targets and the links between them.
func (w *environment) build() error {
	store, err := w.serve(w.store)
	if err != nil {
		return err
	}
	cloud, err := w.serve(w.cloud)
	if err != nil {
		return err
	}
	for i := range w.cfg.Engines + plainTargets {
		engine := hostplatform.NewEngine(fmt.Sprintf("t%d", i), "m", slots)
		address, err := w.serve(engine)
		if err != nil {
			return err
		}
		l, err := newLink(address)
		if err != nil {
			return err
		}
		w.targets = append(w.targets, &target{engine, l})
	}
	w.configure()
	for i := range w.cfg.Instances {
		l, err := newLink(store)
		if err != nil {
			return err
		}
		p, err := newProcess(w.cfg, i, l, cloud)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, p)
	}
	return nil
}

func (w *environment) serve(handler http.Handler) (string, error) {
	server, err := standin.Serve(handler)
	if err != nil {
		return "", err
	}
	w.servers = append(w.servers, server)
	return server.URL[len("http://"):], nil
}

func (w *environment) engines() []*target { return w.targets[:w.cfg.Engines] }

// heartbeats writes the targets' registry entries.
func (w *environment) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for i, t := range w.targets {
			service := "models"
			if i >= w.cfg.Engines {
				service = "desk"
			}
			entry := t.engine.RegistryEntry(service, t.link.address(), "a", "ready")
			if service == "desk" {
				delete(entry, "models")
			}
			w.store.Put(platform.RegistryTopic, t.engine.ID, entry)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure writes the configuration with the current keys.
func (w *environment) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion += 2
	w.store.Put(platform.OperatorTopic, "config", hostplatform.Config(w.configVersion, host, w.keys))
}

func (w *environment) awaitReady(ctx context.Context) error {
	for _, p := range w.instances {
		for deadline := time.Now().Add(w.cfg.SettleTimeout); !p.ready(); {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready after %s; its log is %s", p.name, w.cfg.SettleTimeout, p.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// recordViolation keeps a broken promise.
func (w *environment) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

func (w *environment) printf(format string, args ...any) {
	if w.cfg.Out != nil {
		fmt.Fprintf(w.cfg.Out, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
	}
}

func (w *environment) close() {
	for _, p := range w.instances {
		p.kill()
		p.store.close()
	}
	for _, t := range w.targets {
		t.link.close()
	}
	for _, s := range w.servers {
		s.Close()
	}
}

func writeFile(path, text string) error {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
