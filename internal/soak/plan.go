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
	killInstance  faultKind = iota // SIGKILL, and a start after the span
	pauseInstance                  // SIGSTOP, and SIGCONT after the span
	stopInstance                   // SIGTERM, and a start once it has ended
	storeLink                      // one instance's way to the log
	storeDown                      // the log for everyone
	partitionDown                  // one partition of tasks and texts
	storeForgets                   // the history of the platform's own topics
	targetLink                     // everyone's way to one target
	engineSilent                   // one engine makes no more events
	engineTorn                     // one engine breaks off inside events
	keyChange                      // a key is added and another one withdrawn
	namedVersion                   // a trainer names a version
	kinds
)

var kindNames = [...]string{
	"kill", "pause", "stop", "store link", "store down", "partition down", "store forgets", "target link",
	"engine silent", "engine torn", "key change", "named version",
}

// fault is one entry of a plan.
type fault struct {
	at, span time.Duration
	kind     faultKind
	who      int // instance or target, modulo their number
	how      int // mode of a link or fault of the log
}

// String describes the fault.
func (f fault) String() string {
	return fmt.Sprintf("%s %s %s of %d how %d", f.at.Round(time.Millisecond), f.span.Round(time.Millisecond), kindNames[f.kind], f.who, f.how)
}

const (
	spanMin = 300 * time.Millisecond
	spanMax = 5 * time.Second
)

// plan draws the faults of a run. They come in series and overlap.
func plan(random *rand.Rand, length time.Duration, count int) []fault {
	out := make([]fault, 0, count)
	for len(out) < count {
		f := fault{
			at:   time.Duration(random.Int64N(int64(length))),
			span: spanMin + time.Duration(random.Int64N(int64(spanMax-spanMin))),
			kind: faultKind(random.IntN(int(kinds))),
			who:  random.IntN(1 << 16), how: random.IntN(1 << 16),
		}
		for range 1 + random.IntN(3) { // a series of the same kind
			out = append(out, f)
			f.at += time.Duration(random.Int64N(int64(time.Second)))
			f.who++
		}
	}
	slices.SortFunc(out, func(a, b fault) int { return int(a.at - b.at) })
	return out
}
