package sample

// Snapshot holds an owner's groups and their finished samples: all state that is held only
// in memory and not in the log. A mirror keeps a copy of it.
type Snapshot struct {
	Groups  []Group  `cbor:"1,keyasint"`
	Samples []Sample `cbor:"2,keyasint"`
}

// Snapshot returns the state that would be lost with the owner, in submission order.
func (o *Owner) Snapshot() Snapshot {
	var snapshot Snapshot
	for _, id := range o.order {
		g := o.groups[id]
		snapshot.Groups = append(snapshot.Groups, g.Group)
		for i := range g.states {
			if g.states[i] == done {
				snapshot.Samples = append(snapshot.Samples, g.samples[i])
			}
		}
	}
	return snapshot
}

// Restore adds a former owner's state from a mirror. Groups that are rejected and samples
// that don't apply are skipped.
func (o *Owner) Restore(snapshot Snapshot) {
	for _, g := range snapshot.Groups {
		if err := o.Submit(g); err != nil {
			continue // the delivery state or another mirror's snapshot takes precedence
		}
	}
	for _, s := range snapshot.Samples {
		if g := o.groups[s.Group]; g != nil {
			o.restoreSample(g, s)
		}
	}
}

func (o *Owner) restoreSample(g *groupState, s Sample) {
	for i := range g.Size {
		if ID(g.ID, i) == s.ID {
			_ = o.Finish(i, s) // an invalid sample is generated again
			return
		}
	}
}
