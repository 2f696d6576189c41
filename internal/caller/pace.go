package caller

import "time"

const (
	// minFlushInterval is the time that a relay rests between two small writes to a
	// caller. Events that come meanwhile go out together: a write each costs far
	// more than the event.
	minFlushInterval = 8 * time.Millisecond
	// fastSourceBytes in two writes on end tell of a source that needs no pace. They are
	// fewer than the reader's buffer holds, so that a pace never lets a backlog grow.
	fastSourceBytes = 7 << 10
)

// pacer decides after which writes a relay rests.
type pacer struct {
	written  int // bytes since the last flush
	previous int // bytes of the flush before
}

func (p *pacer) wrote(n int) { p.written += n }

// flushed notes a flush and reports whether to rest. A buffer that fills leaves a
// part of an event to the next read, so that a short write may stand between long
// ones: two on end count.
func (p *pacer) flushed() (rest bool) {
	rest = p.written+p.previous < fastSourceBytes
	p.written, p.previous = 0, p.written
	return rest
}
