package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/standin/hostplatform"
)

const (
	// In half of the seeds the log is in trouble again and again, for all instances, while single
	// ones are lost, paused or cut off. Each of these faults lasts until the heartbeats of runners are
	// missing, or nearly so: jobs are claimed from runners that still run.
	minSeriesDuration = 800 * time.Millisecond
	maxSeriesDuration = 3 * time.Second
	maxSeriesGap      = 600 * time.Millisecond

	// The engines of these seeds take seriesInterval for an event, the slow ones half as long again, so
	// that a task outlasts several claims and its events are stored in many parts.
	seriesInterval       = 60 * time.Millisecond
	seriesEvents         = 150 // of one task, at most
	seriesSlotsPerEngine = 16
)

// hasSeries reports whether the run has a series of faults of the log.
func (e *environment) hasSeries() bool { return e.cfg.Seed/2%2 == 0 }

// seriesFaults are the faults of the log in a series.
var seriesFaults = []hostplatform.Fault{
	hostplatform.Unavailable, hostplatform.Slow, hostplatform.SilentAppends, hostplatform.LateAppends, hostplatform.LateAppends,
}

// drawSeries returns a series of faults of the log, until the load ends, and the faults of single
// instances during it.
func drawSeries(random *rand.Rand, runDuration time.Duration) []fault {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	kinds := []faultKind{killInstance, pauseInstance, logProxyFault, linksCut}
	start := between(0, runDuration/4)
	var faults []fault
	for start < runDuration {
		logTrouble := seriesFaults[random.IntN(len(seriesFaults))]
		f := fault{start: start, duration: between(minSeriesDuration, maxSeriesDuration), kind: logFault, variant: slices.Index(logFaults, logTrouble)}
		single := fault{
			start: start + between(0, f.duration), duration: between(minFaultDuration, maxSeriesDuration),
			kind: kinds[random.IntN(len(kinds))], index: random.IntN(1 << 16), variant: random.IntN(1 << 16),
		}
		faults = append(faults, f, single)
		start += f.duration + between(0, maxSeriesGap)
	}
	return faults
}
