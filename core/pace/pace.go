// Package pace decides how long an instance pauses between its reads of a topic that all
// instances follow.
//
// On a busy deployment every topic gets new records all the time, so a long poll ends at
// once and the reads add up to instances times batches: 295 instances that follow a topic
// with 100 batches a second would make 29,500 reads a second, more than the platform
// allows, and most of them at instances that do nothing with the records. So only an
// instance that needs the records at once reads without a pause. The others share a fixed
// part of the platform's read rate and get several batches with each read.
//
// The package has no clock and no I/O.
package pace

import "time"

const (
	// idleShare is the part of the platform's read rate that all idle instances together
	// use for one topic.
	idleShare = 0.05
	// maxPause is well below the shortest time within which a change must take effect, 2 s.
	maxPause = 400 * time.Millisecond
)

// Pause returns how long an instance waits after a read before the next one. instances is
// the number of instances of the deployment, readsPerSecond the platform's limit for all of
// them together; zero: not known. busy is set if the instance needs new records at once.
func Pause(instances int, readsPerSecond float64, busy bool) time.Duration {
	if busy || readsPerSecond <= 0 {
		return 0
	}
	pause := time.Duration(float64(instances) / (idleShare * readsPerSecond) * float64(time.Second))
	return min(pause, maxPause)
}
