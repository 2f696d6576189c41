package main

import (
	"fmt"
	"net/http"
	"time"
)

const publicReads = 8

func init() { cases["public-batch"] = runPublicBatch }

// runPublicBatch plays a change of the config that adds a route of batch submissions. It is public,
// unless there is no trouble.
func runPublicBatch(e *env) (breaks []string, err error) {
	if err := e.startBatch(plainRoute("idempotent")); err != nil {
		return nil, err
	}
	e.putConfig(2, plainRoute("idempotent"), batchRoute(e.trouble))
	time.Sleep(configBound)
	s := newSubmission(3, 4)
	if status := e.submit(e.instances[0], s); status != http.StatusAccepted {
		return nil, fmt.Errorf("the submission was answered %d", status)
	}
	time.Sleep(settleBound)
	listed := 0
	for range publicReads {
		for _, in := range e.instances {
			status, p := e.read(in, s, 0)
			if status == http.StatusNotFound || status == http.StatusGone {
				breaks = append(breaks, fmt.Sprintf("LOST: %s answers %d for the accepted submission %s", in.name, status, s.id))
			}
			listed = max(listed, len(p.Results))
		}
		time.Sleep(500 * time.Millisecond)
	}
	e.rec.printf("of %d items %d are listed at most", len(s.items), listed)
	if listed < len(s.items) {
		breaks = append(breaks, fmt.Sprintf("LOST: at the end %d of %d results of the submission %s can be read", listed, len(s.items), s.id))
	}
	return breaks, nil
}
