package main

import (
	"fmt"
	"maps"
	"net/http"
	"time"
)

const (
	oldSvc       = "models-old"
	moveEngines  = 6 // of the service that the route moves to
	moveSlots    = 6
	moveItems    = 16
	moveEvents   = 50
	moveLimit    = 12 * time.Second        // the trainer's time budget
	idleLimit    = 5 * time.Second         // an item may be at no sampler for so long
	notice       = 2400 * time.Millisecond // of a reclaim
	configTime   = 2 * time.Second
	moveStepTime = 500 * time.Millisecond // from the submission to the new version
)

// moveCase moves a rollout route to another service while a step is in progress, and has the only
// zone of the old service reclaimed after the config has taken effect. Rule LOST: no item is at no
// sampler for 5 s until the step runs out of time.
func moveCase(w *world) ([]string, error) {
	list := append(samplers(moveEngines, moveSlots), newSampler("old-0", oldSvc, "a", moveSlots, modelName))
	old := list[len(list)-1]
	old.spot = true
	if err := w.start(moveConfiguration(1, oldSvc), list, "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime)
	const id = "step-1"
	submitted := time.Now()
	if a := w.submit(w.instances[0], "/train/", id, 1, 1, items(id, "/train/", moveItems, moveEvents)); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("%w: not accepted", errCannotRun)
	}
	if w.trouble {
		go w.moveRoute(old)
	}
	results := w.readAll(id, moveItems, time.Until(submitted.Add(moveLimit)))
	end, busy, slots := time.Now(), 0, 0
	for _, s := range w.engines() {
		s.mu.Lock()
		busy, slots = busy+s.running, slots+s.slots
		s.mu.Unlock()
	}
	w.printf("%d of %d slots are in use when the step runs out of time", busy, slots)
	listed := map[string]bool{}
	for _, r := range results {
		listed[r.ID] = true
	}
	var violations []string
	for i := range moveItems {
		item := fmt.Sprintf("%s-%d", id, i)
		if since, finished := w.idleSince(item, submitted); !finished && !listed[item] && end.Sub(since) >= idleLimit && 2*busy < slots {
			violations = append(violations, fmt.Sprintf("LOST: item %s has been at no sampler for %s when the step runs out of time", item, end.Sub(since).Round(time.Millisecond)))
		}
	}
	w.call(w.instances[0], http.MethodDelete, "/lots/"+id, nil, nil)
	return violations, nil
}

// moveRoute publishes the version that moves the route, and has the sampler of the old service
// reclaimed after the version has taken effect.
func (w *world) moveRoute(old *sampler) {
	time.Sleep(moveStepTime)
	w.store.put("keyed.op", "config", moveConfiguration(3, engineSvc))
	w.printf("the store has acknowledged version 3, which moves the route")
	time.Sleep(configTime)
	w.printf("sampler %s gets notice of %s", old.id, notice)
	old.reclaim(notice)
	time.Sleep(notice)
	w.printf("sampler %s leaves", old.id)
	old.crash()
}

// moveConfiguration is a configuration with two services of model samplers and the rollout route
// at one of them.
func moveConfiguration(version int64, service string) map[string]any {
	c := configuration(version, false, "train")
	services := c["services"].([]map[string]any)
	second := maps.Clone(services[0])
	second["name"] = oldSvc
	c["services"] = append(services, second)
	c["routes"].([]map[string]any)[1]["service"] = service
	return c
}

// idleSince returns since when an item has been at no sampler, and whether one has finished it.
func (w *world) idleSince(id string, submitted time.Time) (since time.Time, finished bool) {
	w.samplersMu.Lock()
	defer w.samplersMu.Unlock()
	since = submitted
	for _, s := range w.samplers {
		s.mu.Lock()
		if _, running := s.streams[id]; running {
			since = time.Now()
		}
		if at := s.ended[id]; at.After(since) {
			since = at
		}
		finished = finished || s.finished[id]
		s.mu.Unlock()
	}
	return since, finished
}
