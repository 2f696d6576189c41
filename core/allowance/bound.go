package allowance

import "time"

// minBurst keeps a burst from being taken for the default.
const minBurst = time.Millisecond

// BurstFor returns the rate and the burst with which a target gets at most maxInSecond requests
// in any second, if each request is sent within validity of its grant. Two instances may grant
// at once (see shares); each may round up by one request. The rate is perSecond unless the bound
// is too tight for that.
func BurstFor(perSecond, maxInSecond float64, validity time.Duration) (rate float64, burst time.Duration) {
	granted := 0.0
	for _, share := range shares {
		granted += share
	}
	spare := max(0, maxInSecond-float64(len(shares)))
	span := time.Second + validity
	rate = min(perSecond, spare/granted/span.Seconds())
	if rate <= 0 {
		return minPerSecond, minBurst
	}
	burst = time.Duration(spare/granted/rate*float64(time.Second)) - span
	return rate, min(max(minBurst, burst), time.Second)
}
