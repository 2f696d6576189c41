package pace_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/pace"
)

var _ = Describe("Pause", func() {
	It("lets a busy instance read at once", func() {
		Expect(pace.Pause(295, 16000, true)).To(BeZero())
	})

	It("does not pause if the platform states no rate", func() {
		Expect(pace.Pause(295, 0, false)).To(BeZero())
	})

	// 100 batches a second on a topic, each of which ends the long polls of the instances
	// that do not pause. An answer takes 6 ms.
	DescribeTable("keeps the reads of one topic within a quarter of the platform's rate",
		func(instances, busy int, readsPerSecond float64) {
			const answer, batchInterval = 6 * time.Millisecond, 10 * time.Millisecond
			reads := 0.0
			for i := range instances {
				cycle := max(answer+pace.Pause(instances, readsPerSecond, i < busy), batchInterval)
				reads += float64(time.Second) / float64(cycle)
			}
			Expect(reads).To(BeNumerically("<", readsPerSecond/4))
		},
		Entry("295 instances, 12 run jobs", 295, 12, 16000.0),
		Entry("66 instances, 5 run jobs", 66, 5, 6000.0),
		Entry("9 instances, 3 run jobs", 9, 3, 2000.0),
	)

	It("stays short enough for changes to take effect in time", func() {
		Expect(pace.Pause(1700, 16000, false)).To(Equal(400 * time.Millisecond))
	})
})

// herd simulates instances that start at once and read a log through a platform that sends
// its responses one after the other, also those that nobody waits for any more.
type herd struct {
	instances, logBytes int
	bytesPerSecond      float64
	timeout             time.Duration // of a read
	page                func(i int) int
	succeeded           func(i int, took time.Duration, more bool)
	retryDelay          func(i int) time.Duration // called after a timeout
}

// run returns when the last instance has read the whole log, or limit, and the longest time of an
// instance without a response until then.
func (h herd) run(limit time.Duration) (last, silence time.Duration) {
	nextRead := make([]time.Duration, h.instances)
	heard := make([]time.Duration, h.instances)
	offset := make([]int, h.instances)
	freeAt, done := time.Duration(0), 0
	for done < h.instances {
		i := 0
		for k := range nextRead {
			if offset[k] < h.logBytes && (offset[i] >= h.logBytes || nextRead[k] < nextRead[i]) {
				i = k
			}
		}
		now := nextRead[i]
		if now > limit {
			return limit, silence
		}
		size := min(h.page(i), h.logBytes-offset[i])
		freeAt = max(freeAt, now) + time.Duration(float64(size)/h.bytesPerSecond*float64(time.Second))
		if took := freeAt - now; took > h.timeout {
			nextRead[i] = now + h.timeout + h.retryDelay(i)
		} else {
			offset[i] += size
			h.succeeded(i, took, offset[i] < h.logBytes)
			nextRead[i] = freeAt
			silence = max(silence, freeAt-heard[i])
			heard[i] = freeAt
			last = freeAt
		}
		if offset[i] >= h.logBytes {
			done++
		}
	}
	return last, silence
}

var _ = Describe("Instances that all start at once", func() {
	const recovery = 15 * time.Second // within which the deployment has to serve again
	start := func(instances, logBytes int) herd {
		return herd{instances: instances, logBytes: logBytes, bytesPerSecond: 80e6, timeout: 600 * time.Millisecond}
	}

	It("never get the log if each asks for all of it again and again", func() {
		h := start(304, 700_000)
		h.page = func(int) int { return 1 << 20 }
		h.succeeded = func(int, time.Duration, bool) {}
		h.retryDelay = func(int) time.Duration { return 50 * time.Millisecond }
		took, _ := h.run(time.Minute)
		Expect(took).To(Equal(time.Minute))
	})

	// read lets readers that have followed a log for some time read logBytes more.
	read := func(instances, logBytes, earlierReads int, timeout time.Duration) (took, silence time.Duration) {
		readers := make([]*pace.Reader, instances)
		for i := range readers {
			readers[i] = pace.NewReader()
			for range earlierReads {
				readers[i].Succeeded(4*time.Millisecond, false)
			}
		}
		h := start(instances, logBytes)
		h.timeout = timeout
		h.page = func(i int) int { return readers[i].PageBytes() }
		h.succeeded = func(i int, took time.Duration, more bool) { readers[i].Succeeded(took, more) }
		h.retryDelay = func(i int) time.Duration {
			readers[i].Failed()
			return readers[i].RetryDelay(0, 16000, float64(i%10)/10)
		}
		return h.run(time.Minute)
	}

	DescribeTable("all read the log in time",
		func(instances, logBytes int) {
			took, _ := read(instances, logBytes, 0, 600*time.Millisecond)
			Expect(took).To(BeNumerically("<", recovery))
		},
		Entry("304 instances", 304, 700_000),
		Entry("304 instances, a longer log", 304, 2_000_000),
		Entry("1700 instances", 1700, 300_000),
	)

	// An instance that has got no response for 2.5 s is not ready. A read of a log that is followed
	// has a second more for its response.
	DescribeTable("hear of a log that has grown by a megabyte at once all the while",
		func(instances int) {
			_, silence := read(instances, 1_200_000, 100, 1600*time.Millisecond)
			Expect(silence).To(BeNumerically("<", 2500*time.Millisecond))
		},
		Entry("295 instances", 295),
		Entry("1700 instances", 1700),
	)
})

var _ = Describe("Reader", func() {
	It("asks for more again after a failure once responses are fast", func() {
		r := pace.NewReader()
		for range 10 {
			r.Failed()
		}
		Expect(r.PageBytes()).To(Equal(4 << 10))
		for range 10 {
			r.Succeeded(10*time.Millisecond, true)
		}
		Expect(r.PageBytes()).To(Equal(1 << 20))
		r.Failed()
		r.Succeeded(time.Second, true)
		Expect(r.PageBytes()).To(Equal(512 << 10))
		r.Succeeded(time.Second, false)
		Expect(r.PageBytes()).To(Equal(64 << 10))
	})

	It("repeats failed reads ever later, up to the pause of an idle instance", func() {
		r := pace.NewReader()
		for _, want := range []time.Duration{50, 90, 90} {
			r.Failed()
			Expect(r.RetryDelay(9, 2000, 0.5)).To(Equal(want * time.Millisecond))
		}
		Expect(r.RetryDelay(0, 2000, 0.5)).To(Equal(200*time.Millisecond), "how many instances there are is not known")
		r.Succeeded(0, true)
		r.Failed()
		Expect(r.RetryDelay(295, 16000, 0)).To(Equal(25 * time.Millisecond))
	})
})

var _ = Describe("Spread", func() {
	// All instances see at the same moment that a job has no runner. A claim shows to the
	// others 15 ms and the delay of the log after it was sent.
	DescribeTable("keeps the first claim early and the further ones few",
		func(instances int, logDelay time.Duration) {
			const base = 60 * time.Millisecond
			visible := logDelay + 15*time.Millisecond
			longest := pace.Spread(base, instances, logDelay)
			random := rand.New(rand.NewPCG(1, 2))
			claims, first := 0, time.Duration(0)
			for range 100 {
				delays := make([]time.Duration, instances)
				for i := range delays {
					delays[i] = time.Duration(random.Int64N(int64(longest)))
				}
				earliest := slices.Min(delays)
				first += earliest / 100
				for _, d := range delays {
					if d < earliest+visible {
						claims++
					}
				}
			}
			Expect(claims).To(BeNumerically("<", 600), "of 100 jobs")
			Expect(first).To(BeNumerically("<", 20*time.Millisecond+logDelay/2))
		},
		Entry("9 instances", 9, time.Duration(0)),
		Entry("67 instances", 67, time.Duration(0)),
		Entry("304 instances", 304, time.Duration(0)),
		Entry("304 instances, a slow log", 304, 2*time.Second),
		Entry("1700 instances, a slow log", 1700, 2*time.Second),
	)
})
