package size

import "time"

// retention is how long a target whose entry is missing counts as running, unless it said that
// it leaves. Entries of running targets lapse for some seconds while the registry is out of
// reach; an order that leaves them out would stop them.
const retention = time.Minute

// Target is the registry entry of a target of the service.
type Target struct {
	ID         string
	DataCentre string
	Slots      int
	Ready      bool
	LeavesIn   time.Duration // until it is reclaimed; zero: it has not said so
	Evacuated  bool
	Cold       bool
}

// member is a target that has been registered.
type member struct {
	Target
	seenAt   time.Duration // last time that its entry was there
	usableAt time.Duration // last time that it was usable; negative: never
	goneAt   time.Duration // when it said that it will be reclaimed; zero: it did not
	present  bool          // its entry is there
	usable   bool          // it takes requests, and has not said that it leaves
}

// fleet holds the targets of a service, and for a while those whose entries are missing.
type fleet struct {
	members map[string]*member
	slots   int // of a target, the largest seen lately
}

// observe updates the fleet and returns the targets that it did not know.
func (f *fleet) observe(now time.Duration, targets []Target) (added []Target) {
	for _, m := range f.members {
		m.present, m.usable = false, false
	}
	for _, t := range targets {
		m := f.members[t.ID]
		if m == nil {
			m = &member{usableAt: -1}
			f.members[t.ID] = m
			added = append(added, t)
		}
		m.Target, m.seenAt, m.present = t, now, true
		m.usable = t.Ready && !t.Evacuated && t.LeavesIn <= 0
		switch {
		case t.LeavesIn > 0:
			m.goneAt = now + t.LeavesIn
		case m.usable:
			m.usableAt, m.goneAt = now, 0
			f.slots = t.Slots
		}
	}
	for id, m := range f.members {
		gone := m.goneAt > 0 && now > m.goneAt
		if !m.present && (gone || now-m.seenAt > retention) {
			delete(f.members, id)
		}
	}
	for _, m := range f.members {
		if m.usable {
			f.slots = max(f.slots, m.Slots)
		}
	}
	return added
}

// zone sums the targets of a data centre.
type zone struct {
	usable    int           // take requests now
	absent    int           // expected to take requests again soon
	running   int           // may be running, in any state: an order must not state less
	leaving   time.Duration // when the last of its targets is reclaimed; zero: none said so
	evacuated bool
	lost      bool // none of its targets is usable, while others are
}

// zones sums the fleet by data centre. A target that is neither ready nor leaving counts as
// absent for the tolerance: a replacement would be ready no earlier. That does not hold if a
// whole data centre is absent while others are not.
func (f *fleet) zones(now, tolerance time.Duration) map[string]*zone {
	out := map[string]*zone{}
	anyUsable := false
	members := map[string]int{}
	for _, m := range f.members {
		z := out[m.DataCentre]
		if z == nil {
			z = &zone{}
			out[m.DataCentre] = z
		}
		z.running++
		members[m.DataCentre]++
		z.evacuated = z.evacuated || m.present && m.Evacuated
		switch {
		case m.usable:
			z.usable++
			anyUsable = true
		case m.goneAt > 0:
			z.leaving = max(z.leaving, m.goneAt)
		case m.usableAt >= 0 && now-m.usableAt <= tolerance && !m.Evacuated:
			z.absent++
		}
	}
	for name, z := range out {
		// A single target that is absent says nothing of its data centre.
		if z.usable == 0 && members[name] > 1 && anyUsable {
			z.lost, z.absent = true, 0
		}
	}
	return out
}
