package control

import (
	"context"
	"time"
)

// loadReadTimeout is the upper bound of the time in which an owner reads a target's load.
const loadReadTimeout = time.Second

// ReportedLoad is a target's load as its owner reported it.
type ReportedLoad struct {
	TargetLoad
	At time.Duration // earliest time of the measurement; reading of this instance's clock
}

// loadsQuery requests all reported loads from the control goroutine.
type loadsQuery struct {
	reply chan<- map[string]ReportedLoad
}

// Loads returns the reported loads by target. It fails when ctx ends first.
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

// maxReportedLoadAge returns the upper bound of the age of the loads in a heartbeat.
func (l *Loop) maxReportedLoadAge() time.Duration {
	age := loadReadTimeout
	if cfg := l.state.Config(); cfg != nil {
		age += cfg.Control.Heartbeat
	}
	return age
}
