package speed

import (
	"slices"
	"time"
)

const (
	// Bounds of the duration of a load of weights, and the duration that is assumed before one
	// has been observed.
	minLoadTime     = 200 * time.Millisecond
	maxLoadTime     = 5 * time.Second
	assumedLoadTime = time.Second
	// assumedInterval is the time between events that is assumed until enough engines have been
	// observed. It decides only how long kept events are worth waiting for, and which part of a
	// gap between events is a pause.
	assumedInterval = 40 * time.Millisecond
	// A shorter gap between two events is not a load.
	minPause = 100 * time.Millisecond

	// minDelays is how many first events must have been observed.
	minDelays = 16
	// A first event is late after lateFactor times the median delay: a request that waits for
	// one or two others at its engine is not.
	lateFactor = 8
	// Bounds of the timeout for first events, and the timeout before enough were observed.
	minFirstEventTimeout     = 400 * time.Millisecond
	maxFirstEventTimeout     = 2 * time.Second
	assumedFirstEventTimeout = 900 * time.Millisecond
	// assumedFirstEvent is the delay that is assumed before enough were observed, and
	// maxFirstEvent bounds it.
	assumedFirstEvent = 100 * time.Millisecond
	maxFirstEvent     = time.Second
)

// recent holds the latest values of a quantity.
type recent struct {
	size   int
	values []time.Duration
	next   int
	sorted []time.Duration // nil: not computed since the latest value
}

func (r *recent) add(v time.Duration) {
	r.sorted = nil
	if len(r.values) < r.size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.size
}

// quantile returns the value that a share of the values do not exceed, zero without values.
func (r *recent) quantile(share float64) time.Duration {
	if len(r.values) == 0 {
		return 0
	}
	if r.sorted == nil {
		r.sorted = slices.Sorted(slices.Values(r.values))
	}
	return r.sorted[int(share*float64(len(r.sorted)-1))]
}

// ObserveLoad adds the time by which a load of weights has paused a run.
func (s *Service) ObserveLoad(pause time.Duration) {
	if pause >= minPause {
		s.loads.add(min(pause, maxLoadTime))
	}
}

// LoadTime returns how long a load of weights takes: three of four recent ones took no longer.
func (s *Service) LoadTime() time.Duration {
	if len(s.loads.values) == 0 {
		return assumedLoadTime
	}
	return min(max(s.loads.quantile(0.75), minLoadTime), maxLoadTime)
}

// ObserveFirstEvent adds the time from the start of a run to its first event.
func (s *Service) ObserveFirstEvent(delay time.Duration) {
	if delay >= 0 {
		s.firsts.add(min(delay, maxInterval))
	}
}

// FirstEvent returns the usual time from the start of a run to its first event: a connection,
// the prefill and one step.
func (s *Service) FirstEvent() time.Duration {
	if len(s.firsts.values) < minDelays {
		return assumedFirstEvent
	}
	return min(s.firsts.quantile(0.5), maxFirstEvent)
}

// FirstEventTimeout returns how long a run may take to its first event.
func (s *Service) FirstEventTimeout() time.Duration {
	if len(s.firsts.values) < minDelays {
		return assumedFirstEventTimeout
	}
	return min(max(lateFactor*s.firsts.quantile(0.5), minFirstEventTimeout), maxFirstEventTimeout)
}
