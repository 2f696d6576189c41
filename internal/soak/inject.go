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

// inject carries out the plan and waits until each fault has ended.
func (w *world) inject(ctx context.Context) {
	began := time.Now()
	var group sync.WaitGroup
	for _, f := range plan(w.random, w.cfg.Length, w.cfg.Faults) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.at - time.Since(began)):
		}
		w.reports.Faults++
		w.printf("fault %s", f)
		group.Go(func() { w.carryOut(ctx, f) })
	}
	group.Wait()
}

func (w *world) carryOut(ctx context.Context, f fault) {
	p := w.instances[f.who%len(w.instances)]
	t := w.targets[f.who%len(w.targets)]
	engine := w.engines()[f.who%w.cfg.Engines].engine
	switch f.kind {
	case killInstance:
		p.kill()
		pause(ctx, f.span/4)
		w.restart(p)
	case pauseInstance:
		p.signal(syscall.SIGSTOP)
		pause(ctx, f.span)
		p.signal(syscall.SIGCONT)
	case stopInstance:
		p.signal(syscall.SIGCONT) // a paused process would not hear it
		if end := p.signal(syscall.SIGTERM); end != nil {
			<-end
		}
		w.restart(p)
	case storeLink:
		p.store.set(mode(1 + f.how%int(refusing)))
		pause(ctx, f.span)
		p.store.set(passing)
	case storeDown:
		faults := []hostplatform.Fault{hostplatform.Refusing, hostplatform.Silent, hostplatform.Losing, hostplatform.LosingOnce, hostplatform.LateAppends}
		w.store.SetFault(faults[f.how%len(faults)])
		pause(ctx, f.span)
		w.store.SetFault(hostplatform.Healthy)
	case partitionDown:
		w.store.SetDown("content", f.how%logPartitions, true)
		pause(ctx, f.span)
		w.store.SetDown("content", f.how%logPartitions, false)
	case storeForgets:
		w.store.Forget(platform.OperatorTopic)
		w.store.Forget(platform.RegistryTopic)
	case targetLink:
		t.link.set(mode(1 + f.how%int(refusing)))
		pause(ctx, f.span)
		t.link.set(passing)
	case engineSilent:
		engine.SetSilent(true)
		pause(ctx, f.span)
		engine.SetSilent(false)
	case engineTorn:
		engine.CutAfter(1 + f.how%9)
		pause(ctx, f.span)
		engine.CutAfter(0)
	case keyChange:
		w.changeKey(ctx)
	case namedVersion:
		w.nameVersion()
	}
}

// nameVersion has the trainer name the next weight version.
func (w *world) nameVersion() {
	w.mu.Lock()
	w.named++
	version := w.named
	w.mu.Unlock()
	w.store.Put(platform.OperatorTopic, "version/m", map[string]any{"model": "m", "version": version})
}

func (w *world) restart(p *process) {
	if err := p.start(); err != nil {
		w.note("%v", err)
	}
}

// changeKey adds a key and, once it must be in force, withdraws the older ones.
func (w *world) changeKey(ctx context.Context) {
	w.mu.Lock()
	added := fmt.Sprintf("key-%d", w.config)
	w.keys = append(w.keys, added)
	w.mu.Unlock()
	w.configure()
	pause(ctx, 2*time.Second)
	w.mu.Lock()
	w.keys = []string{w.keys[len(w.keys)-1]}
	w.mu.Unlock()
	w.configure()
}

// key returns the newest key that is certainly in force where the log is read, or
// the one before it while it is new.
func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[0]
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFault(hostplatform.Healthy)
	for part := range logPartitions {
		w.store.SetDown("content", part, false)
	}
	for _, t := range w.targets {
		t.link.set(passing)
		t.engine.SetSilent(false)
		t.engine.CutAfter(0)
	}
	for _, p := range w.instances {
		p.signal(syscall.SIGCONT)
		p.store.set(passing)
		w.restart(p)
	}
	w.printf("healed")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
