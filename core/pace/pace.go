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
// When all machines come back at once, every instance reads the whole log at the same
// moment: 304 instances that ask for 0.7 MB each wait 2.7 s for a platform that sends 80 MB a
// second, longer than any of them waits for a response. If each then asked again for
// everything, the platform would send responses that nobody waits for, and no instance would
// ever get one. So reads ask for little at first (Reader) and failed ones are repeated ever
// later (Reader.RetryDelay). It is the same when a log that all follow grows by a megabyte at
// once, as after an outage, so they ask for little again at its end.
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

const (
	minPageBytes   = 4 << 10
	firstPageBytes = 64 << 10
	maxPageBytes   = 1 << 20
	fastRead       = 100 * time.Millisecond // a page that takes less leaves room for a larger one
	minRetryDelay  = 50 * time.Millisecond  // about twelve times the log's response time of 4 ms
)

// Reader sizes and repeats the reads of one topic. It halves the page after a failure and
// doubles it after a fast response with more to read behind it. It is not safe for concurrent use.
type Reader struct {
	page     int
	failures int // consecutive
}

// NewReader returns the reader of an instance that has just started.
func NewReader() *Reader { return &Reader{page: firstPageBytes} }

// PageBytes returns how much the next read may return.
func (r *Reader) PageBytes() int { return r.page }

// Succeeded records a read that took so long, and whether there is more to read. The page at the
// end of a topic is that of an instance that has just started.
func (r *Reader) Succeeded(took time.Duration, more bool) {
	r.failures = 0
	switch {
	case !more:
		r.page = firstPageBytes
	case took < fastRead:
		r.page = min(2*r.page, maxPageBytes)
	}
}

// Failed records a failed read.
func (r *Reader) Failed() {
	r.failures++
	r.page = max(r.page/2, minPageBytes)
}

// RetryDelay returns how long to wait before a failed read is repeated. It doubles with each
// failure, up to the pause of an idle instance, and up to maxPause while the number of
// instances is not known. jitter, from 0 to 1, spreads the delay from half to one and a half.
func (r *Reader) RetryDelay(instances int, readsPerSecond, jitter float64) time.Duration {
	longest := max(minRetryDelay, Pause(instances, readsPerSecond, false))
	if instances == 0 {
		longest = maxPause
	}
	delay := min(minRetryDelay<<min(max(r.failures-1, 0), 10), longest)
	return time.Duration((0.5 + jitter) * float64(delay))
}

const (
	// spreadInstances is the number of instances for which a base delay is long enough.
	spreadInstances = 10
	maxSpread       = 1200 * time.Millisecond
	// slowCrowd is how many instances may come before they can read of the first one while the
	// log is slow.
	slowCrowd = 4
)

// Spread returns the longest random delay of an instance before it does what one of all
// instances has to do, as claiming a job without a runner. An instance that has read the
// claim of another one does not claim. The delay grows with the number of instances, so that
// the first one comes as early and as few others come before they have read its claim:
// of 304 instances that draw from 60 ms, 75 would claim each of a dozen jobs within 15 ms.
//
// logDelay is how long records take into the log. If it is seconds, all instances would come
// before they can read of the first one, so the delay grows with it, too. The first one still
// comes after a quarter of logDelay.
func Spread(base time.Duration, instances int, logDelay time.Duration) time.Duration {
	spread := max(base, min(base*time.Duration(instances)/spreadInstances, maxSpread))
	return max(spread, time.Duration(instances)*logDelay/slowCrowd)
}
