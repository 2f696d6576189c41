package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/amaranthfold/amaranthfold/core/directory"
	"github.com/amaranthfold/amaranthfold/core/job"
	"github.com/amaranthfold/amaranthfold/core/loads"
	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/internal/node"
	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// loadTimeout is how long an order may take to show in the registry: a load of 0.9 s,
	// the target's heartbeat after it, and replication.
	loadTimeout = 3 * time.Second
	// unknownOrderDelay is the time after which a target is queried about an order whose
	// outcome is unknown.
	unknownOrderDelay = 1200 * time.Millisecond
	// maxRefusalDelay is the longest time after which an order that a target refuses for its content
	// is sent again: each further refusal doubles it.
	maxRefusalDelay = 20 * time.Second
	// concurrentLoadDivisor divides the number of a service's engines: one in five may load
	// at once. More concurrent loads slow each other down.
	concurrentLoadDivisor = 5
	minConcurrentLoads    = 2
	initialVersion        = 1  // version that engines start with
	maxConcurrentCalls    = 32 // reports and orders at once
)

// weightUpdater orders engines to load the weight versions that trainers have published.
// Only the goroutine of updateWeights and the calls that it waits for use it.
type weightUpdater struct {
	controller *Controller
	planners   map[string]*loads.Planner // by service

	mu        sync.Mutex
	orders    map[string]*sentOrder    // by target
	sequences map[string]orderSequence // by target
	refusals  map[string]refusal       // latest refused order, by target
}

// orderSequence is the number of orders that one incarnation of a target has accepted.
// The next order carries it as the expected value (optimistic concurrency). An order for
// a version that the target already has does not advance it.
type orderSequence struct{ startedAt, count int64 }

// refusal is an order that a target has refused: it is not executed, and not sent again for a while.
type refusal struct {
	order     loads.Order
	startedAt int64         // start of the target's incarnation
	delay     time.Duration // from the refusal until
	until     time.Duration
}

// sentOrder is an unresolved order to a target: it may be in flight or in progress, or waits for
// the target to answer.
type sentOrder struct {
	order     loads.Order
	startedAt int64         // start of the target's incarnation when the order was sent
	checkAt   time.Duration // when to query the target about it
	silent    bool          // the target did not answer the latest query
}

func newWeightUpdater(c *Controller) *weightUpdater {
	return &weightUpdater{controller: c, planners: map[string]*loads.Planner{}, orders: map[string]*sentOrder{}, sequences: map[string]orderSequence{}, refusals: map[string]refusal{}}
}

// step sends the load orders that the planner of each service returns. Calls to engines run at
// the same time: one that does not answer must not delay those to the others.
func (w *weightUpdater) step(ctx context.Context) {
	c := w.controller
	view := c.CurrentView()
	if view.Catalog == nil {
		return
	}
	w.resolveOrders(ctx, view)
	allowedStaleness := map[string]int64{}
	c.StateLoop.Do(ctx, func() { maps.Copy(allowedStaleness, c.StateLoop.AllowedStaleness) })
	calls := newEngineCalls()
	for name, service := range view.Catalog.Services {
		if len(service.Models) == 0 {
			continue
		}
		var models []loads.Model
		for _, m := range service.Models {
			desired := max(initialVersion, view.DesiredVersions[m])
			models = append(models, loads.Model{Name: m, DesiredVersion: desired, MaxStaleness: allowedStaleness[m]})
		}
		targets, engines := w.engines(view, name)
		if w.planners[name] == nil {
			w.planners[name] = loads.New()
		}
		maxConcurrent := max(minConcurrentLoads, len(engines)/concurrentLoadDivisor)
		for _, o := range w.planners[name].Plan(engines, models, maxConcurrent) {
			calls.Go(func() error { w.sendOrder(ctx, targets[o.Engine], o); return nil })
		}
	}
	_ = calls.Wait() // each call logs its own failure
}

// newEngineCalls returns a group of concurrent calls to engines.
func newEngineCalls() *errgroup.Group {
	g := &errgroup.Group{}
	g.SetLimit(maxConcurrentCalls)
	return g
}

// engines returns a service's ready targets, by id, and their state for the planner.
func (w *weightUpdater) engines(view *node.View, service string) (map[string]directory.Target, []loads.Engine) {
	targets := map[string]directory.Target{}
	var out []loads.Engine
	now := w.controller.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range view.Targets {
		if t.Service == service && t.Ready {
			targets[t.ID] = t
			o := w.orders[t.ID]
			out = append(out, loads.Engine{
				ID: t.ID, Versions: t.Models, OrderPending: o != nil && !o.silent, Unavailable: o != nil && o.silent || w.refuses(now, view, t),
			})
		}
	}
	return targets, out
}

// refuses reports whether the target has refused the order for the desired version of a model and
// does not get it again yet. It forgets refusals of other starts and versions. It is called with mu
// held.
func (w *weightUpdater) refuses(now time.Duration, view *node.View, t directory.Target) bool {
	r, found := w.refusals[t.ID]
	if found && (r.startedAt != t.StartedAt || r.order.Version < view.DesiredVersions[r.order.Model]) {
		delete(w.refusals, t.ID)
		return false
	}
	return found && now < r.until
}

// resolveOrders removes the orders that are done or were sent to an earlier incarnation of a target,
// checks overdue ones, and removes those of targets that are not ready, and the refusals of targets
// that are gone.
func (w *weightUpdater) resolveOrders(ctx context.Context, view *node.View) {
	now := w.controller.Clock.Now()
	var overdue []directory.Target
	w.mu.Lock()
	maps.DeleteFunc(w.refusals, func(id string, _ refusal) bool {
		_, found := view.Target(id)
		return !found
	})
	for id, o := range w.orders {
		t, found := view.Target(id)
		switch {
		case !found || !t.Ready:
			if now >= o.checkAt {
				delete(w.orders, id)
			}
		case t.StartedAt != o.startedAt, t.Models[o.order.Model] >= o.order.Version:
			delete(w.orders, id)
		case now >= o.checkAt:
			overdue = append(overdue, t)
		}
	}
	w.mu.Unlock()
	calls := newEngineCalls()
	for _, t := range overdue {
		calls.Go(func() error { w.checkOrder(ctx, t); return nil })
	}
	_ = calls.Wait() // each call logs its own failure
}

// checkOrder queries the target about an overdue order. It removes the order unless the
// target is executing it or does not respond.
func (w *weightUpdater) checkOrder(ctx context.Context, t directory.Target) {
	w.controller.Allowances.Spend(ctx, t)
	targetReport, err := platform.ReadTargetReport(ctx, w.controller.TargetClient, t.Address)
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.orders[t.ID]
	o.silent = err != nil
	o.checkAt = w.controller.Clock.Now() + unknownOrderDelay
	switch {
	case err != nil:
		w.controller.Log("order unclear", events.F("target", t.ID), events.F("error", err.Error()))
	case targetReport.Busy:
	default:
		delete(w.orders, t.ID)
		if targetReport.Models[o.order.Model] < o.order.Version {
			w.controller.Log("order not carried out", events.F("target", t.ID), events.F("model", o.order.Model),
				events.F("sequence", fmt.Sprint(targetReport.Sequence)))
		}
		w.sequences[t.ID] = orderSequence{t.StartedAt, targetReport.Sequence}
	}
}

// sendOrder sends one order to a target, if this instance still holds the lease. It first
// queries the target if it has no order sequence of the incarnation.
func (w *weightUpdater) sendOrder(ctx context.Context, t directory.Target, o loads.Order) {
	c := w.controller
	w.mu.Lock()
	sequence, found := w.sequences[t.ID]
	w.mu.Unlock()
	if !found || sequence.startedAt != t.StartedAt {
		c.Allowances.Spend(ctx, t)
		targetReport, err := platform.ReadTargetReport(ctx, c.TargetClient, t.Address)
		if err != nil {
			c.Log("order unclear", events.F("target", t.ID), events.F("error", err.Error()))
			w.noteOrder(sentOrder{order: o, startedAt: t.StartedAt, silent: true}, unknownOrderDelay)
			return
		}
		sequence = orderSequence{t.StartedAt, targetReport.Sequence}
		w.setSequence(t.ID, sequence)
	}
	expected := sequence.count
	holder, held := c.holder(ctx)
	if !held {
		return
	}
	c.AppendRecordAsync(job.Record{LoadOrdered: &job.LoadOrdered{Target: t.ID, Model: o.Model, Version: o.Version}})
	c.Allowances.Spend(ctx, t)
	callCtx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	hadVersion, err := platform.SendVersionOrder(callCtx, c.TargetClient, holder, platform.VersionOrder{
		Address: t.Address, Target: t.ID, Model: o.Model, Version: o.Version, Sequence: expected,
	})
	c.checkSuperseded(holder, err)
	c.Metrics.Orders.Inc()
	c.Log("order sent", events.F("target", t.ID), events.F("model", o.Model), events.F("version", fmt.Sprint(o.Version)),
		events.F("had", fmt.Sprint(t.Models[o.Model])), events.F("expected", fmt.Sprint(expected)),
		events.F("term", fmt.Sprint(holder.Fencing)), events.F("done", fmt.Sprint(hadVersion)), events.F("error", fmt.Sprint(err)))
	if err == nil && !hadVersion {
		w.setSequence(t.ID, orderSequence{t.StartedAt, expected + 1})
	}
	w.noteOutcome(t, o, err)
}

// noteOutcome records the outcome of an order. One that is refused has no effect, so it takes none
// of the places of orders that are pending. As the engine refuses it at once, others are ordered.
func (w *weightUpdater) noteOutcome(t directory.Target, o loads.Order, err error) {
	forContent := errors.Is(err, platform.ErrInvalid) || errors.Is(err, platform.ErrWrongTarget)
	switch {
	case err == nil:
		w.mu.Lock()
		delete(w.refusals, t.ID)
		w.mu.Unlock()
		w.noteOrder(sentOrder{order: o, startedAt: t.StartedAt}, loadTimeout)
	case forContent, errors.Is(err, platform.ErrRefused):
		w.mu.Lock()
		defer w.mu.Unlock()
		delay := unknownOrderDelay
		if last := w.refusals[t.ID]; forContent && last.order == o {
			delay = min(2*last.delay, maxRefusalDelay)
		}
		w.refusals[t.ID] = refusal{order: o, startedAt: t.StartedAt, delay: delay, until: w.controller.Clock.Now() + delay}
	default:
		w.noteOrder(sentOrder{order: o, startedAt: t.StartedAt}, unknownOrderDelay)
	}
}

// noteOrder notes an order, and when to query the target about it.
func (w *weightUpdater) noteOrder(o sentOrder, checkDelay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o.checkAt = w.controller.Clock.Now() + checkDelay
	w.orders[o.order.Engine] = &o
}

func (w *weightUpdater) setSequence(target string, s orderSequence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequences[target] = s
}
