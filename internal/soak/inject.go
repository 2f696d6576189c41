package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
	"github.com/amaranthfold/amaranthfold/platform"
)

// logPartitions is how many partitions the settings of the processes give the log.
const logPartitions = 4

// injectFaults carries out the plan and waits until each fault has ended.
func (w *environment) injectFaults(ctx context.Context) {
	began := time.Now()
	var group sync.WaitGroup
	for _, f := range drawFaults(w.random, w.cfg.Duration, w.cfg.Faults) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.start - time.Since(began)):
		}
		w.report.Faults++
		w.printf("fault %s", f)
		group.Go(func() { w.applyFault(ctx, f) })
	}
	group.Wait()
}

func (w *environment) applyFault(ctx context.Context, f fault) {
	p := w.instances[f.index%len(w.instances)]
	t := w.targets[f.index%len(w.targets)]
	engine := w.engines()[f.index%w.cfg.Engines].engine
	switch f.kind {
	case killInstance:
		p.kill()
		sleep(ctx, f.duration/4)
		w.restart(p)
	case pauseInstance:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, f.duration)
		p.signal(syscall.SIGCONT)
	case stopInstance:
		p.signal(syscall.SIGCONT) // a paused process would not hear it
		if end := p.signal(syscall.SIGTERM); end != nil {
			<-end
		}
		w.restart(p)
	case logProxyFault:
		p.store.set(mode(1 + f.variant%int(resetting)))
		sleep(ctx, f.duration)
		p.store.set(forwarding)
	case logFault:
		faults := []hostplatform.Fault{hostplatform.Unavailable, hostplatform.Unresponsive, hostplatform.DropAppendResponses, hostplatform.DropNextAppendResponse, hostplatform.DelayAppends}
		w.store.SetFault(faults[f.variant%len(faults)])
		sleep(ctx, f.duration)
		w.store.SetFault(hostplatform.Healthy)
	case partitionDown:
		w.store.SetPartitionDown("content", f.variant%logPartitions, true)
		sleep(ctx, f.duration)
		w.store.SetPartitionDown("content", f.variant%logPartitions, false)
	case trimTopics:
		w.store.TrimTopic(platform.OperatorTopic)
		w.store.TrimTopic(platform.RegistryTopic)
	case targetProxyFault:
		t.link.set(mode(1 + f.variant%int(resetting)))
		sleep(ctx, f.duration)
		t.link.set(forwarding)
	case engineStalled:
		engine.SetStalled(true)
		sleep(ctx, f.duration)
		engine.SetStalled(false)
	case engineAborts:
		engine.AbortAfterEvents(1 + f.variant%9)
		sleep(ctx, f.duration)
		engine.AbortAfterEvents(0)
	case keyRotation:
		w.rotateKey(ctx)
	case newWeightVersion:
		w.announceVersion()
	}
}

// announceVersion has the trainer name the next weight version.
func (w *environment) announceVersion() {
	w.mu.Lock()
	w.weightVersion++
	version := w.weightVersion
	w.mu.Unlock()
	w.store.Put(platform.OperatorTopic, "version/m", map[string]any{"model": "m", "version": version})
}

func (w *environment) restart(p *process) {
	if err := p.start(); err != nil {
		w.recordViolation("%v", err)
	}
}

// rotateKey adds a key and, once it must be in force, withdraws the older ones.
func (w *environment) rotateKey(ctx context.Context) {
	w.mu.Lock()
	added := fmt.Sprintf("key-%d", w.configVersion)
	w.keys = append(w.keys, added)
	w.mu.Unlock()
	w.configure()
	sleep(ctx, 2*time.Second)
	w.mu.Lock()
	w.keys = []string{w.keys[len(w.keys)-1]}
	w.mu.Unlock()
	w.configure()
}

// key returns the newest key that is certainly in force where the log is read, or
// the one before it while it is new.
func (w *environment) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[0]
}

// clearFaults ends all faults.
func (w *environment) clearFaults() {
	w.store.SetFault(hostplatform.Healthy)
	for part := range logPartitions {
		w.store.SetPartitionDown("content", part, false)
	}
	for _, t := range w.targets {
		t.link.set(forwarding)
		t.engine.SetStalled(false)
		t.engine.AbortAfterEvents(0)
	}
	for _, p := range w.instances {
		p.signal(syscall.SIGCONT)
		p.store.set(forwarding)
		w.restart(p)
	}
	w.printf("healed")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
