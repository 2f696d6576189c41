package directory

import "time"

// ColdStart describes the targets of a service that cannot take their full load at once after
// a start.
//
// Load pattern: all targets of a data centre start or are readmitted together, while the tasks
// of several jobs wait for them. Each runner sees idle engines and fills them within
// milliseconds, which together is several times what a cold engine survives.
type ColdStart struct {
	Duration  time.Duration // from the start of a target, for an entry that does not say how long it stays cold
	PerSecond float64       // requests that a cold target tolerates, of all instances together; zero: it is never cold
}

// warmUp is what is known about the warm-up of one start of a target.
type warmUp struct {
	stated       bool          // an entry says until when the target is cold
	coldUntil    time.Duration // by the latest entry, if stated
	registeredAt time.Duration // first entry of this start
	// doubtedAt is when the target started, was readmitted, or did not answer: an entry may still
	// say that it is cold.
	doubtedAt time.Duration
}

// coldEnd returns when the target counts as warm, as of now. A doubt ends once the entries of the
// time in which the target could say that it is cold have been read; while they cannot be read, when
// a target that started again as late as the registry may be would be warm.
func (d *Directory) coldEnd(now time.Duration, t Target) time.Duration {
	w, c := d.warmUps[t.ID], d.coldStarts[t.Service]
	end := w.registeredAt + c.Duration
	if w.stated {
		end = w.coldUntil
	}
	doubtEnd := w.doubtedAt + d.entryDelay
	if now >= doubtEnd && d.currentAt < doubtEnd {
		doubtEnd += c.Duration
	}
	return max(end, doubtEnd)
}

// RegistryCurrent records that every entry that was in the registry at the time at was passed in.
func (d *Directory) RegistryCurrent(at time.Duration) { d.currentAt = at }

// SetColdStarts replaces the cold starts of the services, by name. entryDelay is how late the
// registry may say that a target has become cold.
func (d *Directory) SetColdStarts(byService map[string]ColdStart, entryDelay time.Duration) {
	d.coldStarts, d.entryDelay = byService, entryDelay
}

// HasColdStart reports whether the targets of a service may be cold.
func (d *Directory) HasColdStart(service string) bool { return d.coldStarts[service].PerSecond > 0 }

// Doubt records that the target with the id, started at startedAt, did not answer: it may have
// started again, or become cold. It reports whether that changes what Targets returns.
func (d *Directory) Doubt(now time.Duration, id string, startedAt int64) bool {
	t, found := d.targets[id]
	if !found || t.StartedAt != startedAt || !d.HasColdStart(t.Service) {
		return false
	}
	wasCold := d.cold(now, t)
	d.doubt(now, id)
	return !wasCold
}

// DoubtAll is Doubt for every target: nothing was heard of any of them for a while. It returns the
// number of targets that count as cold only since.
func (d *Directory) DoubtAll(now time.Duration) (doubted int) {
	for id, t := range d.targets {
		if d.Doubt(now, id, t.StartedAt) {
			doubted++
		}
	}
	return doubted
}

func (d *Directory) doubt(now time.Duration, id string) {
	w := d.warmUps[id]
	w.doubtedAt = now
	d.warmUps[id] = w
}

// noteEntry updates the warm-up of a target from its new entry.
func (d *Directory) noteEntry(now time.Duration, previous, t Target, known bool) {
	w := d.warmUps[t.ID]
	if !known || t.StartedAt != previous.StartedAt {
		w = warmUp{registeredAt: now, doubtedAt: now}
	}
	if t.Ready && !previous.Ready {
		w.doubtedAt = now
	}
	if t.ColdStated {
		w.stated, w.coldUntil = true, now+t.ColdFor
	}
	d.warmUps[t.ID] = w
}

// cold reports whether the target is cold at now, or may be.
func (d *Directory) cold(now time.Duration, t Target) bool {
	return d.HasColdStart(t.Service) && now < d.coldEnd(now, t)
}

// applyWarmUp sets the limit of a cold target.
func (d *Directory) applyWarmUp(now time.Duration, t *Target) {
	if !d.cold(now, *t) {
		return
	}
	t.Cold = true
	if perSecond := d.coldStarts[t.Service].PerSecond; !t.Limited || perSecond < t.RequestLimit {
		t.Limited, t.RequestLimit = true, perSecond
	}
}

// NextWarm returns when the next cold target stops being cold, after now, if the registry is read
// until then. It returns false if no target is cold.
func (d *Directory) NextWarm(now time.Duration) (at time.Duration, found bool) {
	for _, t := range d.targets {
		if !d.cold(now, t) {
			continue
		}
		if end := d.coldEnd(now, t); !found || end < at {
			at, found = end, true
		}
	}
	return at, found
}
