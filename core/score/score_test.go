package score_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/score"
)

func key(job string, task int) score.Key { return score.Key{Job: job, Task: task} }

var _ = Describe("Queue", func() {
	It("scores the earlier job first, in it the groups that lack the fewest outputs", func() {
		q := score.New()
		q.Add(0, score.Item{Key: key("late", 0), Submitted: 4 * time.Second})
		q.Add(1, score.Item{Key: key("early", 1), Group: 0, Incomplete: 3})
		q.Add(2, score.Item{Key: key("early", 5), Group: 1, Incomplete: 0})
		Expect(q.Next(3, 2)).To(Equal([]score.Key{key("early", 5), key("early", 1)}))
		Expect(q.Next(3, 2)).To(BeEmpty())
		q.Remove(key("early", 5))
		Expect(q.Next(3, 2)).To(Equal([]score.Key{key("late", 0)}))
	})

	It("retries an output after a backoff that doubles up to its maximum", func() {
		q := score.New()
		q.Add(0, score.Item{Key: key("j", 0)})
		now := time.Duration(0)
		for _, backoff := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
			backoff *= time.Millisecond
			Expect(q.Next(now, 1)).To(HaveLen(1))
			q.Retry(now, key("j", 0))
			Expect(q.Next(now+backoff-1, 1)).To(BeEmpty())
			left, waits := q.NextRetry(now)
			Expect(waits).To(BeTrue())
			Expect(left).To(Equal(backoff))
			now += backoff
		}
	})

	It("frees the calls of a removed job", func() {
		q := score.New()
		q.Add(0, score.Item{Key: key("j", 0)})
		q.Add(0, score.Item{Key: key("j", 1)})
		q.Add(0, score.Item{Key: key("k", 0), Submitted: 1})
		Expect(q.Next(0, 1)).To(HaveLen(1))
		Expect(q.RemoveJob("j")).To(ConsistOf(key("j", 0), key("j", 1)))
		Expect(q.Next(0, 1)).To(Equal([]score.Key{key("k", 0)}))
		Expect(q.Jobs()).To(Equal([]string{"k"}))
		q.Retry(0, key("j", 0)) // the call of the removed output ends
		Expect(q.Next(0, 1)).To(BeEmpty())
	})

	// The load that the package is for: 23 groups of four become complete at once, as after an
	// outage of the log, against four targets of six slots. One output in 23 never gets a
	// score. Calls take 30 ms.
	It("scores the burst of a step within its share, and failing outputs do not hold the others", func() {
		const callTime = 30 * time.Millisecond
		q := score.New()
		for task := range 92 {
			q.Add(0, score.Item{Key: key("j", task), Group: task / 4})
		}
		limit := score.Limit([]int{6, 6, 6, 6}, 1)
		Expect(limit).To(Equal(16), "two of six slots stay free for callers")
		failures := map[score.Key]int{}
		calls := map[time.Duration][]score.Key{} // in flight, by end
		inFlight, scored, lastScored, lastGaveUp := 0, 0, time.Duration(0), time.Duration(0)
		for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
			for _, k := range calls[now] {
				inFlight--
				if k.Task%23 != 0 {
					q.Remove(k)
					scored, lastScored = scored+1, now
				} else if failures[k]++; failures[k] == 4 {
					q.Remove(k)
					lastGaveUp = now
				} else {
					q.Retry(now, k)
				}
			}
			started := q.Next(now, limit)
			inFlight += len(started)
			Expect(inFlight).To(BeNumerically("<=", limit))
			calls[now+callTime] = append(calls[now+callTime], started...)
		}
		Expect(scored).To(Equal(88))
		// 92 calls in rounds of 16 are six rounds.
		Expect(lastScored).To(BeNumerically("<=", 7*callTime))
		Expect(lastGaveUp).To(BeNumerically("<=", time.Second))
		Expect(q.Jobs()).To(BeEmpty())
	})
})

var _ = Describe("Limit", func() {
	It("is shared by the runners but leaves each of them one call for each target", func() {
		Expect(score.Limit([]int{6, 6, 6, 6}, 3)).To(Equal(4))
		Expect(score.Limit([]int{6, 6}, 50)).To(Equal(2))
		Expect(score.Limit(nil, 1)).To(BeZero())
	})
})

var _ = Describe("CallTimeout", func() {
	It("follows the time that the job has left and is never too short for one call", func() {
		Expect(score.CallTimeout(8*time.Second, 100*time.Millisecond)).To(Equal(time.Second))
		Expect(score.CallTimeout(time.Second, 100*time.Millisecond)).To(Equal(400 * time.Millisecond))
		Expect(score.CallTimeout(-time.Second, 100*time.Millisecond)).To(Equal(400 * time.Millisecond))
	})
})
