package retry

import "time"

const (
	// hedgeFraction is the fraction of the target latency after which a request is sent to a
	// second target. The rest suffices for that attempt.
	hedgeFraction = 0.5
	// hedgeServiceTimes is how many mean service times a request takes at least before it counts
	// as slow: below that, hedges would double the load of targets that are only busy.
	hedgeServiceTimes = 2
)

// HedgeDelay returns how long the first attempt of an idempotent request may take before the
// request is sent to a second target. serviceTime is the mean time at a target, as observed.
//
// Load pattern: one target in several is slow or stalled while the others have free slots, and
// callers expect an answer within the target latency.
func HedgeDelay(serviceTime, targetLatency time.Duration) time.Duration {
	return max(hedgeServiceTimes*serviceTime, time.Duration(hedgeFraction*float64(targetLatency)))
}
