package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is what a fault does.
type faultKind uint8

// The kinds of faults.
const (
	killInstance     faultKind = iota // SIGKILL, and a start after the span
	pauseInstance                     // SIGSTOP, and SIGCONT after the span
	stopInstance                      // SIGTERM, and a start once it has ended
	logProxyFault                     // one instance's way to the log
	logFault                          // the log for everyone
	partitionDown                     // one partition of tasks and texts
	trimTopics                        // the history of the platform's own topics
	targetProxyFault                  // everyone's way to one target
	engineStalled                     // one engine makes no more events
	engineAborts                      // one engine breaks off inside events
	keyRotation                       // a key is added and another one withdrawn
	newWeightVersion                  // a trainer names a version
	numFaultKinds
)

var kindNames = [...]string{
	"kill", "pause", "stop", "store link", "store down", "partition down", "store forgets", "target link",
	"engine silent", "engine torn", "key change", "named version",
}

// fault is one entry of a plan.
type fault struct {
	start, duration time.Duration
	kind            faultKind
	index           int // instance or target, modulo their number
	variant         int // mode of a link or fault of the log
}

// String describes the fault.
func (f fault) String() string {
	return fmt.Sprintf("%s %s %s of %d how %d", f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), kindNames[f.kind], f.index, f.variant)
}

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// drawFaults draws the faults of a run. They come in series and overlap.
func drawFaults(random *rand.Rand, length time.Duration, count int) []fault {
	out := make([]fault, 0, count)
	for len(out) < count {
		f := fault{
			start:    time.Duration(random.Int64N(int64(length))),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:     faultKind(random.IntN(int(numFaultKinds))),
			index:    random.IntN(1 << 16), variant: random.IntN(1 << 16),
		}
		for range 1 + random.IntN(3) { // a series of the same kind
			out = append(out, f)
			f.start += time.Duration(random.Int64N(int64(time.Second)))
			f.index++
		}
	}
	slices.SortFunc(out, func(a, b fault) int { return int(a.start - b.start) })
	return out
}
