package directory

import (
	"slices"
	"time"
)

// Scope is what a hold covers: every target of a data centre, or one target.
type Scope struct {
	DataCentre string
	Target     string // id
}

// hold states that the targets of a scope get no further requests.
type hold struct {
	since     time.Duration
	startedAt int64 // start of the target that the hold is about, as Target.StartedAt; for a target only
}

// Evacuate records that no request may go to the targets of a data centre until Readmit. It
// reports whether that is a change.
func (d *Directory) Evacuate(now time.Duration, dataCentre string) bool {
	scope := Scope{DataCentre: dataCentre}
	if _, held := d.holds[scope]; held {
		return false
	}
	d.holds[scope] = hold{since: now}
	return true
}

// Readmit ends the evacuation of a data centre. Its targets may have become cold meanwhile, so
// they count as cold until an entry has had time to say so. It reports whether that is a change.
func (d *Directory) Readmit(now time.Duration, dataCentre string) bool {
	scope := Scope{DataCentre: dataCentre}
	if _, held := d.holds[scope]; !held {
		return false
	}
	delete(d.holds, scope)
	for id, t := range d.targets {
		if t.DataCentre == dataCentre {
			d.doubt(now, id)
		}
	}
	return true
}

// Evacuated returns the evacuated data centres, sorted.
func (d *Directory) Evacuated() []string {
	var out []string
	for scope := range d.holds {
		if scope.DataCentre != "" {
			out = append(out, scope.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// SetLeaving records that the target with the id, started at startedAt, has said that it
// leaves: Targets returns it as not ready from now on. It reports whether that is a change. A
// later start of the target is not affected.
func (d *Directory) SetLeaving(now time.Duration, id string, startedAt int64) bool {
	if d.targets[id].StartedAt > startedAt {
		return false // the entry is of a later start
	}
	scope := Scope{Target: id}
	if recorded, leaving := d.holds[scope]; leaving && recorded.startedAt >= startedAt {
		return false
	}
	d.holds[scope] = hold{since: now, startedAt: startedAt}
	return true
}

// applyHolds sets the fields of a target that follow from the holds.
func (d *Directory) applyHolds(t *Target) {
	if _, held := d.holds[Scope{DataCentre: t.DataCentre}]; held && t.DataCentre != "" {
		t.Evacuated, t.Ready = true, false
	}
	if _, leaving := d.holds[Scope{Target: t.ID}]; leaving {
		t.Ready = false
	}
}
