package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is what a fault affects and how.
type faultKind uint8

// The kinds of faults.
const (
	killInstance     faultKind = iota // SIGKILL, and a restart after a quarter of the duration
	pauseInstance                     // SIGSTOP, and SIGCONT after the duration
	stopInstance                      // SIGTERM, and a restart once the process has exited
	logProxyFault                     // the proxy between one instance and the log
	logFault                          // the log, for all instances
	partitionDown                     // one partition with tasks and their outputs
	trimTopics                        // the history of the platform's own topics is dropped
	targetProxyFault                  // the proxy between all instances and one target
	engineStalled                     // the streams of one engine stall
	engineAborts                      // one engine ends its streams after a few events
	keyRotation                       // a key is added and the older ones are withdrawn
	newWeightVersion                  // the trainer publishes a weight version
	numFaultKinds
)

// faultKindNames are the names in the log of faults, by kind.
var faultKindNames = [...]string{
	"kill", "pause", "stop", "log proxy", "log fault", "partition down", "topics trimmed", "target proxy",
	"engine stalled", "engine aborts", "key rotation", "new weight version",
}

// fault is one fault of a run. start counts from the start of the load.
type fault struct {
	start, duration time.Duration
	kind            faultKind
	index           int // of the instance or target, modulo their number
	variant         int // proxy mode, log fault, partition or number of events
}

// String returns the line of the fault in the log of faults.
func (f fault) String() string {
	return fmt.Sprintf("%s for %s: %s, index %d, variant %d", f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), faultKindNames[f.kind], f.index, f.variant)
}

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// drawFaults returns at least minFaults faults sorted by start. Each drawn fault occurs
// one to three times in all, each time on the next instance or target and up to 1 s
// later, so that faults come in series and overlap.
func drawFaults(random *rand.Rand, runDuration time.Duration, minFaults int) []fault {
	faults := make([]fault, 0, minFaults)
	for len(faults) < minFaults {
		f := fault{
			start:    time.Duration(random.Int64N(int64(runDuration))),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:     faultKind(random.IntN(int(numFaultKinds))),
			index:    random.IntN(1 << 16), variant: random.IntN(1 << 16),
		}
		for range 1 + random.IntN(3) { // a series of one kind
			faults = append(faults, f)
			f.start += time.Duration(random.Int64N(int64(time.Second)))
			f.index++
		}
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.start - b.start) })
	return faults
}
