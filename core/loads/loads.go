// Package loads plans which engines load which weight version of which model.
//
// Loading takes an engine from its model's work and empties its cache, so each
// engine serves one model, and where jobs allow versions behind the newest, only
// part of a model's engines load each new version: the others follow with the
// next one.
package loads

import (
	"cmp"
	"slices"
)

// Engine is a target that may load weights.
type Engine struct {
	ID           string
	Versions     map[string]int64 // by model
	OrderPending bool             // an order is on its way or being carried out
}

// Model is a model with the version that its trainer has named.
type Model struct {
	Name           string
	DesiredVersion int64
	MaxStaleness   int64 // versions behind the named one that jobs still allow
}

// Order moves an engine to a version.
type Order struct {
	Engine  string
	Model   string
	Version int64
}

// Planner divides a service's engines between its models. It remembers the
// division, so that changes move few engines. It is not safe for concurrent use.
type Planner struct {
	modelByEngine map[string]string // model by engine
}

// New returns a planner that knows no division.
func New() *Planner { return &Planner{modelByEngine: map[string]string{}} }

// Plan returns the loads to order now, at most atOnce with those on their way.
func (p *Planner) Plan(engines []Engine, models []Model, atOnce int) []Order {
	if len(models) == 0 {
		return nil
	}
	p.assignModels(engines, models)
	free := atOnce
	for _, e := range engines {
		if e.OrderPending {
			free--
		}
	}
	parts := make([]modelPlan, 0, len(models))
	for _, m := range models {
		parts = append(parts, p.planModel(engines, m))
	}
	var orders []Order
	for len(orders) < free {
		o, found := nextOrder(parts)
		if !found {
			break
		}
		orders = append(orders, o)
	}
	return orders
}

// modelPlan is one model's share of the engines and of the loads.
type modelPlan struct {
	size     int     // engines
	serving  int     // of them that can serve the next job, loads on their way included
	urgent   []Order // loads without which engines cannot serve the next job
	optional []Order // loads that spread the work over the versions
}

// nextOrder takes the load of the model that is served worst.
func nextOrder(parts []modelPlan) (Order, bool) {
	best := -1
	for i := range parts {
		if len(parts[i].urgent) > 0 && (best < 0 || parts[i].servingShare() < parts[best].servingShare()) {
			best = i
		}
	}
	if best >= 0 {
		o := parts[best].urgent[0]
		parts[best].urgent = parts[best].urgent[1:]
		parts[best].serving++
		return o, true
	}
	for i := range parts {
		if len(parts[i].optional) > 0 {
			o := parts[i].optional[0]
			parts[i].optional = parts[i].optional[1:]
			return o, true
		}
	}
	return Order{}, false
}

// servingShare returns which part of the model's engines can serve it.
func (p modelPlan) servingShare() float64 { return float64(p.serving) / float64(max(1, p.size)) }

// planModel returns a model's loads, those furthest behind first.
func (p *Planner) planModel(engines []Engine, m Model) modelPlan {
	var own []Engine
	newest := 0
	for _, e := range engines {
		if p.modelByEngine[e.ID] != m.Name {
			continue
		}
		own = append(own, e)
		if e.Versions[m.Name] >= m.DesiredVersion || e.OrderPending {
			newest++
		}
	}
	slices.SortStableFunc(own, func(a, b Engine) int { return cmp.Compare(a.Versions[m.Name], b.Versions[m.Name]) })
	want := (len(own) + int(m.MaxStaleness)) / (int(m.MaxStaleness) + 1)
	out := modelPlan{size: len(own)}
	for _, e := range own {
		order := Order{e.ID, m.Name, m.DesiredVersion}
		behind := m.DesiredVersion - e.Versions[m.Name]
		if e.OrderPending || behind <= m.MaxStaleness {
			out.serving++
		}
		switch {
		case e.OrderPending || behind <= 0:
		case behind > m.MaxStaleness:
			out.urgent = append(out.urgent, order)
			newest++
		case newest < want:
			out.optional = append(out.optional, order)
			newest++
		}
	}
	return out
}

// assignModels gives every engine a model. An engine that is not known serves the model
// of which it has the newest weights; then engines move from the models that have
// too many to those that have too few.
func (p *Planner) assignModels(engines []Engine, models []Model) {
	present := make(map[string]bool, len(engines))
	count := map[string]int{}
	named := map[string]bool{}
	for _, m := range models {
		named[m.Name] = true
	}
	for _, e := range engines {
		present[e.ID] = true
		if !named[p.modelByEngine[e.ID]] {
			p.modelByEngine[e.ID] = leastStaleModel(e, models)
		}
		count[p.modelByEngine[e.ID]]++
	}
	for id := range p.modelByEngine {
		if !present[id] {
			delete(p.modelByEngine, id)
		}
	}
	for range engines {
		most, least := models[0].Name, models[0].Name
		for _, m := range models {
			if count[m.Name] > count[most] {
				most = m.Name
			}
			if count[m.Name] < count[least] {
				least = m.Name
			}
		}
		if count[most]-count[least] <= 1 {
			return
		}
		p.reassignEngine(engines, most, least)
		count[most]--
		count[least]++
	}
}

// reassignEngine gives one engine of a model to another: the one whose weights of the other
// model are newest.
func (p *Planner) reassignEngine(engines []Engine, from, to string) {
	best := -1
	for i, e := range engines {
		if p.modelByEngine[e.ID] != from {
			continue
		}
		if best < 0 || e.Versions[to]-e.Versions[from] > engines[best].Versions[to]-engines[best].Versions[from] {
			best = i
		}
	}
	p.modelByEngine[engines[best].ID] = to
}

// leastStaleModel returns the model of which the engine is the fewest versions behind.
func leastStaleModel(e Engine, models []Model) string {
	best := models[0]
	for _, m := range models[1:] {
		if m.DesiredVersion-e.Versions[m.Name] < best.DesiredVersion-e.Versions[best.Name] {
			best = m
		}
	}
	return best.Name
}
