package hostplatform

import "time"

// The platform counts the requests to a target that names a limit in windows of limitWindow,
// and allows limitTolerance times the limit and limitSlack requests.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// SetRequestLimit makes the engine name a limit of requests a second in its responses. Zero
// ends that.
func (e *Engine) SetRequestLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = perSecond
}

// Arrivals returns the times of all requests, also those that the engine did not run, oldest
// first.
func (e *Engine) Arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

// CheckLimit returns the largest number of requests that arrived within a window, out of
// those from one time to another, and how many the platform allows for the limit. Each of the
// instances may send one more, from which it learns the limit.
func (e *Engine) CheckLimit(perSecond float64, instances int, from, to time.Time) (most, allowed int) {
	return e.MostArrivals(limitWindow, from, to), int(limitTolerance*perSecond*limitWindow.Seconds()) + limitSlack + instances
}

// MostArrivals returns the largest number of requests that arrived within a window, out of those
// from one time to another.
func (e *Engine) MostArrivals(window time.Duration, from, to time.Time) (most int) {
	var arrivals []time.Time
	for _, at := range e.Arrivals() {
		if !at.Before(from) && !at.After(to) {
			arrivals = append(arrivals, at)
		}
	}
	first := 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
