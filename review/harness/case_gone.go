package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	goneItems  = 8
	goneEvents = 20
	goneLimit  = 15 * time.Second
	// goneWait is longer than config-ms and settle-ms together.
	goneWait = 4 * time.Second
)

// goneCase removes a rollout route, all of whose batch submissions are complete and have been
// read. Rule LOST: they can be read until status-s after their submission.
func goneCase(w *world) ([]string, error) {
	if err := w.start(configuration(1, false, "train"), samplers(4, 8), "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	const id = "step-1"
	if a := w.submit(w.instances[0], "/train/", id, 1, 1, items(id, "/train/", goneItems, goneEvents)); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("%w: not accepted", errCannotRun)
	}
	if results := w.readAll(id, goneItems, goneLimit); len(results) != goneItems {
		return nil, fmt.Errorf("%w: %d results", errCannotRun, len(results))
	}
	next := configuration(3, false, "train")
	if w.trouble {
		next = configuration(3, false)
	}
	w.store.put("keyed.op", "config", next)
	w.printf("the store has acknowledged version 3")
	time.Sleep(goneWait)
	var violations []string
	for _, in := range w.instances {
		a, page := w.readPage(in, id, 0)
		w.printf("results of %s at %s: status %d, %d results", id, in.name, a.status, len(page.Results))
		switch {
		case a.status == http.StatusNotFound || a.status == http.StatusGone:
			violations = append(violations, fmt.Sprintf("LOST: %s answers %d for an accepted batch submission", in.name, a.status))
		case a.status == http.StatusOK && len(page.Results) != goneItems:
			violations = append(violations, fmt.Sprintf("LOST: %s lists %d of %d results", in.name, len(page.Results), goneItems))
		}
	}
	return violations, nil
}
