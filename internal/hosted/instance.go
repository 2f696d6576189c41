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
// The package puts the parts of an instance together and holds its listeners. The parts are
// packages: node, which the others share, forward, batch and duty.
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
	"runtime/debug"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/internal/batch"
	"github.com/amaranthfold/amaranthfold/internal/clock"
	"github.com/amaranthfold/amaranthfold/internal/duty"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
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
	memoryLimitFraction = 0.7 // of the instance's memory that Go may use before collections get frequent
	gcPercent           = 50  // heap growth between collections; low, as peak memory is billed
)

// Instance is one instance of the service. Run starts all its goroutines.
type Instance struct {
	node       *node.Node
	listen     func(network, address string) (net.Listener, error)
	forwarder  *forward.Forwarder
	batch      *batch.Batch
	controller *duty.Controller

	atGraceEnd   func(f func()) (stop func() bool) // calls f when the grace period is nearly over
	endGrace     context.CancelFunc
	frontDrained chan context.Context // receives the context of the grace period
	peersDrained chan struct{}        // closed when the listener for other instances has drained
}

// New returns an instance that has not been started.
func New(cfg Config) *Instance {
	in := &Instance{listen: cfg.Listen, frontDrained: make(chan context.Context, 1), peersDrained: make(chan struct{})}
	grace, endGrace := context.WithCancel(context.Background())
	in.endGrace = endGrace
	in.atGraceEnd = func(f func()) func() bool { return context.AfterFunc(grace, f) }
	if in.listen == nil {
		in.listen = net.Listen
	}
	in.node = node.New(node.Config{
		Settings: cfg.Settings, LogOutput: cfg.LogOutput, Clock: cfg.Clock, Random: cfg.Random, DialTarget: cfg.DialTarget,
	})
	in.controller = duty.New(in.node)
	in.forwarder = forward.New(in.node, in.controller.CountRequest)
	in.batch = batch.New(in.node, in.forwarder)
	in.node.OnRecord = in.applyRecord
	return in
}

// Run starts the instance. It returns when ctx ends, or with ErrStopped when the instance
// has drained after Stop.
func (in *Instance) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(in.node.Settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	in.node.Log("instance started", events.F("incarnation", in.node.Self), events.F("data_centre", in.node.Settings.DataCentre))
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range slices.Concat(in.node.Loops(), in.forwarder.Loops(), in.batch.Loops(), in.controller.Loops(), []func(context.Context) error{
		in.serveFront, in.serveReadiness, in.serveMetrics, in.servePeers,
	}) {
		group.Go(func() error { return f(ctx) })
	}
	err := group.Wait()
	in.node.Log("instance stopped", events.F("error", fmt.Sprint(err)))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// applyRecord passes a record of the log to the parts that act on it. It runs on the state
// goroutine.
func (in *Instance) applyRecord(now time.Duration, r job.Record, accepted bool) {
	in.controller.OnRecord(now, r, accepted)
	in.forwarder.OnRecord(r)
	in.batch.OnRecord(r)
}

// Stop starts the drain: the instance reports that it is not ready, so that the load
// balancer removes it, hands its jobs over and finishes the requests in flight. Run then
// returns ErrStopped.
func (in *Instance) Stop() { in.node.Stop() }

// Reload reads the settings file again, validates it and logs whether it has changed. The
// settings of a running instance are fixed: a changed file takes effect at the next
// start.
func (in *Instance) Reload(path string) {
	settings, err := platform.LoadSettings(path)
	switch {
	case err != nil:
		in.node.Log("settings rejected", events.F("error", err.Error()))
	case settings != in.node.Settings:
		in.node.Log("settings changed", events.F("effect", "at the next start"))
	default:
		in.node.Log("settings unchanged")
	}
}
