// Package hlc implements a hybrid logical clock: timestamps that stay close to
// the wall-clock time and never order an effect before its cause.
//
// The caller passes the wall-clock time to each call, sends timestamps with its
// messages, and passes received ones to Observe.
//
// Invariant: a timestamp issued after Observe(wall, s) is greater than s, unless
// s is more than maxClockSkew ahead of wall; Observe ignores such a timestamp.
package hlc

import "time"

// logicalBits is the width, in bits, of the counter that orders the timestamps
// of one millisecond.
const logicalBits = 16

// maxClockSkew is how far ahead of the wall clock an observed timestamp may be.
// Causal order is lost only for a peer whose clock is further ahead.
const maxClockSkew = time.Minute

// Timestamp holds milliseconds since the Unix epoch in its upper bits and a
// logical counter in its lower logicalBits. Timestamps compare as integers. Zero
// means none.
type Timestamp uint64

// Time returns the wall-clock time of the timestamp, to the millisecond.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock issues timestamps. The zero value is ready for use. It is not safe for
// concurrent use.
type Clock struct{ last Timestamp }

// Next returns a timestamp greater than every timestamp that the clock has issued or
// that Observe has accepted.
func (c *Clock) Next(wall time.Time) Timestamp {
	c.last = max(fromTime(wall), c.last+1)
	return c.last
}

// Observe advances the clock to a timestamp received with a message. It ignores a
// timestamp more than maxClockSkew ahead of wall.
func (c *Clock) Observe(wall time.Time, s Timestamp) {
	if s > fromTime(wall.Add(maxClockSkew)) {
		return
	}
	c.last = max(c.last, s)
}

func fromTime(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << logicalBits }
