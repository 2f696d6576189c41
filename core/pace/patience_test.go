package pace_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/pace"
)

var _ = Describe("Patience", func() {
	// A log executes one append after the other, also those that are repeats of one that it has
	// executed, and refuses an append that would wait for longer than 2 s.
	// Besides the writers, which always have something to append, each 200 ms another one appends
	// once. logDelay returns what the writers know of a log in which the latest records took so long.
	run := func(writers int, executes time.Duration, others int, logDelay func(time.Duration) time.Duration) (answered, executed int) {
		regular, latest := writers, time.Duration(0)
		writers += others
		patience := make([]pace.Patience, writers)
		type call struct {
			writer int
			sent   time.Duration
		}
		var queue []call
		sentAt, next := make([]time.Duration, writers), make([]time.Duration, writers)
		waits := make([]bool, writers)
		for i := regular; i < writers; i++ {
			next[i] = time.Duration(i-regular) * 200 * time.Millisecond
		}
		free := time.Duration(0)
		for now := time.Duration(0); now < 30*time.Second; now += min(5*time.Millisecond, executes) {
			for i := range writers {
				if waits[i] && now-sentAt[i] >= patience[i].Timeout(logDelay(latest)) {
					waits[i], next[i] = false, now+100*time.Millisecond
					patience[i].TimedOut(true)
				}
				if !waits[i] && now >= next[i] {
					if time.Duration(len(queue))*executes > 2*time.Second {
						next[i] = now + 200*time.Millisecond
						continue
					}
					queue, waits[i], sentAt[i] = append(queue, call{i, now}), true, now
				}
			}
			if len(queue) == 0 || now < free {
				continue
			}
			free = now + executes
			c := queue[0]
			queue = queue[1:]
			executed++
			latest = now - c.sent
			if waits[c.writer] && sentAt[c.writer] == c.sent {
				answered++
				waits[c.writer], next[c.writer] = false, now
				patience[c.writer].Answered(now - c.sent)
				if c.writer >= regular {
					next[c.writer] = time.Hour
				}
			}
		}
		return answered, executed
	}

	DescribeTable("gets the responses of a log that is slow for all its writers",
		func(writers int, executes time.Duration) {
			answered, executed := run(writers, executes, 0, func(time.Duration) time.Duration { return 0 })
			Expect(answered).To(BeNumerically(">", executed/2), "most of what the log executes is no repeat")
		},
		Entry("few writers, an append takes 600 ms", 4, 600*time.Millisecond),
		Entry("295 writers, an append takes 100 ms", 295, 100*time.Millisecond),
		Entry("1700 writers, an append takes 40 ms", 1700, 40*time.Millisecond),
		Entry("295 writers that all append to a sound log, an append takes 2 ms", 295, 2*time.Millisecond),
	)

	It("gets the responses of a slow log to writers that append once", func() {
		answered, executed := run(10, 100*time.Millisecond, 150, func(latest time.Duration) time.Duration { return latest })
		Expect(answered).To(BeNumerically(">", executed*9/10), "the others read how long records take")
	})

	It("repeats an append soon that a log loses half of the responses to", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var p pace.Patience
		const appends = 10000
		waited := time.Duration(0)
		for range appends {
			for random.IntN(2) == 0 {
				waited += p.Timeout(0)
				p.TimedOut(true)
			}
			p.Answered(4 * time.Millisecond)
		}
		Expect(waited/appends).To(BeNumerically("<", time.Second), "0.5 s with the usual timeout")
	})

	It("repeats an append soon while the log is away", func() {
		p := &pace.Patience{}
		for range 3 {
			p.TimedOut(true)
		}
		for range 10 {
			p.TimedOut(false)
			Expect(p.Timeout(0)).To(Equal(500*time.Millisecond), "after an outage all appends waited for 2.5 s")
		}
	})

	It("returns to the usual timeout with the usual responses", func() {
		p := &pace.Patience{}
		Expect(p.Timeout(0)).To(Equal(500 * time.Millisecond))
		for range 5 {
			p.TimedOut(true)
		}
		Expect(p.Timeout(0)).To(Equal(2500 * time.Millisecond))
		p.Answered(4 * time.Millisecond)
		Expect(p.Timeout(0)).To(Equal(500 * time.Millisecond))
	})
})
