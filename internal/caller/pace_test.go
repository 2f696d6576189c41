package caller

import "testing"

func TestFlushThrottleDelaysOnlySlowSources(t *testing.T) {
	const steps = 100
	for name, c := range map[string]struct {
		flushes []int // bytes, in turn
		delays  int   // number of delayed flushes; of a fast source at most the first
	}{
		"one token per flush":                      {[]int{170}, steps},
		"events of one 8 ms delay per flush":       {[]int{1360}, steps},
		"full buffers":                             {[]int{8000}, 0},
		"full buffers alternating with remainders": {[]int{8000, 100}, 0},
		"half of a buffer or more":                 {[]int{4000}, 1},
	} {
		var throttle flushThrottle
		delays := 0
		for i := range steps {
			throttle.addBytes(c.flushes[i%len(c.flushes)])
			if throttle.recordFlush() {
				delays++
			}
		}
		if delays != c.delays {
			t.Errorf("%s: delayed after %d of %d flushes, want %d", name, delays, steps, c.delays)
		}
	}
}
