package soak

import (
	"context"
	"syscall"
	"time"
)

// upgrades reports whether the run begins with an earlier build. Cold targets, evacuations,
// notices of reclaim and strangers on the port between instances are left out then: an earlier
// build need not know them, and its instances take plain connections.
func (e *environment) upgrades() bool { return e.cfg.EarlierBinary != "" }

// upgradeInstances replaces the earlier build by Config.Binary, an instance after the other by a
// planned stop, over the middle half of the load. The faults go on meanwhile: an instance that is
// killed starts again with the build that it had.
func (e *environment) upgradeInstances(ctx context.Context) {
	if !e.upgrades() {
		return
	}
	sleep(ctx, e.cfg.Duration/4)
	for _, p := range e.instances {
		if ctx.Err() != nil {
			return
		}
		e.printf("upgrade of %s", p.name)
		e.replaceBuild(p)
		sleep(ctx, e.cfg.Duration/time.Duration(2*len(e.instances)))
	}
}

// replaceBuild stops the process and starts it with Config.Binary.
func (e *environment) replaceBuild(p *process) {
	defer e.disturb()()
	p.mu.Lock()
	p.binary = e.cfg.Binary
	p.mu.Unlock()
	e.resume(p) // a process under SIGSTOP does not handle SIGTERM
	if exited := p.signal(syscall.SIGTERM); exited != nil {
		<-exited
	}
	e.restart(p)
}
