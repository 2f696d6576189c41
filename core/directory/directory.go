// Package directory keeps the targets that have registered themselves, as the
// platform's registry tells it.
//
// Entries that lapse while the registry is unavailable say nothing of their
// targets: they stay usable until the registry has been back for a while.
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
	Slots        int // requests that it runs at once
	Ready        bool
	HeartbeatSeq int64            // number of the heartbeat that told this
	Models       map[string]int64 // weight version by model
	StartedAt    int64            // start of the process, Unix milliseconds; zero: unknown
	ReclaimedIn  time.Duration    // time until a reclaimed target is gone; zero: unknown
}

// Directory holds the targets. It is not safe for concurrent use.
type Directory struct {
	targets     map[string]Target
	expiresAt   map[string]time.Duration // removed in or right after an outage: usable until then
	gracePeriod time.Duration            // how long entries may take to come back after an outage
	graceUntil  time.Duration            // entries removed before it may come back
}

// New returns an empty directory. rejoin is how long after an outage a live
// target's entry may be missing.
func New(rejoin time.Duration) *Directory {
	return &Directory{targets: map[string]Target{}, expiresAt: map[string]time.Duration{}, gracePeriod: rejoin}
}

// RegistryRestored notes that the registry answers again after an outage.
func (d *Directory) RegistryRestored(now time.Duration) { d.graceUntil = now + d.gracePeriod }

// Put notes an entry. One that an earlier start of the target or an earlier
// heartbeat wrote arrives late and is ignored.
func (d *Directory) Put(t Target) {
	known := d.targets[t.ID]
	if t.StartedAt < known.StartedAt || t.StartedAt == known.StartedAt && t.HeartbeatSeq < known.HeartbeatSeq {
		return
	}
	delete(d.expiresAt, t.ID)
	d.targets[t.ID] = t
}

// Remove notes that the id's entry is gone.
func (d *Directory) Remove(now time.Duration, id string) {
	if _, known := d.targets[id]; !known {
		return
	}
	if now < d.graceUntil {
		d.expiresAt[id] = d.graceUntil
		return
	}
	delete(d.targets, id)
}

// Retain removes every entry whose id is not listed.
func (d *Directory) Retain(now time.Duration, ids map[string]bool) {
	for id := range d.targets {
		if !ids[id] {
			d.Remove(now, id)
		}
	}
}

// Expire drops lapsed entries that did not come back, and reports whether any was.
func (d *Directory) Expire(now time.Duration) bool {
	dropped := false
	for id, until := range d.expiresAt {
		if now >= until {
			delete(d.expiresAt, id)
			delete(d.targets, id)
			dropped = true
		}
	}
	return dropped
}

// Targets returns the targets by id.
func (d *Directory) Targets() []Target {
	out := make([]Target, 0, len(d.targets))
	for _, t := range d.targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}
