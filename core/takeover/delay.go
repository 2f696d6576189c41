package takeover

import (
	"slices"
	"time"
)

const (
	// delayWriters is the number of writers whose latest records count: few, so that the estimate
	// follows within a second a log that takes ten records a second.
	delayWriters = 9
	// delayValidity is how long a record counts on a quiet log: those that came before the silence of
	// a runner tell nothing on it.
	delayValidity = silence
	// maxDelay bounds the estimate, which a wrong wall clock can make arbitrarily large. Appends are
	// repeated while the log refuses them, so the delay can be several seconds.
	maxDelay = 10 * time.Second
)

// LogDelay estimates how long records take from their writers into the log. Heartbeats that are
// on their way for seconds are no sign that their runner is dead, and a claim takes as long until
// the other instances read it. The estimate is the median over the latest writers, as some may have
// a wrong clock or have been cut off. It is not safe for concurrent use.
type LogDelay struct{ latest []recordDelay } // one for each writer, the latest last

type recordDelay struct {
	writer      string
	delay, seen time.Duration
}

// Observe notes at now a record that its writer had for delay before it was in the log.
func (d *LogDelay) Observe(now time.Duration, writer string, delay time.Duration) {
	d.latest = slices.DeleteFunc(d.latest, func(r recordDelay) bool { return r.writer == writer })
	if len(d.latest) == delayWriters {
		d.latest = slices.Delete(d.latest, 0, 1)
	}
	d.latest = append(d.latest, recordDelay{writer, min(max(delay, 0), maxDelay), now})
}

// Estimate returns the median delay, zero if no record was noted within delayValidity.
func (d *LogDelay) Estimate(now time.Duration) time.Duration {
	var delays []time.Duration
	for _, r := range d.latest {
		if now-r.seen <= delayValidity {
			delays = append(delays, r.delay)
		}
	}
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[(len(delays)-1)/2]
}
