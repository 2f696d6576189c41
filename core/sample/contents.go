package sample

// Snapshot holds an owner's groups and their finished samples: the state that is held only
// in memory and not in the log. A mirror keeps a copy of it.
type Snapshot struct {
	Groups  []Group  `cbor:"1,keyasint"`
	Samples []Sample `cbor:"2,keyasint"`
}

// Snapshot returns the state that would be lost if the instance stopped, in submission order.
func (o *Owner) Snapshot() Snapshot {
	var snapshot Snapshot
	for _, id := range o.groupIDs {
		g := o.groups[id]
		snapshot.Groups = append(snapshot.Groups, g.Group)
		for i := range g.states {
			if g.states[i] == finished {
				snapshot.Samples = append(snapshot.Samples, g.samples[i])
			}
		}
	}
	return snapshot
}

// Restore adds a former owner's state from a mirror. It skips groups that Submit rejects,
// and samples that belong to no group of the owner, that have another prompt or that Finish rejects.
func (o *Owner) Restore(snapshot Snapshot) {
	for _, g := range snapshot.Groups {
		if err := o.Submit(g); err != nil {
			continue // the delivery state, or a group from another mirror, takes precedence
		}
	}
	for _, s := range snapshot.Samples {
		if g := o.groups[s.Group]; g != nil && g.Prompt == s.Prompt {
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
