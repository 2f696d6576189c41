// Package hlc is a hybrid logical clock: timestamps that stay close to the time
// of day and never order an effect before its cause.
//
// Invariant: a stamp taken after Observe(s) is greater than s.
package hlc

import "time"

// logicalBits of a stamp count events within one millisecond.
const logicalBits = 16

// maxAhead bounds how far a peer's stamp may pull the clock ahead of the time
// of day; a peer with a clock further off loses causal order, not the others.
const maxAhead = time.Minute

// Stamp is a time: milliseconds since the Unix epoch and a logical counter.
// Stamps compare as numbers. Zero means none.
type Stamp uint64

// Time returns the stamp's time of day, to the millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock makes stamps. The zero value is ready; it is not safe for concurrent use.
type Clock struct{ last Stamp }

// Next returns a stamp greater than every stamp made or observed before.
func (c *Clock) Next(wall time.Time) Stamp {
	c.last = max(fromWall(wall), c.last+1)
	return c.last
}

// Observe notes a stamp that came with a message.
func (c *Clock) Observe(wall time.Time, s Stamp) {
	if s > fromWall(wall.Add(maxAhead)) {
		return
	}
	c.last = max(c.last, s)
}

func fromWall(t time.Time) Stamp { return Stamp(t.UnixMilli()) << logicalBits }
