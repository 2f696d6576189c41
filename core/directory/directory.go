// Package directory keeps the entries of the targets that have registered themselves at the
// platform's registry.
//
// The caller passes in the registry's entries and removals, and the time. Entries that expire
// because the registry was unavailable do not mean that their targets have stopped. A grace
// period therefore follows each outage: removals within it take effect only at its end, and a
// target that registers again by then stays in the directory without interruption.
//
// A target that leaves may say so in its responses before its entry does, or while the registry
// is unavailable. SetLeaving then keeps that start of the target from being ready. A target may
// also name in its responses a limit of the rate of requests; see SetLimit.
package directory

import (
	"slices"
	"strings"
	"time"
)

// Target is the registry entry of a target.
type Target struct {
	ID           string
	Service      string
	Address      string // IP and port
	DataCentre   string
	Software     string // version of its program, not of its weights
	Slots        int    // maximum number of concurrent requests
	Ready        bool
	HeartbeatSeq int64            // sequence number of the heartbeat that wrote the entry
	Models       map[string]int64 // weight versions by model
	StartedAt    int64            // start of the process, Unix milliseconds; zero: unknown
	ReclaimedIn  time.Duration    // time until the target is reclaimed; zero: unknown
	Limited      bool             // the target takes RequestLimit at most
	RequestLimit float64          // requests a second, of all instances together
}

// Directory holds the targets. It is not safe for concurrent use.
type Directory struct {
	targets     map[string]Target
	expiresAt   map[string]time.Duration // when entries removed within a grace period expire, by id
	gracePeriod time.Duration            // how long after an outage removals are delayed
	graceUntil  time.Duration            // end of the latest grace period
	leaving     map[string]int64         // StartedAt of the targets that have said that they leave, by id
	limits      map[string]limit         // named by the targets, by id
}

// New returns an empty directory. gracePeriod is how long the entry of a running target may be
// missing after an outage of the registry.
func New(gracePeriod time.Duration) *Directory {
	return &Directory{
		targets: map[string]Target{}, expiresAt: map[string]time.Duration{}, gracePeriod: gracePeriod,
		leaving: map[string]int64{}, limits: map[string]limit{},
	}
}

// RegistryRestored starts a grace period at now, when the registry responds again after an
// outage.
func (d *Directory) RegistryRestored(now time.Duration) { d.graceUntil = now + d.gracePeriod }

// Put stores an entry and cancels its pending removal. It ignores an entry that arrives late:
// one from an earlier start of the target, or from an earlier heartbeat of the same start.
func (d *Directory) Put(t Target) {
	current := d.targets[t.ID]
	if t.StartedAt < current.StartedAt || t.StartedAt == current.StartedAt && t.HeartbeatSeq < current.HeartbeatSeq {
		return
	}
	delete(d.expiresAt, t.ID)
	if startedAt, leaving := d.leaving[t.ID]; leaving && startedAt < t.StartedAt {
		delete(d.leaving, t.ID)
	}
	d.targets[t.ID] = t
}

// SetLeaving records that the target with the id, started at startedAt, has said that it
// leaves: Targets returns it as not ready from now on. It reports whether that is a change. A
// later start of the target is not affected.
func (d *Directory) SetLeaving(id string, startedAt int64) bool {
	if d.targets[id].StartedAt > startedAt {
		return false // the entry is of a later start
	}
	if recorded, leaving := d.leaving[id]; leaving && recorded >= startedAt {
		return false
	}
	d.leaving[id] = startedAt
	return true
}

// Remove removes the entry with the id. Within a grace period the entry stays until Expire
// removes it at the end of the period.
func (d *Directory) Remove(now time.Duration, id string) {
	if _, found := d.targets[id]; !found {
		return
	}
	if now < d.graceUntil {
		d.expiresAt[id] = d.graceUntil
		return
	}
	delete(d.targets, id)
}

// Retain calls Remove for every entry whose id is not in ids.
func (d *Directory) Retain(now time.Duration, ids map[string]bool) {
	for id := range d.targets {
		if !ids[id] {
			d.Remove(now, id)
		}
	}
}

// Expire removes the entries that were removed within a grace period that has ended and that
// were not stored again. It reports whether there were any.
func (d *Directory) Expire(now time.Duration) bool {
	d.pruneLimits(now)
	removed := false
	for id, until := range d.expiresAt {
		if now >= until {
			delete(d.expiresAt, id)
			delete(d.targets, id)
			removed = true
		}
	}
	return removed
}

// Targets returns the targets, sorted by id.
func (d *Directory) Targets() []Target {
	out := make([]Target, 0, len(d.targets))
	for _, t := range d.targets {
		if _, leaving := d.leaving[t.ID]; leaving {
			t.Ready = false
		}
		if l, limited := d.limits[t.ID]; limited && l.startedAt == t.StartedAt {
			t.Limited, t.RequestLimit = true, l.perSecond
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}
