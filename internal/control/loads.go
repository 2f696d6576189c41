package control

import (
	"context"
	"time"
)

// loadReadTimeout is the longest time that an owner takes to read a target's load.
const loadReadTimeout = time.Second

// ReportedLoad is a target's load as its owner reported it.
type ReportedLoad struct {
	TargetLoad
	At time.Duration // earliest time at which it was measured; reading of this instance's clock
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

// maxReportedLoadAge returns the maximum age of the loads in a heartbeat when it is
// received.
func (l *Loop) maxReportedLoadAge() time.Duration {
	age := loadReadTimeout
	if cfg := l.state.Config(); cfg != nil {
		age += cfg.Control.Heartbeat
	}
	return age
}
