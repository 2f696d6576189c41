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
//
// Any process may write an entry under the id of a target, also one of a later start than its
// own. The target's own entries follow each other with its heartbeats, which tells them apart; see
// Put.
//
// The operator may ask that the targets of a data centre get no further requests; see Evacuate.
// A target that has started may be cold: it then takes few requests a second; see ColdStart.
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
	ReclaimedIn  time.Duration    // time until the target is reclaimed; zero: unknown, or over an hour
	Limited      bool             // the target takes RequestLimit at most
	RequestLimit float64          // requests a second, of all instances together
	ColdStated   bool             // the entry says whether the target is cold
	ColdFor      time.Duration    // time from the entry until the target is warm, if ColdStated
	Cold         bool             // RequestLimit is that of a cold target
	Evacuated    bool             // the data centre is evacuated
}

// Directory holds the targets. It is not safe for concurrent use.
type Directory struct {
	targets     map[string]Target
	rivals      map[string]rival         // by id
	expiresAt   map[string]time.Duration // when entries removed within a grace period expire, by id
	gracePeriod time.Duration            // how long after an outage removals are delayed
	graceUntil  time.Duration            // end of the latest grace period
	holds       map[Scope]hold
	limits      map[string]limit  // named by the targets, by id
	warmUps     map[string]warmUp // by id
	coldStarts  map[string]ColdStart
	entryDelay  time.Duration // how late an entry may say that its target is cold
	currentAt   time.Duration // see RegistryCurrent
}

// MaxReclaimNotice bounds the time until a target is reclaimed: a longer one is no notice, and
// must not keep orders of targets away from its data centre.
const MaxReclaimNotice = time.Hour

// New returns an empty directory. gracePeriod is how long the entry of a running target may be
// missing after an outage of the registry.
func New(gracePeriod time.Duration) *Directory {
	return &Directory{
		targets: map[string]Target{}, rivals: map[string]rival{}, expiresAt: map[string]time.Duration{}, gracePeriod: gracePeriod,
		holds: map[Scope]hold{}, limits: map[string]limit{}, warmUps: map[string]warmUp{},
	}
}

// RegistryRestored starts a grace period at now, when the registry responds again after an
// outage.
func (d *Directory) RegistryRestored(now time.Duration) { d.graceUntil = now + d.gracePeriod }

// Put stores an entry and cancels its pending removal. It ignores an entry that arrives late:
// one from an earlier start of the target, or from an earlier heartbeat of the same start. If such
// entries go on with further heartbeats while the stored entry's do not, the stored one was left by
// another writer, and the latest of them replaces it.
func (d *Directory) Put(now time.Duration, t Target) {
	current, known := d.targets[t.ID]
	order := compareHeartbeats(t, current)
	if order < 0 && !d.noteRival(now, t) {
		return
	}
	if order != 0 {
		delete(d.rivals, t.ID)
	}
	if t.ReclaimedIn > MaxReclaimNotice {
		t.ReclaimedIn = 0
	}
	delete(d.expiresAt, t.ID)
	if h, leaving := d.holds[Scope{Target: t.ID}]; leaving && h.startedAt < t.StartedAt {
		delete(d.holds, Scope{Target: t.ID})
	}
	d.noteEntry(now, current, t, known)
	d.targets[t.ID] = t
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
	d.delete(id)
}

// delete removes the entry with the id. What it said of the target's warm-up goes with it: an
// entry that comes back counts as a new one.
func (d *Directory) delete(id string) {
	delete(d.targets, id)
	delete(d.rivals, id)
	delete(d.warmUps, id)
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
			d.delete(id)
			removed = true
		}
	}
	return removed
}

// Targets returns the targets as of now, sorted by id.
func (d *Directory) Targets(now time.Duration) []Target {
	out := make([]Target, 0, len(d.targets))
	for _, t := range d.targets {
		d.applyHolds(&t)
		if l, limited := d.limits[t.ID]; limited && l.startedAt == t.StartedAt {
			t.Limited, t.RequestLimit = true, l.perSecond
		}
		d.applyWarmUp(now, &t)
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}
