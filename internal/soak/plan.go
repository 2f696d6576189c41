package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind is the part of the environment that a fault affects, and the effect.
type faultKind uint8

// The kinds of faults.
const (
	killInstance        faultKind = iota // SIGKILL, and a restart after a quarter of the duration
	pauseInstance                        // SIGSTOP, and SIGCONT after the duration
	stopInstance                         // SIGTERM, and a restart once the process has exited
	logProxyFault                        // the proxy between one instance and the log leaves mode forwarding
	logFault                             // the log fails for all instances, see hostplatform.Fault
	partitionDown                        // one partition of the topic with tasks and outputs is unavailable
	trimTopics                           // the records of the operator and registry topics are trimmed
	targetProxyFault                     // the proxy between all instances and one target leaves mode forwarding
	engineStalled                        // the streams of one engine stall
	engineAborts                         // one engine aborts its streams after 1 to 9 events
	keyRotation                          // a key is added and the older ones are withdrawn
	newWeightVersion                     // the trainer publishes a weight version
	targetLimit                          // one target names a limit of 1 to 3 requests a second
	linksCut                             // one instance loses its links to all targets
	dataCentreEvacuated                  // the operator evacuates a data centre
	dataCentreReclaimed                  // the engines of a data centre are removed after a notice, and come back
	numFaultKinds
)

// faultKindNames are the names that the run prints, by kind.
var faultKindNames = [...]string{
	"kill", "pause", "stop", "log proxy", "log fault", "partition down", "topics trimmed", "target proxy",
	"engine stalled", "engine aborts", "key rotation", "new weight version", "target limit", "links cut",
	"data centre evacuated", "data centre reclaimed",
}

// fault is one fault of a run. start counts from the start of the load.
type fault struct {
	start, duration time.Duration
	kind            faultKind
	index           int // of the affected instance or target, modulo their number
	variant         int // selects the proxy mode, log fault, partition or number of events
}

// String returns the text that the run prints for the fault.
func (f fault) String() string {
	return fmt.Sprintf("%s for %s: %s, index %d, variant %d", f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), faultKindNames[f.kind], f.index, f.variant)
}

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// drawFaults returns at least minFaults faults. It draws series of one to three faults of one
// kind: each next fault of a series affects the next instance or target and starts up to 1 s later,
// so that the faults overlap.
func drawFaults(random *rand.Rand, runDuration time.Duration, minFaults int) []fault {
	faults := make([]fault, 0, minFaults)
	for len(faults) < minFaults {
		f := fault{
			start:    time.Duration(random.Int64N(int64(runDuration))),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:     faultKind(random.IntN(int(numFaultKinds))),
			index:    random.IntN(1 << 16), variant: random.IntN(1 << 16),
		}
		for range 1 + random.IntN(3) {
			faults = append(faults, f)
			f.start += time.Duration(random.Int64N(int64(time.Second)))
			f.index++
		}
	}
	return faults
}
