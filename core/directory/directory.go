// Package directory keeps the targets that have registered themselves at the platform's
// registry.
//
// The caller passes in the registry's entries and removals, and the time. Entries that expire
// because the registry was unavailable do not mean that their targets have stopped. Removals
// within a grace period after an outage are therefore held back until its end: the targets
// stay usable meanwhile, and remain if they register again.
package directory

import (
	"slices"
	"strings"
	"time"
)

// Target is one registered target.
type Target struct {
	ID           string
	Service      string
	Address      string // IP and port
	DataCentre   string
	Slots        int // number of requests that it runs at once
	Ready        bool
	HeartbeatSeq int64            // number of the heartbeat that wrote the entry
	Models       map[string]int64 // weight version by model
	StartedAt    int64            // start of the process, Unix milliseconds; zero: unknown
	ReclaimedIn  time.Duration    // time until the target is reclaimed; zero: unknown
}

// Directory holds the targets. It is not safe for concurrent use.
type Directory struct {
	targets     map[string]Target
	expiresAt   map[string]time.Duration // removed right after an outage, by id: usable until this time
	gracePeriod time.Duration            // how long after an outage removals are held back
	graceUntil  time.Duration            // removals before this time are held back until it
}

// New returns an empty directory. gracePeriod is how long after an outage of the registry
// the entry of a running target may be missing.
func New(gracePeriod time.Duration) *Directory {
	return &Directory{targets: map[string]Target{}, expiresAt: map[string]time.Duration{}, gracePeriod: gracePeriod}
}

// RegistryRestored starts the grace period: the registry responds again after an outage.
func (d *Directory) RegistryRestored(now time.Duration) { d.graceUntil = now + d.gracePeriod }

// Put stores an entry. It ignores a late entry that an earlier start of the target or an
// earlier heartbeat wrote.
func (d *Directory) Put(t Target) {
	current := d.targets[t.ID]
	if t.StartedAt < current.StartedAt || t.StartedAt == current.StartedAt && t.HeartbeatSeq < current.HeartbeatSeq {
		return
	}
	delete(d.expiresAt, t.ID)
	d.targets[t.ID] = t
}

// Remove removes the id's entry, within a grace period only at its end.
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

// Retain removes every entry whose id is not in ids.
func (d *Directory) Retain(now time.Duration, ids map[string]bool) {
	for id := range d.targets {
		if !ids[id] {
			d.Remove(now, id)
		}
	}
}

// Expire removes the entries whose removal was held back until now or earlier and that were
// not stored again. It reports whether there was any.
func (d *Directory) Expire(now time.Duration) bool {
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
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}
