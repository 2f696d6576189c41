package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	singleEngines = 6
	singleSlots   = 4
	singleItems   = 24
	singleEvents  = 60
	singleSteps   = 7
	trainerLimit  = 12 * time.Second // the trainer's time budget for a step
	crashEvents   = 5                // a stream has sent so many when its sampler crashes
	downTime      = 4 * time.Second  // of a crashed sampler
)

func engineName(i int) string { return fmt.Sprintf("e-%d", i) }

// singleCase has a trainer ask for steps on a route with single-version, each after it has named
// a version, and crashes one of six samplers while the versions change. Rule VERSION: a result on
// such a route has one version.
func singleCase(w *world) ([]string, error) {
	if err := w.start(configuration(1, true, "train"), samplers(singleEngines, singleSlots), "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime) // until an instance holds the duty
	var violations []string
	for step := int64(1); step <= singleSteps; step++ {
		violations = append(violations, w.singleStep(step, step+1)...)
	}
	return violations, nil
}

// singleStep names the version and asks for a step that allows it and the one before.
func (w *world) singleStep(step, version int64) (violations []string) {
	id := fmt.Sprintf("step-%d", step)
	w.printf("version %d is named", version)
	w.store.put("keyed.op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
	in := w.instances[int(step)%len(w.instances)]
	if a := w.submit(in, "/train/", id, step, version-1, items(id, "/train/", singleItems, singleEvents)); a.status != http.StatusAccepted {
		return nil
	}
	if w.trouble {
		go w.crashBehind(version)
	}
	results := w.readAll(id, singleItems, trainerLimit)
	for _, r := range results {
		if r.State == "completed" && len(r.Versions) != 1 {
			violations = append(violations, fmt.Sprintf("VERSION: the result of item %s on a route with single-version has the versions %v", r.ID, r.Versions))
		}
	}
	a := w.call(in, http.MethodDelete, "/lots/"+id, nil, nil)
	w.printf("%s: %d of %d results; its end: status %d", id, len(results), singleItems, a.status)
	return violations
}

// crashBehind crashes a sampler that has an older version than another one, while it streams. A new
// sampler replaces it.
func (w *world) crashBehind(version int64) {
	for end := time.Now().Add(trainerLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var behind *sampler
		loaded := false
		for _, s := range w.engines() {
			v, events := s.state(modelName)
			loaded = loaded || v == version
			if v < version && events >= crashEvents {
				behind = s
			}
		}
		if behind == nil || !loaded {
			continue
		}
		w.printf("sampler %s crashes", behind.id)
		behind.crash()
		time.Sleep(downTime)
		s := newSampler(fmt.Sprintf("%s-%d", behind.id, version), engineSvc, "a", singleSlots, modelName)
		s.versions[modelName] = version // a new sampler has the newest one
		if err := w.addSampler(s); err != nil {
			w.printf("no new sampler: %v", err)
		}
		return
	}
}

// engines returns the samplers of the model that have not crashed.
func (w *world) engines() (out []*sampler) {
	w.samplersMu.Lock()
	defer w.samplersMu.Unlock()
	for _, s := range w.samplers {
		s.mu.Lock()
		if s.service == engineSvc && !s.crashed {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}
