package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// In one of eight seeds half of the instances is killed and finds only the latest records when it
	// starts again. Then the others stand still, so that one of these gets the lease. The others never
	// miss a record: a job whose records nobody has read is lost.
	shortHistory    = time.Second
	longHistory     = 300 * time.Second       // longer than a run
	historyFirst    = 4 * time.Second         // first kills
	historyRestart  = 2500 * time.Millisecond // from the kills to the pauses
	historyPause    = leaseTerm + 500*time.Millisecond
	historyRecovery = 2 * time.Second // from the end of the pauses to the next kills, at most
)

// hasShortHistory reports whether the log of the run keeps the records of shortHistory only.
func (e *environment) hasShortHistory() bool { return e.cfg.Seed%8 == 3 }

// history returns how long the log keeps records, by the settings.
func (e *environment) history() time.Duration {
	if e.hasShortHistory() {
		return 2 * shortHistory // what forgetHistory leaves may be older, but not by as much
	}
	return longHistory
}

// forgetHistory removes the records that are older than shortHistory, but for outputs and tasks.
func (e *environment) forgetHistory(ctx context.Context) {
	ends := e.logStore.Ends("control")
	maps.Copy(ends, e.logStore.Ends("usage"))
	sleep(ctx, shortHistory)
	e.logStore.TrimTo(ends)
}

// shortenHistory replaces the faults by which instances miss records, or are killed, by the kills and
// pauses of a short history.
func (e *environment) shortenHistory(random *rand.Rand, faults []fault) []fault {
	faults = slices.DeleteFunc(faults, func(f fault) bool {
		return slices.Contains([]faultKind{killInstance, pauseInstance, stopInstance, logProxyFault, logFault}, f.kind)
	})
	for at := historyFirst; at < e.cfg.Duration; {
		for i := range e.cfg.Instances {
			f := fault{start: at, kind: killInstance, index: i}
			if i >= max(1, e.cfg.Instances/2) {
				f = fault{start: at + historyRestart, duration: historyPause, kind: pauseInstance, index: i}
			}
			faults = append(faults, f)
		}
		at += historyRestart + historyPause + time.Duration(random.Int64N(int64(historyRecovery)))
	}
	return faults
}
