package sample

// Snapshot are groups with their finished samples, as a mirror keeps them.
type Snapshot struct {
	Groups  []Group  `cbor:"1,keyasint"`
	Samples []Sample `cbor:"2,keyasint"`
}

// Snapshot returns all that the owner would lose.
func (o *Owner) Snapshot() Snapshot {
	var c Snapshot
	for _, id := range o.order {
		g := o.groups[id]
		c.Groups = append(c.Groups, g.Group)
		for i := range g.states {
			if g.states[i] == done {
				c.Samples = append(c.Samples, g.samples[i])
			}
		}
	}
	return c
}

// Restore takes over what a mirror kept for a former owner.
func (o *Owner) Restore(c Snapshot) {
	for _, g := range c.Groups {
		if err := o.Submit(g); err != nil {
			continue // the ledger or another mirror knows better
		}
	}
	for _, s := range c.Samples {
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
