package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	routeItems    = 12
	routeEvents   = 30
	longEvents    = 300 // of the items that keep the runner at work
	routeLimit    = 12 * time.Second
	afterConfig   = 200 * time.Millisecond // from the ack of a configuration to the first submission on its new route
	routeRounds   = 4
	runnerTimeout = 3 * time.Second
)

// routeCase adds rollout routes while the connection is silent on which the instance that runs
// the jobs of the model waits for the configuration. Rule MIXED: no item is terminated.
func routeCase(w *world) ([]string, error) {
	names := []string{"train"}
	if err := w.start(configuration(1, false, names...), samplers(4, 8), "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime)
	var violations []string
	for round := int64(1); round <= routeRounds; round++ {
		first := fmt.Sprintf("long-%d", round)
		if a := w.submit(w.instances[1], "/train/", first, round, 1, items(first, "/train/", 4, longEvents)); a.status != http.StatusAccepted {
			return nil, fmt.Errorf("%w: %s was not accepted", errCannotRun, first)
		}
		runner := w.runnerOf(first)
		if runner == nil {
			return nil, fmt.Errorf("%w: nobody runs %s", errCannotRun, first)
		}
		if w.trouble {
			w.printf("%d open connections of %s to the store turn silent", w.store.silence(runner.name, "keyed.op"), runner.name)
		}
		name := fmt.Sprintf("train-%d", round)
		names = append(names, name)
		w.store.put("keyed.op", "config", configuration(1+2*round, false, names...))
		w.printf("the store has acknowledged version %d, which adds route %s", 1+2*round, name)
		time.Sleep(afterConfig)
		violations = append(violations, w.submitOnNewRoute(runner, name, round)...)
		w.call(w.instances[0], http.MethodDelete, "/lots/"+first, nil, nil)
		time.Sleep(2 * time.Second)
	}
	return violations, nil
}

// submitOnNewRoute submits a batch submission at another instance than the runner, and reads its
// results. None may be terminated: no sampler answers 422 or 500, the retention is 40 s, and
// neither the batch submission nor the route has ended.
func (w *world) submitOnNewRoute(runner *instance, route string, step int64) (violations []string) {
	id, accepted := "job-"+route, false
	for _, in := range w.instances {
		if in == runner || accepted {
			continue
		}
		accepted = w.submit(in, "/"+route+"/", id, step, 1, items(id, "/"+route+"/", routeItems, routeEvents)).status == http.StatusAccepted
	}
	if !accepted {
		return nil
	}
	for _, r := range w.readAll(id, routeItems, routeLimit) {
		switch {
		case r.State != "completed":
			violations = append(violations, fmt.Sprintf("MIXED: item %s is %s, though its route and batch submission have not ended", r.ID, r.State))
		case r.Text != outputOf(r.ID, routeEvents):
			violations = append(violations, fmt.Sprintf("MIXED: item %s has another text than its output", r.ID))
		}
	}
	return violations
}

// runnerOf returns the instance that runs a job, by its log.
func (w *world) runnerOf(job string) *instance {
	for end := time.Now().Add(runnerTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, in := range w.instances {
			for _, line := range in.logged("job taken") {
				if strings.Contains(line, job) {
					return in
				}
			}
		}
	}
	return nil
}
