package soak

import (
	"context"
	"time"

	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// evacuationLearnTime is how long the instances may take to stop sending to an evacuated data
	// centre, and to get over a disturbance of the log or a pause.
	evacuationLearnTime = 3 * time.Second
	// slowInterval is the time between events at every third engine. The others take a quarter.
	slowInterval = 8 * time.Millisecond
)

// dataCentres are the data centres of the targets, in turn.
var dataCentres = []string{"a", "b"}

// period is a time in the run.
type period struct{ from, to time.Time }

// evacuation is a time in which a data centre was evacuated.
type evacuation struct {
	dataCentre string
	period
}

// dataCentreOf returns the data centre of the target with the index.
func dataCentreOf(target int) string { return dataCentres[target%len(dataCentres)] }

// evacuate asks that the targets of a data centre get no requests for the duration, unless one is
// evacuated already.
func (e *environment) evacuate(ctx context.Context, f fault) {
	e.mu.Lock()
	busy := e.evacuating
	e.evacuating = true
	e.mu.Unlock()
	if busy {
		return
	}
	done := evacuation{dataCentre: dataCentreOf(f.index), period: period{from: time.Now()}}
	key := "evacuate/" + done.dataCentre
	e.logStore.Put(platform.OperatorTopic, key, map[string]any{})
	sleep(ctx, evacuationLearnTime+f.duration)
	done.to = time.Now()
	e.logStore.Put(platform.OperatorTopic, key, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuating = false
	e.evacuations = append(e.evacuations, done)
}

// disturb notes that instances may not read the log, or do not run, until the returned function is
// called.
func (e *environment) disturb() (end func()) {
	started := time.Now()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.disturbances = append(e.disturbances, period{started, time.Now()})
	}
}

// checkEvacuations records a violation for each request that arrived in an evacuated data centre
// later than evacuationLearnTime after the evacuation began and the last disturbance ended.
func (e *environment) checkEvacuations() {
	for _, v := range e.evacuations {
		for i, t := range e.targets {
			if dataCentreOf(i) != v.dataCentre {
				continue
			}
			for _, at := range t.engine.Arrivals() {
				if at.After(v.from.Add(evacuationLearnTime)) && at.Before(v.to) && !e.disturbedAt(at) {
					e.recordViolation("target %s got a request %s after the evacuation of %s", t.engine.ID, at.Sub(v.from).Round(time.Millisecond), v.dataCentre)
				}
			}
		}
	}
}

func (e *environment) disturbedAt(at time.Time) bool {
	for _, d := range e.disturbances {
		if at.After(d.from) && at.Before(d.to.Add(evacuationLearnTime)) {
			return true
		}
	}
	return false
}
