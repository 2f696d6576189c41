// Package hlc is a hybrid logical clock: timestamps that stay close to the time
// of day and never order an effect before its cause.
//
// Invariant: a stamp taken after Observe(s) is greater than s.
package hlc

import "time"

// logicalBits of a stamp count events within one millisecond.
const logicalBits = 16

// maxClockSkew bounds how far a peer's stamp may pull the clock ahead of the time
// of day; a peer with a clock further off loses causal order, not the others.
const maxClockSkew = time.Minute

// Timestamp is a time: milliseconds since the Unix epoch and a logical counter.
// Stamps compare as numbers. Zero means none.
type Timestamp uint64

// Time returns the stamp's time of day, to the millisecond.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock makes stamps. The zero value is ready; it is not safe for concurrent use.
type Clock struct{ last Timestamp }

// Next returns a stamp greater than every stamp made or observed before.
func (c *Clock) Next(wall time.Time) Timestamp {
	c.last = max(fromTime(wall), c.last+1)
	return c.last
}

// Observe notes a stamp that came with a message.
func (c *Clock) Observe(wall time.Time, s Timestamp) {
	if s > fromTime(wall.Add(maxClockSkew)) {
		return
	}
	c.last = max(c.last, s)
}

func fromTime(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << logicalBits }
