package main

import (
	"fmt"
	"net/http"
	"time"
)

const catchAllReads = 6

func init() { cases["catch-all"] = runCatchAll }

// runCatchAll plays a change of the config while a batch submission is open and read: it adds a route
// of plain requests to the host of the batch submission, with the prefix "/". Without trouble the
// prefix is another one.
func runCatchAll(e *env) (breaks []string, err error) {
	routes := []map[string]any{plainRoute("idempotent"), batchRoute(false)}
	if err := e.startBatch(routes...); err != nil {
		return nil, err
	}
	s := newSubmission(3, 4)
	if status := e.submit(e.instances[0], s); status != http.StatusAccepted {
		return nil, fmt.Errorf("the submission was answered %d", status)
	}
	time.Sleep(2 * time.Second)
	_, before := e.read(e.instances[1], s, 0)
	added := plainRoute("idempotent")
	added["name"], added["path-prefix"] = "r-rest", "/rest/"
	if e.trouble {
		added["path-prefix"] = "/"
	}
	e.putConfig(2, append(routes, added)...)
	time.Sleep(configBound + settleBound)
	worst := len(before.Results)
	for range catchAllReads {
		best := 0
		for _, in := range e.instances {
			_, p := e.read(in, s, 0)
			best = max(best, len(p.Results))
		}
		worst = min(worst, best)
		time.Sleep(500 * time.Millisecond)
	}
	e.rec.printf("%d results were read before the change, %d at least after it", len(before.Results), worst)
	if worst < len(before.Results) {
		breaks = append(breaks, fmt.Sprintf("LOST: of %d results that had been read of the submission %s, %d come again", len(before.Results), s.id, worst))
	}
	return breaks, nil
}
