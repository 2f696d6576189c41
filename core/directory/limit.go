package directory

import "time"

// limitRetention is how long the limit of a target without an entry is kept: an entry that
// expired in an outage may come back, and the limit still holds then.
const limitRetention = time.Minute

// limit is the limit that one start of a target has named.
type limit struct {
	startedAt int64 // as Target.StartedAt
	perSecond float64
	namedAt   time.Duration // arrival of the latest response that named it
}

// SetLimit records that the target with the id, started at startedAt, has named a limit of
// requests a second in a response that arrived at now. It reports whether that changes what
// Targets returns. Responses of earlier starts are ignored.
func (d *Directory) SetLimit(now time.Duration, id string, startedAt int64, perSecond float64) bool {
	current, limited := d.limits[id]
	if d.targets[id].StartedAt > startedAt || limited && current.startedAt > startedAt {
		return false
	}
	d.limits[id] = limit{startedAt, perSecond, now}
	return !limited || current.startedAt != startedAt || current.perSecond != perSecond
}

// LiftLimit records that the target answered without a limit a request sent at sentAt. That
// lifts the limit only if the request was sent after the latest response that named it:
// responses on different connections may overtake each other. It reports whether the target
// had a limit until now.
func (d *Directory) LiftLimit(id string, startedAt int64, sentAt time.Duration) bool {
	current, limited := d.limits[id]
	if !limited || current.startedAt != startedAt || sentAt < current.namedAt {
		return false
	}
	delete(d.limits, id)
	return true
}

// pruneLimits drops the limits of targets that have no entry any more.
func (d *Directory) pruneLimits(now time.Duration) {
	for id, l := range d.limits {
		if _, found := d.targets[id]; !found && now-l.namedAt > limitRetention {
			delete(d.limits, id)
		}
	}
}
