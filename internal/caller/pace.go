package caller

import "time"

const (
	// minFlushInterval is the delay after a small write to a caller. Events that arrive
	// during the delay are written together, since a write costs far more than an
	// event.
	minFlushInterval = 8 * time.Millisecond
	// fastSourceBytes is the total size of two consecutive flushes from which on the
	// source counts as fast and the delay is skipped. It is less than the 8 KiB of the
	// reader's buffer. A full buffer therefore always counts as fast, so that the delay
	// never lets a backlog grow.
	fastSourceBytes = 7 << 10
)

// flushThrottle decides after which flushes a stream is delayed.
type flushThrottle struct {
	pendingBytes  int // bytes since the last flush
	previousBytes int // bytes of the previous flush
}

// addBytes records written bytes that are not flushed yet.
func (t *flushThrottle) addBytes(n int) { t.pendingBytes += n }

// recordFlush records a flush and reports whether to wait for minFlushInterval. It adds
// up two consecutive flushes, since a full buffer leaves a part of an event to the next
// read, so that a small flush may occur between large ones.
func (t *flushThrottle) recordFlush() (delay bool) {
	delay = t.pendingBytes+t.previousBytes < fastSourceBytes
	t.pendingBytes, t.previousBytes = 0, t.pendingBytes
	return delay
}
