package soak

import (
	"fmt"

	"github.com/amaranthfold/amaranthfold/platform"
)

const (
	// burstTicks is the number of ticks of jobInterval after which the trainers of all models
	// submit burstJobs each at once, in place of one job of one of them.
	burstTicks = 4
	burstJobs  = 2
	// versionsPerModel separates the weight versions of the models: those of the model with
	// index i are above i times versionsPerModel, apart from the first.
	versionsPerModel = 1000
)

// models are served by every engine. Each has a trainer of its own.
var models = []string{"m", "m2"}

// submission is a job that a trainer is about to submit.
type submission struct {
	id, model     string
	events        map[string]int // by task
	firstInstance int
}

// nextSubmissions returns the jobs that the trainers submit at once: one, of the models in turn,
// or a burst of all models. There are no bursts where tasks take as long as in a run with a series.
// n is unique to the tick.
func (l *load) nextSubmissions(n int) []submission {
	l.ticks++
	if l.ticks%burstTicks != 0 || l.env.hasSeries() {
		s := l.randomSubmission(fmt.Sprint(n), models[l.ticks%len(models)])
		if l.ticks <= len(models) {
			s.firstInstance = l.ticks // the first instance becomes the runner: one for each model
		}
		return []submission{s}
	}
	var burst []submission
	for i := range burstJobs * len(models) {
		burst = append(burst, l.randomSubmission(fmt.Sprintf("%d.%d", n, i), models[i%len(models)]))
	}
	return burst
}

// randomSubmission returns a job with a random number of events for each task.
func (l *load) randomSubmission(name, model string) submission {
	events, most := map[string]int{}, maxEvents
	if l.env.hasSeries() {
		most = seriesEvents
	}
	for i := range tasksPerJob {
		events[fmt.Sprintf("task-%s-%d", name, i)] = 1 + l.random.IntN(most)
	}
	return submission{"job-" + name, model, events, l.random.IntN(len(l.env.instances))}
}

// firstVersions returns the weight versions of all models before any is announced.
func firstVersions() map[string]int64 {
	versions := map[string]int64{}
	for i, model := range models {
		versions[model] = 1 + int64(i)*versionsPerModel
	}
	return versions
}

// announceVersion publishes the next desired weight version of a model, as its trainer does.
func (e *environment) announceVersion(model string) {
	e.mu.Lock()
	e.announced[model]++
	version := e.announced[model]
	e.mu.Unlock()
	e.logStore.Put(platform.OperatorTopic, "version/"+model, map[string]any{"model": model, "version": version})
}

// checkVersions records a violation for each engine that was ordered to load weights of a model
// that its trainer has not announced.
func (e *environment) checkVersions() {
	first := firstVersions()
	for _, t := range e.engines() {
		for _, model := range models {
			if v := t.engine.VersionOf(model); v != 1 && (v <= first[model] || v > e.announced[model]) {
				e.recordViolation("engine %s has version %d of model %s, announced are those after %d up to %d", t.engine.ID, v, model, first[model], e.announced[model])
			}
		}
	}
}
