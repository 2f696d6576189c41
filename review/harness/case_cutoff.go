package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	cutoffEngines = 6
	cutoffSlots   = 4
	cutoffItems   = 24
	cutoffEvents  = 30
	cutoffSteps   = 7
	cutoffPrefill = 100 * time.Millisecond
)

// cutoffCase has a trainer ask for steps, and crashes one of six samplers, whose answers state no
// length, when it has begun answers and has sent no event of them yet. Rule MIXED: a completed
// result has the whole output of its item.
func cutoffCase(w *world) ([]string, error) {
	list := samplers(cutoffEngines, cutoffSlots)
	for _, s := range list {
		s.prefill = cutoffPrefill
	}
	faulty := list[len(list)-1]
	faulty.withoutLength = true
	if err := w.start(configuration(1, false, "train"), list, "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime)
	var violations []string
	for step := int64(1); step <= cutoffSteps; step++ {
		id := fmt.Sprintf("step-%d", step)
		in := w.instances[int(step)%len(w.instances)]
		if a := w.submit(in, "/train/", id, step, 1, items(id, "/train/", cutoffItems, cutoffEvents)); a.status != http.StatusAccepted {
			continue
		}
		if w.trouble {
			next := newSampler(fmt.Sprintf("e-%d", cutoffEngines+int(step)), engineSvc, "a", cutoffSlots, modelName)
			next.prefill, next.withoutLength = cutoffPrefill, true
			go w.crashEarly(faulty, next)
			faulty = next
		}
		for _, r := range w.readAll(id, cutoffItems, trainerLimit) {
			if r.State == "completed" && r.Text != outputOf(r.ID, cutoffEvents) {
				violations = append(violations, fmt.Sprintf("MIXED: item %s is completed with %d of %d bytes of its output", r.ID, len(r.Text), len(outputOf(r.ID, cutoffEvents))))
			}
		}
		w.call(in, http.MethodDelete, "/lots/"+id, nil, nil)
		time.Sleep(downTime)
	}
	return violations, nil
}

// crashEarly crashes a sampler as soon as it has begun an answer and has sent no event of it. The
// next sampler replaces it.
func (w *world) crashEarly(s, next *sampler) {
	for end := time.Now().Add(trainerLimit); s.waiting() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(cutoffPrefill / 2)
	w.printf("sampler %s crashes, with %d answers without an event", s.id, s.waiting())
	s.crash()
	time.Sleep(downTime)
	if err := w.addSampler(next); err != nil {
		w.printf("no new sampler: %v", err)
	}
}
