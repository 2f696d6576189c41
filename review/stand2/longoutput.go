package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// A long output has 320 KB, of the 1 MB that an answer with results may hold.
	longEvents     = 400
	longEventBytes = 800
	outputWait     = 35 * time.Second // retention-s is 40
)

func init() { cases["long-output"] = runLongOutput }

// runLongOutput plays batch submissions of which each has an item with a long output. Without
// trouble all outputs are short.
func runLongOutput(e *env) (breaks []string, err error) {
	s := newSubmission(3, 4)
	long := s.items[5].ID
	if err := e.startBatch(plainRoute("idempotent"), batchRoute(false)); err != nil {
		return nil, err
	}
	size := func(item string) (events, bytes int) {
		if e.trouble && item == long {
			return longEvents, longEventBytes
		}
		return engineEvents, 0
	}
	for _, g := range e.engines {
		g.mu.Lock()
		g.size = size
		g.mu.Unlock()
	}
	submitted := time.Now()
	if status := e.submit(e.instances[0], s); status != http.StatusAccepted {
		return nil, fmt.Errorf("the submission was answered %d", status)
	}
	results := map[string]result{}
	for after := 0; after < len(s.items) && time.Since(submitted) < outputWait; {
		status, p := e.read(e.instances[after%len(e.instances)], s, after)
		for _, r := range p.Results {
			results[r.ID] = r
			e.rec.printf("%.1f s after the submission: item %s is %s with %d bytes", time.Since(submitted).Seconds(), r.ID, r.State, len(r.Text))
		}
		if after += len(p.Results); status != http.StatusOK || len(p.Results) == 0 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	for _, it := range s.items {
		events, bytes := size(it.ID)
		r, listed := results[it.ID]
		switch {
		case !listed:
			e.rec.printf("item %s is not listed", it.ID)
		case r.State != "completed":
			breaks = append(breaks, fmt.Sprintf("MIXED: item %s is %s before retention-s, without a 422 or a 500", it.ID, r.State))
		case r.Text != itemText(it.ID, events, bytes):
			breaks = append(breaks, fmt.Sprintf("MIXED: the text of item %s is not its whole output", it.ID))
		}
	}
	return breaks, nil
}
