package size

import "time"

// Outcome is what is known of an order.
type Outcome uint8

// The outcomes of orders.
const (
	Unknown  Outcome = iota // there was no answer: the order may have taken effect
	Accepted                // the targets will start
	Refused                 // none available: the order has no effect
)

const (
	// bootDefault is the boot time if none is named and none has been observed.
	bootDefault      = 5 * time.Second
	bootMin, bootMax = 200 * time.Millisecond, time.Minute
	// bootSamples is the number of observed boot times that are averaged. bootMaxAge is how
	// long they count.
	bootSamples = 4
	bootMaxAge  = 10 * time.Minute
	// maxBackoffFactor is the longest time between two orders to a data centre that refuses
	// them, in boot times.
	maxBackoffFactor = 16
	// deliveryFactor is after how many boot times an accepted order counts as not delivered.
	deliveryFactor = 2
	// repeatDelay is the time between two repeats of an order without an answer.
	repeatDelay = 500 * time.Millisecond
)

// boot estimates the time from an order to the registration of its targets.
type boot struct {
	named   time.Duration
	samples []time.Duration
	at      time.Duration // of the latest sample
}

// observe adds an observed boot time.
func (b *boot) observe(now, sample time.Duration) {
	b.samples = append(b.samples, min(max(sample, bootMin), bootMax))
	b.samples = b.samples[max(0, len(b.samples)-bootSamples):]
	b.at = now
}

// estimate returns the expected boot time.
func (b *boot) estimate(now time.Duration) time.Duration {
	if len(b.samples) > 0 && now-b.at <= bootMaxAge {
		sum := time.Duration(0)
		for _, s := range b.samples {
			sum += s
		}
		return sum / time.Duration(len(b.samples))
	}
	if b.named > 0 {
		return min(max(b.named, bootMin), bootMax)
	}
	return bootDefault
}

// supplier is the state of the orders to one data centre.
type supplier struct {
	count    int           // total that the latest order stated; zero: there is none open
	sentAt   time.Duration // first sending of the open order
	askedAt  time.Duration // latest sending
	unknown  bool          // the open order has no answer
	measured bool          // its boot time was observed
	failures int           // refusals since the last delivery
	avoid    time.Duration // nothing is ordered until then
	lost     bool          // as of the last plan
}

// noteLoss keeps orders from a data centre that has lost its targets until they have had time
// to start again by themselves.
func (s *supplier) noteLoss(now, bootTime time.Duration, lost bool) {
	if lost && !s.lost {
		s.avoid = max(s.avoid, now+bootTime)
	}
	s.lost = lost
}

// refuse starts the next backoff: it lasts the boot time after the first refusal, and twice as
// long after each further one, up to a bound.
func (s *supplier) refuse(now, bootTime time.Duration) {
	factor := min(1<<min(s.failures, 10), maxBackoffFactor)
	s.failures++
	s.avoid = max(s.avoid, now+time.Duration(factor)*bootTime)
}

// expire handles an open order whose time is over: its targets are there, or the data centre
// does not deliver, which counts as a refusal. An order without an answer stays open, as only
// its repeat tells.
func (s *supplier) expire(now, bootTime time.Duration, running int) {
	switch {
	case s.count == 0:
	case running >= s.count:
		s.count, s.unknown, s.failures = 0, false, 0
	case !s.unknown && now-s.sentAt > deliveryFactor*bootTime:
		s.count = 0
		s.refuse(now, bootTime)
	}
}

// pending returns the number of targets that were ordered and do not run yet.
func (s *supplier) pending(now, bootTime time.Duration, running int) int {
	if s.count == 0 || now-s.sentAt > deliveryFactor*bootTime {
		return 0
	}
	return max(0, s.count-running)
}
