package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// logPartitions is the number of log partitions that the instances' settings give; a
// partitionDown fault affects one of them.
const logPartitions = 4

// logFaults are those of a logFault, by variant.
var logFaults = []hostplatform.Fault{
	hostplatform.Unavailable, hostplatform.Unresponsive, hostplatform.DropAppendResponses, hostplatform.DropNextAppendResponse,
	hostplatform.DelayAppends, hostplatform.Slow, hostplatform.SilentAppends, hostplatform.LateAppends,
}

// injectFaults draws the faults of the run, starts each at its time and returns when all
// have ended. If the context ends before the last start, it returns at once.
func (e *environment) injectFaults(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range e.plan() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.start - time.Since(start)):
		}
		if e.upgrades() && (f.kind == dataCentreEvacuated || f.kind == dataCentreReclaimed) {
			continue
		}
		e.report.Faults++
		e.printf("fault %s", f)
		wg.Go(func() { e.applyFault(ctx, f) })
	}
	wg.Wait()
}

// plan draws the faults of the run, sorted by start.
func (e *environment) plan() []fault {
	faults := drawFaults(e.random, e.cfg.Duration, e.cfg.Faults)
	if e.hasSeries() {
		faults = append(faults, drawSeries(e.random, e.cfg.Duration)...)
	}
	if e.hasShortHistory() {
		faults = e.shortenHistory(e.random, faults)
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return faults
}

// applyFault starts one fault, ends it after its duration and returns.
func (e *environment) applyFault(ctx context.Context, f fault) {
	p := e.instances[f.index%len(e.instances)]
	switch f.kind {
	case killInstance, pauseInstance, stopInstance, logProxyFault, logFault:
		defer e.disturb()()
	case dataCentreEvacuated:
		e.evacuate(ctx, f)
		return
	case dataCentreReclaimed:
		e.reclaim(ctx, f)
		return
	}
	switch f.kind {
	case killInstance:
		p.kill()
		if e.hasShortHistory() {
			e.forgetHistory(ctx)
		}
		sleep(ctx, f.duration/4)
		e.restart(p)
	case pauseInstance:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, f.duration)
		e.resume(p)
	case stopInstance:
		e.resume(p) // a process under SIGSTOP does not handle SIGTERM
		if exited := p.signal(syscall.SIGTERM); exited != nil {
			<-exited
		}
		e.restart(p)
	case logProxyFault:
		// Any mode except forwarding. The expression relies on the order of the mode
		// constants: forwarding is the first and resetting the last.
		p.logProxy.setMode(proxyMode(1 + f.variant%int(resetting)))
		sleep(ctx, f.duration)
		p.logProxy.setMode(forwarding)
	case logFault:
		e.logStore.SetFault(logFaults[f.variant%len(logFaults)])
		sleep(ctx, f.duration)
		e.logStore.SetFault(hostplatform.Healthy)
	case partitionDown:
		e.logStore.SetPartitionDown("content", f.variant%logPartitions, true)
		sleep(ctx, f.duration)
		e.logStore.SetPartitionDown("content", f.variant%logPartitions, false)
	case trimTopics:
		e.logStore.TrimTopic(platform.OperatorTopic)
		e.logStore.TrimTopic(platform.RegistryTopic)
	case linksCut:
		e.cutLinks(ctx, f)
	case keyRotation:
		e.rotateKey(ctx)
	case newWeightVersion:
		e.announceVersion(models[f.index%len(models)])
	default:
		e.applyTargetFault(ctx, f)
	}
}

// cutLinks makes one instance lose its links to all targets: its connections go silent, or are
// reset.
func (e *environment) cutLinks(ctx context.Context, f fault) {
	modes := []proxyMode{blackholed, responsesBlocked, resetting}
	owner := f.index % len(e.instances)
	for _, t := range e.targets {
		t.proxy.setOwnerMode(owner, modes[f.variant%len(modes)])
	}
	sleep(ctx, f.duration)
	for _, t := range e.targets {
		t.proxy.setOwnerMode(owner, forwarding)
	}
}

// applyTargetFault is applyFault for the faults of a target.
func (e *environment) applyTargetFault(ctx context.Context, f fault) {
	t := e.targets[f.index%len(e.targets)]
	engine := e.engines()[f.index%e.cfg.Engines].engine
	switch f.kind {
	case targetProxyFault:
		// Any mode except forwarding, as for logProxyFault.
		t.proxy.setMode(proxyMode(1 + f.variant%int(resetting)))
		sleep(ctx, f.duration)
		t.proxy.setMode(forwarding)
	case engineStalled:
		engine.SetStalled(true)
		sleep(ctx, f.duration)
		engine.SetStalled(false)
	case engineAborts:
		engine.AbortAfterEvents(1 + f.variant%9)
		sleep(ctx, f.duration)
		engine.AbortAfterEvents(0)
	case targetLimit:
		e.limitTarget(ctx, t, float64(1+f.variant%3), f.duration)
	}
}

// restart starts the instance unless it runs. A failed start counts as a violation.
func (e *environment) restart(p *process) {
	if err := p.start(); err != nil {
		e.recordViolation("%v", err)
	}
}

// rotateKey adds a key and withdraws the older ones 2 s later. By then the new key must
// be in effect.
func (e *environment) rotateKey(ctx context.Context) {
	e.mu.Lock()
	newKey := fmt.Sprintf("key-%d", e.configVersion)
	e.keys = append(e.keys, newKey)
	e.mu.Unlock()
	e.writeConfig()
	sleep(ctx, 2*time.Second)
	e.mu.Lock()
	e.keys = []string{e.keys[len(e.keys)-1]}
	e.mu.Unlock()
	e.writeConfig()
}

// key returns the oldest key that is not withdrawn, as the newest may not be in effect
// yet. When the older keys are withdrawn, 2 s after the newest was added, that one must be
// in effect on every instance that can read the log.
func (e *environment) key() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keys[0]
}

// clearFaults ends all faults and starts the instances that are down.
func (e *environment) clearFaults() {
	e.logStore.SetFault(hostplatform.Healthy)
	for partition := range logPartitions {
		e.logStore.SetPartitionDown("content", partition, false)
	}
	for _, t := range e.targets {
		t.proxy.setMode(forwarding)
		for owner := range e.instances {
			t.proxy.setOwnerMode(owner, forwarding)
		}
		t.engine.SetStalled(false)
		t.engine.AbortAfterEvents(0)
	}
	for _, p := range e.instances {
		e.resume(p)
		p.logProxy.setMode(forwarding)
		e.restart(p)
	}
	e.printf("healed")
}

// sleep returns after d or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
