package control

import (
	"context"
	"time"
)

// loadReadTimeout bounds how long an owner takes to read a target's load.
const loadReadTimeout = time.Second

// ReportedLoad is a target's load as its owner reported it.
type ReportedLoad struct {
	TargetLoad
	At time.Duration // reading of this instance's clock; the load is no older
}

// loadsQuery asks the control goroutine for all reported loads.
type loadsQuery struct {
	reply chan<- map[string]ReportedLoad
}

// Loads returns the reported loads by target.
func (l *Loop) Loads(ctx context.Context) (map[string]ReportedLoad, error) {
	reply := make(chan map[string]ReportedLoad, 1)
	l.post(ctx, loadsQuery{reply})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case loads := <-reply:
		return loads, nil
	}
}

func (m loadsQuery) handle(l *Loop) {
	out := make(map[string]ReportedLoad, len(l.loads))
	for target, load := range l.loads {
		out[target] = ReportedLoad{load, l.loadsAt[target]}
	}
	m.reply <- out
}

// maxReportedLoadAge bounds how old the loads in a heartbeat are.
func (l *Loop) maxReportedLoadAge() time.Duration {
	age := loadReadTimeout
	if cfg := l.state.Config(); cfg != nil {
		age += cfg.Control.Heartbeat
	}
	return age
}
