// Package loads plans which engine loads which weight version of which model.
//
// While an engine loads weights it does no work for its model, and the load empties its cache.
// Each engine therefore serves one model. If jobs allow a staleness of n versions, only about
// 1/(n+1) of a model's engines load each published version and the others skip it: the
// engines alternate, and all of them can serve the jobs.
//
// The caller passes in the engines with their versions, the models with their desired
// versions and a limit of pending orders. It sends the returned orders to the engines and
// passes in which are pending.
package loads

import (
	"cmp"
	"slices"
)

// Engine is a target that may load weights.
type Engine struct {
	ID           string
	Versions     map[string]int64 // weight versions by model
	OrderPending bool             // an order to the engine is in flight or being executed
	// Unavailable is set if the engine did not answer lately or refuses the order for the model's
	// desired version: it gets no order for now, and takes no other's place.
	Unavailable bool
}

// Model is a model that the service's engines generate with. DesiredVersion is the weight
// version that its trainer has published last.
type Model struct {
	Name           string
	DesiredVersion int64
	MaxStaleness   int64 // number of versions behind DesiredVersion that jobs allow
}

// Order makes an engine load a version of a model.
type Order struct {
	Engine  string
	Model   string
	Version int64
}

// Planner assigns a model to each engine of a service. It keeps the assignment between calls
// of Plan, so that few engines change their model. It is not safe for concurrent use.
type Planner struct {
	modelByEngine map[string]string // model name by engine id
}

// New returns a planner that has assigned no engine.
func New() *Planner { return &Planner{modelByEngine: map[string]string{}} }

// Plan returns the orders to send now, so that at most maxPending orders are pending.
func (p *Planner) Plan(engines []Engine, models []Model, maxPending int) []Order {
	if len(models) == 0 {
		return nil
	}
	p.assignModels(engines, models)
	remaining := maxPending
	for _, e := range engines {
		if e.OrderPending {
			remaining--
		}
	}
	plans := make([]modelPlan, 0, len(models))
	for _, m := range models {
		plans = append(plans, p.planModel(engines, m))
	}
	var orders []Order
	for len(orders) < remaining {
		o, found := nextOrder(plans)
		if !found {
			break
		}
		orders = append(orders, o)
	}
	return orders
}

// modelPlan counts one model's engines and lists the loads that they need.
type modelPlan struct {
	engineCount int     // engines assigned to the model
	serving     int     // engines that can serve the next job, now or after their pending order
	urgent      []Order // loads without which engines cannot serve the next job
	optional    []Order // loads that spread the engines over the versions that jobs allow
}

// nextOrder removes the next order from the plans and returns it: an urgent one of the model
// with the lowest share of engines that can serve its next job, or else an optional one.
func nextOrder(plans []modelPlan) (Order, bool) {
	best := -1
	for i := range plans {
		if len(plans[i].urgent) > 0 && (best < 0 || plans[i].servingShare() < plans[best].servingShare()) {
			best = i
		}
	}
	if best >= 0 {
		o := plans[best].urgent[0]
		plans[best].urgent = plans[best].urgent[1:]
		plans[best].serving++
		return o, true
	}
	for i := range plans {
		if len(plans[i].optional) > 0 {
			o := plans[i].optional[0]
			plans[i].optional = plans[i].optional[1:]
			return o, true
		}
	}
	return Order{}, false
}

// servingShare returns the share of the model's engines that can serve its next job.
func (p modelPlan) servingShare() float64 { return float64(p.serving) / float64(max(1, p.engineCount)) }

// planModel returns the plan of one model. Engines with older versions load first.
func (p *Planner) planModel(engines []Engine, m Model) modelPlan {
	var modelEngines []Engine
	upToDate := 0
	for _, e := range engines {
		if p.modelByEngine[e.ID] != m.Name {
			continue
		}
		modelEngines = append(modelEngines, e)
		if e.Versions[m.Name] >= m.DesiredVersion || e.OrderPending {
			upToDate++
		}
	}
	slices.SortStableFunc(modelEngines, func(a, b Engine) int { return cmp.Compare(a.Versions[m.Name], b.Versions[m.Name]) })
	wantUpToDate := (len(modelEngines) + int(m.MaxStaleness)) / (int(m.MaxStaleness) + 1)
	out := modelPlan{engineCount: len(modelEngines)}
	for _, e := range modelEngines {
		order := Order{e.ID, m.Name, m.DesiredVersion}
		staleness := m.DesiredVersion - e.Versions[m.Name]
		if e.OrderPending || staleness <= m.MaxStaleness {
			out.serving++
		}
		switch {
		case e.OrderPending || e.Unavailable || staleness <= 0:
		case staleness > m.MaxStaleness:
			out.urgent = append(out.urgent, order)
			upToDate++
		case upToDate < wantUpToDate:
			out.optional = append(out.optional, order)
			upToDate++
		}
	}
	return out
}

// assignModels assigns a model to every engine. A new engine gets the model whose desired
// version it is the fewest versions behind. Then engines are reassigned from the model with
// the most engines to the one with the fewest until the numbers differ by one at most.
func (p *Planner) assignModels(engines []Engine, models []Model) {
	present := make(map[string]bool, len(engines))
	count := map[string]int{}
	modelNames := map[string]bool{}
	for _, m := range models {
		modelNames[m.Name] = true
	}
	for _, e := range engines {
		present[e.ID] = true
		if !modelNames[p.modelByEngine[e.ID]] {
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

// reassignEngine reassigns one engine from the model from to the model to: the engine with the
// largest difference between its versions of to and of from.
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

// leastStaleModel returns the model whose desired version the engine is the fewest versions
// behind.
func leastStaleModel(e Engine, models []Model) string {
	best := models[0]
	for _, m := range models[1:] {
		if m.DesiredVersion-e.Versions[m.Name] < best.DesiredVersion-e.Versions[best.Name] {
			best = m
		}
	}
	return best.Name
}
