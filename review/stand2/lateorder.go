package main

import (
	"fmt"
	"time"
)

const (
	orderInstances = 6 // one of them is a share of 0.167
	orderEngines   = 9
	orderRounds    = 6
	orderLead      = time.Second             // from the naming of a version to the cut
	orderCut       = 5500 * time.Millisecond // for_s of node_cut
	orderRest      = 5 * time.Second
	thaw           = 300 * time.Millisecond // thaw-ms
)

func init() { cases["late-order"] = runLateOrder }

// engineOrder is an order that has arrived at a sampler.
type engineOrder struct {
	engine, holder string
	fence          int64
	version        int64
	at             time.Time
}

// runLateOrder plays cuts of the instance that orders samplers to load weights from all targets, while
// trainers name versions and clients send requests. Samplers do not check fencing numbers.
func runLateOrder(e *env) (breaks []string, err error) {
	e.fenced = false
	links, err := e.startLinked()
	if err != nil {
		return nil, err
	}
	load := e.startLoad(loadConfig{clients: 3 * orderInstances, path: plainPrefix, budget: 2 * time.Second, retries: 1, body: 600, idempotent: true})
	defer load.stop()
	time.Sleep(orderRest) // until an instance has the lease
	version := int64(1)
	healed := map[string][]time.Time{} // by instance
	for range orderRounds {
		version++
		e.rec.printf("version %d named", version)
		e.store.Put("keyed.op", "version/m0", map[string]any{"model": "m0", "version": version})
		time.Sleep(orderLead)
		holder := e.lastHolder()
		if holder == "" {
			return nil, fmt.Errorf("no sampler was ordered to load version %d", version)
		}
		if e.trouble {
			e.rec.printf("%s is cut from all targets", holder)
			for _, k := range links[holder] {
				k.setCut(true)
			}
		}
		time.Sleep(orderCut)
		for _, k := range links[holder] {
			k.setCut(false)
		}
		healed[holder] = append(healed[holder], time.Now())
		e.rec.printf("the links of %s are healed", holder)
		time.Sleep(orderRest)
	}
	return e.judgeOrders(healed), nil
}

// startLinked starts targets and instances, with a link from each instance to each target, and returns the links by
// instance.
func (e *env) startLinked() (map[string][]*link, error) {
	var addresses []string
	for i := range orderEngines {
		engine, err := e.newEngine(zones[i%len(zones)], 8, engineStep)
		if err != nil {
			return nil, err
		}
		e.engines = append(e.engines, engine)
		addresses = append(addresses, engine.address)
	}
	for _, zone := range zones {
		t, err := e.newPlainTarget("desk", zone, 6, 6, func() time.Duration { return 25 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, t.address)
	}
	e.putConfig(1, plainRoute("idempotent"), batchRoute(false))
	links := map[string][]*link{}
	for i := range orderInstances {
		view := &storeView{e.store, map[string]string{}}
		var own []*link
		for _, a := range addresses {
			k, err := e.newLink(a)
			if err != nil {
				return nil, err
			}
			view.swap[a] = k.address
			own = append(own, k)
		}
		at, err := e.serve(view)
		if err != nil {
			return nil, err
		}
		in, err := e.newInstance(zones[i%len(zones)], at)
		if err != nil {
			return nil, err
		}
		links[in.name] = own
	}
	return links, e.awaitReady(20 * time.Second)
}

// lastHolder returns the holder of the latest order.
func (e *env) lastHolder() (holder string) {
	var at time.Time
	for _, g := range e.engines {
		g.mu.Lock()
		for _, o := range g.orders {
			if o.at.After(at) {
				at, holder = o.at, o.holder
			}
		}
		g.mu.Unlock()
	}
	return holder
}

// judgeOrders returns the breaks of ONE: orders with a lower fencing number than the sampler has seen. Those
// within thaw-ms after the links of their sender were healed do not count.
func (e *env) judgeOrders(healed map[string][]time.Time) (breaks []string) {
	for _, g := range e.engines {
		g.mu.Lock()
		highest, by := int64(0), ""
		for _, o := range g.orders {
			since := sinceLast(healed[o.holder], o.at)
			if o.fence < highest && since > thaw {
				breaks = append(breaks, fmt.Sprintf("ONE: %s got an order of %s with fence %d, %.2f s after its links were healed, after one of %s with fence %d",
					g.id, o.holder, o.fence, since.Seconds(), by, highest))
			}
			if o.fence > highest {
				highest, by = o.fence, o.holder
			}
		}
		g.mu.Unlock()
	}
	return breaks
}

// sinceLast returns the time from the last of the times before at, or an hour if there is none.
func sinceLast(times []time.Time, at time.Time) time.Duration {
	last := time.Hour
	for _, t := range times {
		if at.After(t) {
			last = min(last, at.Sub(t))
		}
	}
	return last
}
