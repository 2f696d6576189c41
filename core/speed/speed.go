// Package speed estimates how fast the engines of a service generate events, from the events
// that they have sent.
//
// The load that it addresses: the engines of a service differ in speed, one in five may be 2.5
// to 4 times as slow for 8 s, a decoding step takes longer the more requests an engine runs and
// the more tokens they hold, and loads of weights pause the runs. Speeds, the effect of the
// load, the durations of loads and the delays of first events differ between deployments, so
// they are estimated here. Each estimate has an age and bounds.
//
// The package has no clock, no goroutines and no I/O. Times are readings of one clock that the
// caller passes in.
package speed

import (
	"slices"
	"time"
)

const (
	// confirmedFor is how long an estimate of an engine holds without a further event. From then
	// on it approaches the median of the service, which it reaches at forgottenAfter.
	confirmedFor   = 3 * time.Second
	forgottenAfter = 6 * time.Second
	// minEngines is how many engines must have an estimate: a median of fewer is not meaningful.
	minEngines = 3
	// newestWeight is the weight of the newest interval in an engine's average, which covers
	// about the last eight intervals of all its runs.
	newestWeight = 0.12
	// maxStep caps an interval as a multiple of the average, so that a single pause changes the
	// average only a little: moving a run for one pause costs more than it gains.
	maxStep = 2.0
	// Intervals outside these bounds are not observations of a decoding engine.
	minInterval = 100 * time.Microsecond
	maxInterval = 10 * time.Second
	// maxSlowdown bounds the slowdown of an engine in either direction.
	maxSlowdown = 20.0
)

// Load is what an engine runs while it generates.
type Load struct {
	Runs   int
	Tokens int64
}

// Service holds the estimates of the engines of one service. It is not safe for concurrent use.
type Service struct {
	engines map[string]map[string]*Engine // by engine and model
	median  float64                       // seconds between events without other load; zero: unknown
	current bool                          // enough engines had an estimate at the latest Refresh
	effect  effect
	loads   recent
	firsts  recent
}

// NewService returns estimates of a service of which nothing has been observed.
func NewService() *Service {
	return &Service{engines: map[string]map[string]*Engine{}, loads: recent{size: 16}, firsts: recent{size: 64}}
}

// Engine is the estimate of an engine that runs a model.
type Engine struct {
	service    *Service
	interval   float64 // seconds between events, without the effect of the load; zero: unknown
	observedAt time.Duration
}

// Engine returns the estimate of an engine and a model.
func (s *Service) Engine(id, model string) *Engine {
	models := s.engines[id]
	if models == nil {
		models = map[string]*Engine{}
		s.engines[id] = models
	}
	e := models[model]
	if e == nil {
		e = &Engine{service: s}
		models[model] = e
	}
	return e
}

// Remove forgets an engine.
func (s *Service) Remove(id string) { delete(s.engines, id) }

// Observe adds the mean interval between some events of a run, while the engine had the load.
func (e *Engine) Observe(now, interval time.Duration, load Load) {
	if interval < minInterval || interval > maxInterval {
		return
	}
	seconds := interval.Seconds()
	e.service.effect.add(seconds/e.slowdown(now), load)
	alone := seconds / e.service.effect.factor(load)
	if e.interval == 0 || now-e.observedAt > forgottenAfter {
		e.interval = alone
	} else {
		e.interval += newestWeight * (min(alone, maxStep*e.interval) - e.interval)
	}
	e.observedAt = max(e.observedAt, now)
}

// Refresh computes the median of the service and the effect of the load again.
func (s *Service) Refresh(now time.Duration) {
	s.effect.fit()
	var values []float64
	for _, models := range s.engines {
		for _, e := range models {
			if e.interval > 0 && now-e.observedAt <= forgottenAfter {
				values = append(values, e.interval)
			}
		}
	}
	if s.current = len(values) >= minEngines; s.current {
		slices.Sort(values)
		s.median = values[len(values)/2]
	}
}

// Slowdown returns the engine's interval divided by the median of the service, 1 if either is
// not known any more.
func (e *Engine) Slowdown(now time.Duration) float64 {
	if !e.service.current {
		return 1
	}
	return e.slowdown(now)
}

func (e *Engine) slowdown(now time.Duration) float64 {
	age := now - e.observedAt
	if e.interval == 0 || e.service.median == 0 || age >= forgottenAfter {
		return 1
	}
	slowdown := min(max(e.interval/e.service.median, 1/maxSlowdown), maxSlowdown)
	if age > confirmedFor {
		slowdown = 1 + (slowdown-1)*float64(forgottenAfter-age)/float64(forgottenAfter-confirmedFor)
	}
	return slowdown
}

// Age returns the time since the latest event that confirmed the estimate, and whether there
// was one.
func (e *Engine) Age(now time.Duration) (time.Duration, bool) {
	return now - e.observedAt, e.interval > 0
}

// Factor returns by how much longer an event takes on the engine with the load than on one of
// median speed without other load.
func (e *Engine) Factor(now time.Duration, load Load) float64 {
	return e.Slowdown(now) * e.service.effect.factor(load)
}

// Interval returns the median time between events, or the one that is assumed until it is known.
func (s *Service) Interval() time.Duration {
	if s.median == 0 {
		return assumedInterval
	}
	return s.Median()
}

// Median returns the median time between events on an engine without other load, zero if it is
// not known.
func (s *Service) Median() time.Duration { return time.Duration(s.median * float64(time.Second)) }
