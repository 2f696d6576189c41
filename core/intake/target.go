package intake

import (
	"math"
	"time"
)

const (
	// defaultService takes the place of the service time until one has been observed: the usual
	// one of a plain request.
	defaultService = 25 * time.Millisecond
	// minInterval and maxInterval bound the time between two requests to a target that has
	// refused one.
	minInterval, maxInterval = time.Millisecond, time.Second
	// minWindow is the smallest window: a request in four service times. A refusal multiplies the
	// window by windowFactor, an answer adds windowStep. Of the pairs tried (docs/design/
	// plain-requests.md), this one serves about as many as any and causes few refusals.
	minWindow, windowFactor, windowStep = 0.25, 0.9, 0.2
	// clearFactor is after how many intervals without a refusal a target counts as not full.
	clearFactor = 8
	// Bounds of a service time, and how long an observed one counts.
	minService, maxService = time.Millisecond, 10 * time.Second
	serviceMaxAge          = 30 * time.Second
	// serviceWeight is the weight of a new observation in the mean.
	serviceWeight = 0.1
)

// estimate is the mean of the observed service times.
type estimate struct {
	mean time.Duration
	at   time.Duration // of the latest observation
}

func (e *estimate) observe(now, took time.Duration) {
	took = min(max(took, minService), maxService)
	if e.mean == 0 || now-e.at > serviceMaxAge {
		e.mean = took
	}
	e.mean += time.Duration(serviceWeight * float64(took-e.mean))
	e.at = now
}

// value returns the mean; zero: unknown.
func (e *estimate) value(now time.Duration) time.Duration {
	if now-e.at > serviceMaxAge {
		return 0
	}
	return e.mean
}

// target is what is known of a target. After a refusal, requests are sent to it at the rate of a
// window of requests in flight, which answers raise by a step and refusals lower by a factor: so
// instances that know nothing of each other get about equal shares of its slots.
type target struct {
	id        string
	slots     int
	inFlight  int
	reserved  int           // requests that were granted and are not sent yet
	gone      bool          // it is not used any more
	window    float64       // requests in flight; zero: it has not refused lately
	refusedAt time.Duration // latest refusal, if window is set
	nextAt    time.Duration // when the next request may be sent, if window is set
	service   time.Duration // expected
	failedAt  time.Duration // latest failure without an answer since, if failed is set
	failed    bool
}

// failureMemory is how long a failure counts. The registry removes a target that has stopped
// after some seconds.
const failureMemory = time.Second

func (t *target) fails(now time.Duration) bool { return t.failed && now-t.failedAt < failureMemory }

// interval returns the time between two requests to a target that has refused.
func (t *target) interval() time.Duration {
	return min(max(time.Duration(float64(t.service)/t.window), minInterval), maxInterval)
}

// full reports whether the target has refused lately.
func (t *target) full(now time.Duration) bool {
	return t.window > 0 && now-t.refusedAt <= clearFactor*t.interval()
}

// mayHaveRoom reports whether the target may have a free slot for a request of this instance.
func (t *target) mayHaveRoom(now time.Duration) bool {
	if t.slots > 0 && t.inFlight+t.reserved >= t.slots {
		return false
	}
	return now >= t.nextAt || !t.full(now)
}

// nextProbe returns when the target may have a free slot if nothing else happens.
func (t *target) nextProbe(now time.Duration) time.Duration {
	if !t.full(now) || t.slots > 0 && t.inFlight+t.reserved >= t.slots {
		return now + maxInterval
	}
	return t.nextAt
}

// before reports whether the target has more room than other, at equal room by id.
func (t *target) before(other *target) bool {
	use := func(t *target) float64 { return float64(t.inFlight+t.reserved) / float64(max(1, t.slots)) }
	if use(t) != use(other) {
		return use(t) < use(other)
	}
	return t.id < other.id
}

// reserve keeps a slot for a request that is sent next. There is no target if none is known.
func (t *target) reserve(now time.Duration) {
	if t == nil {
		return
	}
	t.reserved++
	t.use(now)
}

// use notes that a request is sent.
func (t *target) use(now time.Duration) {
	if t.window > 0 {
		t.nextAt = max(now, t.nextAt) + t.interval()
	}
}

// ended records the end of a request.
func (t *target) ended(now, service time.Duration, outcome Outcome) {
	t.inFlight = max(0, t.inFlight-1)
	t.service = service
	if service <= 0 {
		t.service = defaultService
	}
	if outcome != Canceled {
		t.failed, t.failedAt = outcome == Failed, now
	}
	switch outcome {
	case Refused:
		if !t.full(now) {
			t.window = float64(max(1, t.inFlight))
		}
		t.window = max(minWindow, windowFactor*t.window)
		t.refusedAt = now
		t.nextAt = max(t.nextAt, now+t.interval())
	case Ran:
		switch {
		case !t.full(now):
			t.window = 0
		default:
			t.window = min(t.window+windowStep, float64(max(1, t.slots)))
		}
	case Failed, Canceled:
	}
}

// flowWindow is the time over which answers are counted: several service times.
const flowWindow = 250 * time.Millisecond

// flow is the rate of answers, with exponentially decaying weights.
type flow struct {
	weight float64
	at     time.Duration
}

func (f *flow) decayed(now time.Duration) float64 {
	return f.weight * math.Exp(-float64(now-f.at)/float64(flowWindow))
}

func (f *flow) add(now time.Duration) { f.weight, f.at = f.decayed(now)+1, now }

// perSecond returns the rate; zero if it is lower than one answer in the window.
func (f *flow) perSecond(now time.Duration) float64 {
	if w := f.decayed(now); w >= 1 {
		return w / flowWindow.Seconds()
	}
	return 0
}
