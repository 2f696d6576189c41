package control

import "maps"

// drainsChanged publishes the drained targets anew.
func (l *Loop) drainsChanged() {
	l.drains = maps.Clone(l.state.Drains)
	l.routing.changed = true
}
