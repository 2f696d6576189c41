package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	cutoffEngines = 6
	cutoffFaulty  = 2 // of them
	cutoffSlots   = 4
	cutoffItems   = 60
	cutoffEvents  = 10
	cutoffSteps   = 8
	cutoffPrefill = 100 * time.Millisecond
)

// cutoffCase has a trainer ask for steps while two of six samplers send one answer in fifty without
// a length. The sampler of such an answer crashes when it has sent no event of it yet. Rule MIXED: a
// completed result has the whole output of its item.
func cutoffCase(w *world) ([]string, error) {
	list := samplers(cutoffEngines, cutoffSlots)
	faults := &garbled{began: make(chan *sampler, 1)}
	for i, s := range list {
		s.prefill = cutoffPrefill
		if i >= len(list)-cutoffFaulty {
			s.garbled = faults
		}
	}
	if err := w.start(configuration(1, false, "train"), list, "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime)
	if w.trouble {
		go w.crashEarly(faults)
	}
	var violations []string
	for step := int64(1); step <= cutoffSteps; step++ {
		id := fmt.Sprintf("step-%d", step)
		in := w.instances[int(step)%len(w.instances)]
		if a := w.submit(in, "/train/", id, step, 1, items(id, "/train/", cutoffItems, cutoffEvents)); a.status != http.StatusAccepted {
			continue
		}
		for _, r := range w.readAll(id, cutoffItems, trainerLimit) {
			if whole := outputOf(r.ID, cutoffEvents); r.State == "completed" && r.Text != whole {
				violations = append(violations, fmt.Sprintf("MIXED: item %s is completed with %d of %d bytes of its output", r.ID, len(r.Text), len(whole)))
			}
		}
		w.call(in, http.MethodDelete, "/lots/"+id, nil, nil)
		time.Sleep(time.Second)
	}
	faults.mu.Lock()
	defer faults.mu.Unlock()
	w.printf("%d of %d answers of the faulty samplers stated no length", faults.made, faults.answers)
	return violations, nil
}

// crashEarly crashes the sampler of each answer without a length before the first event of the
// answer. Another sampler replaces it.
func (w *world) crashEarly(faults *garbled) {
	for n := 0; ; n++ {
		var s *sampler
		select {
		case <-w.stopped:
			return
		case s = <-faults.began:
		}
		time.Sleep(cutoffPrefill / 2)
		w.printf("sampler %s crashes", s.id)
		s.crash()
		time.Sleep(downTime)
		next := newSampler(fmt.Sprintf("e-%d", cutoffEngines+n), engineSvc, "a", cutoffSlots, modelName)
		next.prefill, next.garbled = cutoffPrefill, faults
		if err := w.addSampler(next); err != nil {
			w.printf("no new sampler: %v", err)
		}
	}
}
